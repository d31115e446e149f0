package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Intervals between queries to a target.
const (
	minQueryInterval = 50 * time.Millisecond
	maxQueryInterval = 1 * time.Second
	// outcomePollInterval is the time between queries about a call that is still
	// running.
	outcomePollInterval = 200 * time.Millisecond
)

// resolver follows a request that was sent until its outcome is resolved, also
// when connections to the target fail. It never sends the request again.
type resolver struct {
	d            *Dispatcher
	j            *job
	facts        *settle.Facts
	queryBackoff *backoff.ExponentialBackOff
	// lastErr is the latest error, which becomes the detail of the outcome.
	lastErr error
	// crashed is set if the target refused a connection or no longer knows the
	// request.
	crashed bool
}

func (d *Dispatcher) newResolver(j *job) *resolver {
	queryBackoff := backoff.NewExponentialBackOff()
	queryBackoff.InitialInterval = minQueryInterval
	queryBackoff.MaxInterval = maxQueryInterval
	return &resolver{
		d: d, j: j, queryBackoff: queryBackoff,
		facts: &settle.Facts{
			PlainService: j.msg.Plain, MayHaveBeenSent: true, SenderStopped: true,
			Allowed: []tables.TargetID{j.target}, DispatchTarget: j.target,
		},
	}
}

// run executes steps until the outcome of the job is resolved.
func (r *resolver) run() {
	for r.refreshFacts() {
		step := settle.Next(r.facts)
		if step.Action == settle.Finish {
			r.finish(step.Kind)
			return
		}
		r.execute(step)
	}
}

// refreshFacts updates the facts from the job. It returns false if the job has an
// outcome or the dispatcher is stopping.
func (r *resolver) refreshFacts() bool {
	open, err := callInLoop(r.d.ctx, r.d, func() bool {
		r.facts.Offset = r.j.received.EndOffset()
		r.facts.CallerGone = r.j.cancelReason == errkind.CancelledWhileRunning
		return r.j.outcome == nil
	})
	return open && err == nil
}

func (r *resolver) execute(step settle.Step) {
	switch step.Action {
	case settle.Resume:
		r.resume(step.Offset)
	case settle.Cancel:
		r.cancel()
	case settle.Fetch:
		r.fetch()
	case settle.Wait, settle.Finish:
	}
}

// readStream reads the stream and records how it ended. Only a chunk with a token is
// recorded as progress, because a target that opens a stream may send nothing that
// belongs to the answer. It returns the error of a stream that broke before such a
// chunk, and nil otherwise. A target that is only silent may still be reading the
// prompt, so its stream does not count as broken.
func (r *resolver) readStream(stream *openStream) error {
	before := r.endOffset()
	err := r.d.readChunks(r.j, stream)
	if err == nil {
		return nil
	}
	r.lastErr = err
	progressed := r.endOffset() > before
	if progressed {
		r.facts.RecordProgress(r.j.target, target.InProgress)
		r.queryBackoff.Reset()
	}
	if errors.Is(err, target.ErrFailed) {
		r.facts.RecordProgress(r.j.target, target.Failed)
		return nil
	}
	event.StreamSilent.Log(r.d.Logger, zap.String("request", string(r.j.msg.ID)), zap.Error(err))
	if progressed || errors.Is(err, errStalled) {
		return nil
	}
	return err
}

// endOffset returns the number of answer tokens received, or 0 if the dispatcher is
// stopping.
func (r *resolver) endOffset() int {
	offset, _ := callInLoop(r.d.ctx, r.d, func() int { return r.j.received.EndOffset() })
	return offset
}

func (r *resolver) resume(offset int) {
	stream, err := r.d.resume(r.d.Targets.Engine(r.j.endpoint.address), r.j.msg.ID, offset)
	switch {
	case err == nil:
		event.StreamResumed.Log(r.d.Logger, zap.String("request", string(r.j.msg.ID)), zap.Int("offset", offset))
		if err := r.readStream(stream); err != nil {
			r.recordQueryFailure(err)
		}
	case errors.Is(err, target.ErrNotAdmitted):
		r.lastErr = err
		r.crashed = r.crashed || r.facts.Report(r.j.target).Progress == target.InProgress
		r.facts.RecordNoStream(r.j.target)
	case errors.Is(err, target.ErrFailed):
		r.lastErr = err
		r.facts.RecordProgress(r.j.target, target.Failed)
	default:
		r.recordQueryFailure(err)
	}
}

// cancel cancels the request at its target. This sets a tombstone, so that a
// request reported as never started cannot start later.
func (r *resolver) cancel() {
	ctx, done := context.WithTimeout(r.d.ctx, targetTimeout)
	defer done()
	var progress target.Progress
	var err error
	if r.j.endpoint.plainService {
		progress, err = r.d.Targets.Plain(r.j.endpoint.address, r.j.endpoint.service).Cancel(ctx, r.j.msg.ID)
	} else {
		progress, err = r.d.Targets.Engine(r.j.endpoint.address).Cancel(ctx, r.j.msg.ID)
	}
	if err != nil {
		r.recordQueryFailure(err)
		return
	}
	r.crashed = r.crashed || progress == target.NotKnown
	r.facts.RecordProgress(r.j.target, progress)
}

// fetch queries the target for the answer of a call that is running or has run.
func (r *resolver) fetch() {
	ctx, done := context.WithTimeout(r.d.ctx, targetTimeout)
	defer done()
	answer, progress, err := r.d.Targets.Plain(r.j.endpoint.address, r.j.endpoint.service).Outcome(ctx, r.j.msg.ID)
	switch {
	case err != nil:
		r.recordQueryFailure(err)
	case progress == target.Completed && answer.Status != 0:
		r.d.finishAnswered(r.j, answer)
		r.facts.Complete = true
	case progress == target.Completed:
		r.facts.RecordAnswerNotKept(r.j.target)
	default:
		r.facts.RecordProgress(r.j.target, progress)
		r.d.sleep(outcomePollInterval)
	}
}

func (r *resolver) recordQueryFailure(err error) {
	r.lastErr = err
	r.crashed = r.crashed || isConnectionRefused(err)
	r.facts.RecordFailure(r.j.target)
	r.d.sleep(r.queryBackoff.NextBackOff())
}

// finish ends the job with the given kind. It does nothing for None, because the
// complete answer has ended the job already. If the target crashed, the crash is
// reported to the peers first.
func (r *resolver) finish(kind errkind.Kind) {
	if kind == errkind.None {
		return
	}
	detail := ""
	if r.lastErr != nil {
		detail = r.lastErr.Error()
	}
	if r.crashed {
		r.reportCrash()
	}
	r.d.post(func() {
		if r.j.cancelReason != errkind.None && kind == errkind.RanFailed {
			kind = r.j.cancelReason
		}
		r.d.finish(r.j, peer.Finished{Kind: kind, Detail: detail, Sent: true})
	})
}

// crashReportTimeout limits the wait for peers that do not respond to a crash
// report.
const crashReportTimeout = 200 * time.Millisecond

// reportCrash reports to the peers which fingerprints the target was running when
// it crashed. This happens before the caller receives the outcome, because the
// caller may immediately send the same request to another host.
func (r *resolver) reportCrash() {
	reported, err := callInLoop(r.d.ctx, r.d, func() <-chan struct{} { return r.d.recordCrash(r.j) })
	if err != nil || reported == nil {
		return
	}
	select {
	case <-reported:
	case <-r.d.Clock.After(crashReportTimeout):
	case <-r.d.ctx.Done():
	}
}

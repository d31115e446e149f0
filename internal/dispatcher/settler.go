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

// Pauses between questions to a target.
const (
	pauseFirst   = 50 * time.Millisecond
	pauseLongest = 1 * time.Second
	// outcomePoll is the time between questions about a call that still runs.
	outcomePoll = 200 * time.Millisecond
)

// settler finds the outcome of a request that was sent, through whatever
// happens to its connections. It never sends the request again.
type settler struct {
	d     *Dispatcher
	j     *job
	at    place
	facts *settle.Facts
	pause *backoff.ExponentialBackOff
	// cause is the latest failure, for the outcome's detail.
	cause error
	// crash is set when the target refused a connection or forgot the request.
	crash bool
}

func (d *Dispatcher) newSettler(j *job, at place) *settler {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = pauseFirst
	pause.MaxInterval = pauseLongest
	return &settler{
		d: d, j: j, at: at, pause: pause,
		facts: &settle.Facts{
			Plain: j.msg.Plain, MayHaveBeenSent: true, SenderStopped: true,
			Allowed: []tables.TargetID{j.target}, ReportedTarget: j.target,
		},
	}
}

// run takes the job to its outcome.
func (s *settler) run() {
	for s.refresh() {
		step := settle.Next(s.facts)
		if step.Action == settle.Finish {
			s.finish(step.Kind)
			return
		}
		s.carryOut(step)
	}
}

// refresh reads the progress of the job and reports whether it is still open.
func (s *settler) refresh() bool {
	open, err := ask(s.d.ctx, s.d, func() bool {
		s.facts.Offset = s.j.parts.Tokens()
		s.facts.CallerGone = s.j.reason == errkind.CancelledWhileRunning
		return s.j.outcome == nil
	})
	return open && err == nil
}

func (s *settler) carryOut(step settle.Step) {
	switch step.Action {
	case settle.Resume:
		s.resume(step.Offset)
	case settle.Cancel:
		s.cancel()
	case settle.Fetch:
		s.fetch()
	case settle.Wait, settle.Finish:
	}
}

// read follows a stream and notes what its end tells.
func (s *settler) read(stream *openStream) {
	s.facts.RecordProgress(s.j.target, target.InProgress)
	err := s.d.readChunks(s.j, stream)
	if err == nil {
		return
	}
	s.cause = err
	if errors.Is(err, target.ErrFailed) {
		s.facts.RecordProgress(s.j.target, target.Failed)
		return
	}
	event.StreamSilent.Log(s.d.Logger, zap.String("request", string(s.j.msg.ID)), zap.Error(err))
}

func (s *settler) resume(offset int) {
	stream, err := s.d.resume(s.d.Targets.Engine(s.at.address), s.j.msg.ID, offset)
	switch {
	case err == nil:
		event.StreamResumed.Log(s.d.Logger, zap.String("request", string(s.j.msg.ID)), zap.Int("offset", offset))
		s.pause.Reset()
		s.read(stream)
	case errors.Is(err, target.ErrNotAdmitted):
		s.cause = err
		s.crash = s.crash || s.facts.Report(s.j.target).Progress == target.InProgress
		s.facts.RecordNoStream(s.j.target)
	case errors.Is(err, target.ErrFailed):
		s.cause = err
		s.facts.RecordProgress(s.j.target, target.Failed)
	default:
		s.noAnswer(err)
	}
}

// cancel leaves a tombstone, so that "never started" stays true.
func (s *settler) cancel() {
	ctx, done := context.WithTimeout(s.d.ctx, targetTimeout)
	defer done()
	var progress target.Progress
	var err error
	if s.at.plain {
		progress, err = s.d.Targets.Plain(s.at.address, s.at.service).Cancel(ctx, s.j.msg.ID)
	} else {
		progress, err = s.d.Targets.Engine(s.at.address).Cancel(ctx, s.j.msg.ID)
	}
	if err != nil {
		s.noAnswer(err)
		return
	}
	s.crash = s.crash || progress == target.NotKnown
	s.facts.RecordProgress(s.j.target, progress)
}

// fetch asks for the answer of a call that runs or ran.
func (s *settler) fetch() {
	ctx, done := context.WithTimeout(s.d.ctx, targetTimeout)
	defer done()
	answer, progress, err := s.d.Targets.Plain(s.at.address, s.at.service).Outcome(ctx, s.j.msg.ID)
	switch {
	case err != nil:
		s.noAnswer(err)
	case progress == target.Completed && answer.Status != 0:
		s.d.answered(s.j, answer)
		s.facts.Complete = true
	case progress == target.Completed:
		s.facts.RecordAnswerNotKept(s.j.target)
	default:
		s.facts.RecordProgress(s.j.target, progress)
		s.wait(outcomePoll)
	}
}

func (s *settler) noAnswer(err error) {
	s.cause = err
	s.crash = s.crash || isRefusedDial(err)
	s.facts.RecordFailure(s.j.target)
	s.wait(s.pause.NextBackOff())
}

func (s *settler) wait(d time.Duration) {
	select {
	case <-s.d.Clock.After(d):
	case <-s.d.ctx.Done():
	}
}

// finish ends the job. A target that lost a running request has crashed.
func (s *settler) finish(kind errkind.Kind) {
	if kind == errkind.None {
		return
	}
	detail := ""
	if s.cause != nil {
		detail = s.cause.Error()
	}
	if s.crash {
		s.warn()
	}
	s.d.post(func() {
		if s.j.reason != errkind.None && kind == errkind.RanFailed {
			kind = s.j.reason
		}
		s.d.finish(s.j, peer.Finished{Kind: kind, Detail: detail, Sent: true})
	})
}

// warnTimeout bounds the wait for peers that do not answer.
const warnTimeout = 200 * time.Millisecond

// warn tells the peers which content the target ran when it crashed. It comes
// before the caller is told the end, because the caller may send the content
// again to another host at once.
func (s *settler) warn() {
	warned, err := ask(s.d.ctx, s.d, func() <-chan struct{} { return s.d.crashed(s.j) })
	if err != nil || warned == nil {
		return
	}
	select {
	case <-warned:
	case <-s.d.Clock.After(warnTimeout):
	case <-s.d.ctx.Done():
	}
}

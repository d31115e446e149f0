package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/stream"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// targetTimeout limits one query or cancel, and the time to open a stream.
const targetTimeout = 2 * time.Second

// cancelRetryInterval is the time after a cancel without effect until the request
// may be cancelled again.
const cancelRetryInterval = 500 * time.Millisecond

// cancelAtTargets cancels a request at all targets that q lists. The result is
// the progress reported by the first target that ran or runs the request. Without
// such a report, an error is returned if a target did not respond (kind
// OutcomeUnknown) or is not configured (kind UnknownTarget). Otherwise the result
// is NeverStarted if all targets reported it, and NotKnown if not.
func (d *Dispatcher) cancelAtTargets(ctx context.Context, q peer.CancelRequest) (peer.CancelResult, error) {
	result := peer.CancelResult{Progress: target.NotKnown}
	if len(q.Targets) == 0 {
		return result, nil
	}
	allNeverStarted := true
	var queryErr error
	for _, id := range q.Targets {
		progress, err := d.cancelAtTarget(ctx, id, q)
		switch {
		case err != nil:
			queryErr = err
		case progress == target.NotKnown:
			allNeverStarted = false
		case progress != target.NeverStarted:
			return peer.CancelResult{Progress: progress, Target: id}, nil
		}
	}
	if queryErr != nil {
		return peer.CancelResult{}, queryErr
	}
	if allNeverStarted {
		result.Progress = target.NeverStarted
	}
	return result, nil
}

// cancelAtTarget cancels a request at one target, which sets a tombstone, and
// returns the progress that the target reports.
func (d *Dispatcher) cancelAtTarget(ctx context.Context, id tables.TargetID, q peer.CancelRequest) (target.Progress, error) {
	ep, ok := d.findEndpointAt(id, q.Addresses[id])
	if !ok {
		return "", errkind.New(errkind.UnknownTarget, fmt.Sprintf("target %q", id))
	}
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	var progress target.Progress
	var err error
	if ep.plainService {
		progress, err = d.Targets.Plain(ep.address, ep.service).Cancel(ctx, q.ID)
	} else {
		progress, err = d.Targets.Engine(ep.address).Cancel(ctx, q.ID)
	}
	if err != nil {
		return "", noResponseError(id, err)
	}
	return progress, nil
}

// endpoint is the address of a target and the kind of client to use for it.
type endpoint struct {
	address      string
	plainService bool
	service      tables.ServiceID
}

// findEndpoint returns the endpoint of a target from the configuration. The
// target need not be owned by this host.
func (d *Dispatcher) findEndpoint(id tables.TargetID) (endpoint, bool) {
	doc := d.Document()
	if doc == nil {
		return endpoint{}, false
	}
	t, ok := doc.Targets[string(id)]
	if !ok || len(t.Services) == 0 {
		return endpoint{}, false
	}
	service := t.Services[0]
	return endpoint{address: t.Address, plainService: isPlain(doc, t), service: tables.ServiceID(service)}, true
}

// findEndpointAt returns the endpoint of a target at the address to which a request
// was sent; an empty address means the configured one.
func (d *Dispatcher) findEndpointAt(id tables.TargetID, address string) (endpoint, bool) {
	ep, ok := d.findEndpoint(id)
	if address != "" {
		ep.address = address
	}
	return ep, ok
}

// attach sends the answer of a request to conn. If this dispatcher has no answer
// that applies to q, and q names a target, it takes the answer over from that
// target without sending the request again.
func (d *Dispatcher) attach(ctx context.Context, conn *peer.Conn, q peer.Attach) (peer.AttachResult, error) {
	found, err := callInLoop(ctx, d, func() bool { return d.attachLocal(conn, q) })
	if err != nil {
		return peer.AttachResult{}, err
	}
	if found {
		return peer.AttachResult{Known: true}, nil
	}
	if q.Target == "" {
		return peer.AttachResult{Progress: target.NotKnown}, nil
	}
	return d.takeOver(ctx, conn, q)
}

// attachLocal sends the answer of a job of this dispatcher to conn. It returns
// false if there is no such job, if the job ended with a refusal that does not
// apply to q, or if its answer does not continue the text that the gate has
// received.
func (d *Dispatcher) attachLocal(conn *peer.Conn, q peer.Attach) bool {
	j := d.findJob(q.ID)
	if j == nil || j.refusedBeforeSend() && !j.refusalApplies(q) {
		return false
	}
	rest, ok := j.received.ChunksAfter(q.Offset, q.ReceivedText)
	if ok {
		d.addListener(j, conn, rest)
	}
	return ok
}

// refusalApplies reports whether the refusal of j answers q. The refusal does not
// answer q if q is about another attempt or names a target, because another
// dispatcher may have sent the request since.
func (j *job) refusalApplies(q peer.Attach) bool {
	return q.Target == "" && (q.Attempt == 0 || q.Attempt == j.msg.Attempt)
}

// takeOver resumes the answer of a dispatch at its target, at the token offset
// that the gate has reached. It does not start earlier, because a resumed stream
// may divide the answer into chunks at other tokens, and the chunks would then
// overlap with those that the gate has.
func (d *Dispatcher) takeOver(ctx context.Context, conn *peer.Conn, q peer.Attach) (peer.AttachResult, error) {
	ep, ok := d.findEndpointAt(q.Target, q.Address)
	if !ok {
		return peer.AttachResult{}, errkind.New(errkind.UnknownTarget, fmt.Sprintf("target %q", q.Target))
	}
	if ep.plainService {
		return d.takeOverPlain(ctx, conn, q, ep)
	}
	stream, err := d.resume(d.Targets.Engine(ep.address), q.ID, q.Offset)
	switch {
	case err == nil:
	case errors.Is(err, target.ErrNotAdmitted):
		return peer.AttachResult{Progress: target.NotKnown}, nil
	default:
		return peer.AttachResult{}, noResponseError(q.Target, err)
	}
	_, err = callInLoop(ctx, d, func() bool {
		r := d.newResolver(d.adopt(conn, q, ep))
		d.spawn(func() {
			if err := r.readStream(stream); err != nil {
				r.recordQueryFailure(err)
			}
			r.run()
		})
		return true
	})
	return peer.AttachResult{Known: true}, err
}

func (d *Dispatcher) takeOverPlain(ctx context.Context, conn *peer.Conn, q peer.Attach, ep endpoint) (peer.AttachResult, error) {
	queryCtx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	answer, progress, err := d.Targets.Plain(ep.address, ep.service).Outcome(queryCtx, q.ID)
	if err != nil {
		return peer.AttachResult{}, noResponseError(q.Target, err)
	}
	if progress != target.Completed {
		return peer.AttachResult{Progress: progress}, nil
	}
	_, err = callInLoop(ctx, d, func() bool {
		j := d.adopt(conn, q, ep)
		d.finish(j, peer.Finished{Kind: errkind.None, Status: answer.Status, Body: answer.Body, Sent: true})
		return true
	})
	return peer.AttachResult{Known: true}, err
}

// noResponseError returns the error for a target that did not respond to a query.
// Its kind is OutcomeUnknown, because only a report of the target can tell
// whether the request ran.
func noResponseError(id tables.TargetID, cause error) error {
	return errkind.Wrap(cause, errkind.OutcomeUnknown, fmt.Sprintf("target %q did not answer", id))
}

// adopt adds a job for a request that another dispatcher sent. The job counts
// towards the window of its target.
func (d *Dispatcher) adopt(conn *peer.Conn, q peer.Attach, ep endpoint) *job {
	j := &job{
		msg: peer.Submit{
			ID: q.ID, Customer: q.Customer, Service: q.Service, Plain: ep.plainService,
			Tier: q.Tier, Fingerprint: q.Fingerprint, Key: q.Key,
		},
		target: q.Target, endpoint: ep, started: true, received: stream.ResumeAt(q.Offset, q.ReceivedText),
	}
	d.jobs[q.ID] = j
	d.state.Requests.Put(&tables.Request{
		ID: q.ID, Customer: q.Customer, Service: q.Service, Tier: q.Tier, PlainService: ep.plainService,
		Fingerprint: q.Fingerprint, State: tables.Running, Target: q.Target, Started: d.Clock.Now(),
	})
	d.addListener(j, conn, nil)
	return j
}

// cancelRunning cancels a running job at its target. It does not cancel
// non-idempotent requests, nor calls to plain services, which cannot be stopped.
func (d *Dispatcher) cancelRunning(j *job, reason errkind.Kind) {
	if j.msg.Plain || j.msg.NonIdempotent || j.cancelReason != errkind.None {
		return
	}
	j.cancelReason = reason
	if r := d.state.Requests.Get(j.msg.ID); r != nil {
		r.Cancelling = true
	}
	d.spawn(func() { d.sendCancel(j) })
}

func (d *Dispatcher) sendCancel(j *job) {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	progress, err := d.Targets.Engine(j.endpoint.address).Cancel(ctx, j.msg.ID)
	if err != nil {
		progress = target.NotKnown
	}
	ended, err := callInLoop(d.ctx, d, func() bool {
		d.finishCancelled(j, progress)
		return j.outcome != nil
	})
	if ended || err != nil {
		return
	}
	select {
	case <-d.Clock.After(cancelRetryInterval):
		d.post(func() { d.allowCancelRetry(j) })
	case <-d.ctx.Done():
	}
}

// allowCancelRetry allows the scheduler to cancel a request again after a cancel
// without effect. Until then, the scheduler expects the request's slot to become
// free.
func (d *Dispatcher) allowCancelRetry(j *job) {
	r := d.state.Requests.Get(j.msg.ID)
	if r != nil && j.outcome == nil && j.cancelReason == errkind.None {
		r.Cancelling = false
	}
}

// finishCancelled ends j if the target reported, in response to a cancel, that the
// request never started, was cancelled or failed. Otherwise j stays open and its
// cancel reason is cleared. If the answer is complete, reading its stream ends j.
func (d *Dispatcher) finishCancelled(j *job, progress target.Progress) {
	switch progress {
	case target.NeverStarted:
		d.finish(j, peer.Finished{Kind: notRunKind(j.cancelReason), Sent: true})
	case target.Cancelled, target.Failed:
		d.finish(j, peer.Finished{Kind: j.cancelReason, Sent: true})
	case target.InProgress, target.Completed, target.NotKnown:
		j.cancelReason = errkind.None
	}
}

// notRunKind returns the kind of the outcome of a request that was cancelled for
// reason before it started.
func notRunKind(reason errkind.Kind) errkind.Kind {
	if reason == errkind.Preempted {
		return errkind.Displaced
	}
	return errkind.CancelledBeforeRun
}

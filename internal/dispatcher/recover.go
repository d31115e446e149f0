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

// targetTimeout bounds one short question to a target.
const targetTimeout = 2 * time.Second

// cancelPause is the time after a cancel without effect before another one.
const cancelPause = 500 * time.Millisecond

// cancelAtTargets asks every named target itself and returns the strongest
// word: a run anywhere, else doubt, else the proof that none has started it. A
// target that did not answer is an error of kind OutcomeUnknown.
func (d *Dispatcher) cancelAtTargets(ctx context.Context, q peer.CancelRequest) (peer.CancelResult, error) {
	result := peer.CancelResult{Progress: target.NotKnown}
	if len(q.Targets) == 0 {
		return result, nil
	}
	proved := true
	var silent error
	for _, id := range q.Targets {
		progress, err := d.cancelAt(ctx, id, q.ID)
		switch {
		case err != nil:
			silent = err
		case progress == target.NotKnown:
			proved = false
		case progress != target.NeverStarted:
			return peer.CancelResult{Progress: progress, Target: id}, nil
		}
	}
	if silent != nil {
		return peer.CancelResult{}, silent
	}
	if proved {
		result.Progress = target.NeverStarted
	}
	return result, nil
}

// cancelAt leaves a tombstone at one target and returns the target's word.
func (d *Dispatcher) cancelAt(ctx context.Context, id tables.TargetID, request tables.RequestID) (target.Progress, error) {
	place, ok := d.locate(id)
	if !ok {
		return "", errkind.New(errkind.UnknownTarget, fmt.Sprintf("target %q", id))
	}
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	var progress target.Progress
	var err error
	if place.plain {
		progress, err = d.Targets.Plain(place.address, place.service).Cancel(ctx, request)
	} else {
		progress, err = d.Targets.Engine(place.address).Cancel(ctx, request)
	}
	if err != nil {
		return "", unanswered(id, err)
	}
	return progress, nil
}

// place is where and how to reach a target.
type place struct {
	address string
	plain   bool
	service tables.ServiceID
}

// locate finds a target in the configuration, owned or not.
func (d *Dispatcher) locate(id tables.TargetID) (place, bool) {
	doc := d.Document()
	if doc == nil {
		return place{}, false
	}
	t, ok := doc.Targets[string(id)]
	if !ok || len(t.Services) == 0 {
		return place{}, false
	}
	service := t.Services[0]
	return place{address: t.Address, plain: isPlain(doc, t), service: tables.ServiceID(service)}, true
}

// attach sends the answer of a request to conn. A request of another
// dispatcher is taken over from its target without dispatching it again.
func (d *Dispatcher) attach(ctx context.Context, conn *peer.Conn, q peer.Attach) (peer.AttachResult, error) {
	known, err := ask(ctx, d, func() bool { return d.attachKnown(conn, q) })
	if err != nil {
		return peer.AttachResult{}, err
	}
	if known {
		return peer.AttachResult{Known: true}, nil
	}
	if q.Target == "" {
		return peer.AttachResult{Progress: target.NotKnown}, nil
	}
	return d.takeOver(ctx, conn, q)
}

func (d *Dispatcher) attachKnown(conn *peer.Conn, q peer.Attach) bool {
	j := d.known(q.ID)
	if j == nil || j.refusedUnsent() && !j.answersTo(q) {
		return false
	}
	rest, ok := j.parts.ChunksAfter(q.Offset, q.ReceivedText)
	if ok {
		d.listen(j, conn, rest)
	}
	return ok
}

// answersTo reports whether the refusal of j is what q asks about. Another
// dispatcher may have sent the request since.
func (j *job) answersTo(q peer.Attach) bool {
	return q.Target == "" && (q.Attempt == 0 || q.Attempt == j.msg.Attempt)
}

// takeOver resumes the answer of a dispatch at its target from the token offset
// that the gate has. Parts from elsewhere may be cut at other tokens, so that
// an earlier start would overlap.
func (d *Dispatcher) takeOver(ctx context.Context, conn *peer.Conn, q peer.Attach) (peer.AttachResult, error) {
	at, ok := d.locate(q.Target)
	if !ok {
		return peer.AttachResult{}, errkind.New(errkind.UnknownTarget, fmt.Sprintf("target %q", q.Target))
	}
	if at.plain {
		return d.takeOverPlain(ctx, conn, q, at)
	}
	stream, err := d.resume(d.Targets.Engine(at.address), q.ID, q.Offset)
	switch {
	case err == nil:
	case errors.Is(err, target.ErrNotAdmitted):
		return peer.AttachResult{Progress: target.NotKnown}, nil
	default:
		return peer.AttachResult{}, unanswered(q.Target, err)
	}
	_, err = ask(ctx, d, func() bool {
		s := d.newSettler(d.adopt(conn, q, false), at)
		d.spawn(func() {
			s.read(stream)
			s.run()
		})
		return true
	})
	return peer.AttachResult{Known: true}, err
}

func (d *Dispatcher) takeOverPlain(ctx context.Context, conn *peer.Conn, q peer.Attach, at place) (peer.AttachResult, error) {
	short, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	answer, progress, err := d.Targets.Plain(at.address, at.service).Outcome(short, q.ID)
	if err != nil {
		return peer.AttachResult{}, unanswered(q.Target, err)
	}
	if progress != target.Completed {
		return peer.AttachResult{Progress: progress}, nil
	}
	_, err = ask(ctx, d, func() bool {
		j := d.adopt(conn, q, true)
		d.finish(j, peer.Finished{Kind: errkind.None, Status: answer.Status, Body: answer.Body, Sent: true})
		return true
	})
	return peer.AttachResult{Known: true}, err
}

// unanswered is the error of a question that a target did not answer. It says
// nothing of the request: only a target's own word does.
func unanswered(id tables.TargetID, cause error) error {
	return errkind.Wrap(cause, errkind.OutcomeUnknown, fmt.Sprintf("target %q did not answer", id))
}

// adopt makes a job for a dispatch of another dispatcher. It counts against the
// window of its target.
func (d *Dispatcher) adopt(conn *peer.Conn, q peer.Attach, plain bool) *job {
	j := &job{
		msg: peer.Submit{
			ID: q.ID, Customer: q.Customer, Service: q.Service, Plain: plain,
			Tier: q.Tier, Fingerprint: q.Fingerprint, Key: q.Key,
		},
		target: q.Target, started: true, parts: stream.ResumeAt(q.Offset, q.ReceivedText),
	}
	d.jobs[q.ID] = j
	d.state.Requests.Put(&tables.Request{
		ID: q.ID, Customer: q.Customer, Service: q.Service, Tier: q.Tier, Plain: plain,
		Fingerprint: q.Fingerprint, State: tables.Running, Target: q.Target, Started: d.Clock.Now(),
	})
	d.listen(j, conn, nil)
	return j
}

// cancelRunning sends a cancel for a running job. Non-idempotent calls and
// plain calls go on, since a service cannot stop them.
func (d *Dispatcher) cancelRunning(j *job, reason errkind.Kind) {
	if j.msg.Plain || j.msg.NonIdempotent || j.reason != errkind.None {
		return
	}
	j.reason = reason
	if r := d.state.Requests.Get(j.msg.ID); r != nil {
		r.Cancelling = true
	}
	at, ok := d.locate(j.target)
	if !ok {
		return
	}
	d.spawn(func() { d.sendCancel(j, at) })
}

func (d *Dispatcher) sendCancel(j *job, at place) {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	progress, err := d.Targets.Engine(at.address).Cancel(ctx, j.msg.ID)
	if err != nil {
		progress = target.NotKnown
	}
	ended, err := ask(d.ctx, d, func() bool {
		d.finishCancelled(j, progress)
		return j.outcome != nil
	})
	if ended || err != nil {
		return
	}
	select {
	case <-d.Clock.After(cancelPause):
		d.post(func() { d.cancelFailed(j) })
	case <-d.ctx.Done():
	}
}

// cancelFailed lets a request that a cancel did not end be cancelled again. Until
// then the scheduler counts on its place.
func (d *Dispatcher) cancelFailed(j *job) {
	r := d.state.Requests.Get(j.msg.ID)
	if r != nil && j.outcome == nil && j.reason == errkind.None {
		r.Cancelling = false
	}
}

// finishCancelled ends j by the target's word on its cancel. A completed
// answer is left to its stream.
func (d *Dispatcher) finishCancelled(j *job, progress target.Progress) {
	switch progress {
	case target.NeverStarted:
		d.finish(j, peer.Finished{Kind: notRunKind(j.reason), Sent: true})
	case target.Cancelled, target.Failed:
		d.finish(j, peer.Finished{Kind: j.reason, Sent: true})
	case target.InProgress, target.Completed, target.NotKnown:
		j.reason = errkind.None
	}
}

// notRunKind returns the kind that tells the same reason of a request that was
// stopped before it ran.
func notRunKind(reason errkind.Kind) errkind.Kind {
	if reason == errkind.Preempted {
		return errkind.Displaced
	}
	return errkind.CancelledBeforeRun
}

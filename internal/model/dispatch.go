package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// queryTimeout is how long a host waits for the reply to a query to a target.
	queryTimeout = 500 * time.Millisecond
	// resolveDelay is the delay before the next step after a query left an outcome
	// unresolved.
	resolveDelay = 50 * time.Millisecond
)

// submit sends the request to a dispatcher. After a random timeout, the gate treats
// the dispatcher as lost if the request is not complete yet.
func (req *gateRequest) submit() {
	req.submittedAt = req.w.sim.now
	d := req.w.anyHost()
	req.gate.sendTo(d, func() { d.dispatch(req) })
	timeout := req.w.sim.between(3*time.Second, 8*time.Second)
	if req.w.sim.chance(req.w.faults.lostDispatcher) {
		timeout = req.w.sim.between(0, 2*time.Second)
	}
	req.gate.postAfter(timeout, req.onDispatcherLost)
}

// markContactLost sets the time at which the gate lost contact with the dispatcher. It
// keeps an earlier time.
func (req *gateRequest) markContactLost(at time.Time) {
	if req.contactLostAt.IsZero() {
		req.contactLostAt = at
	}
}

// onDispatcherLost resolves the outcome of a request whose dispatcher is unreachable.
func (req *gateRequest) onDispatcherLost() {
	if req.done {
		return
	}
	req.w.count.Resolutions++
	req.markContactLost(req.w.sim.now)
	facts := &settle.Facts{PlainService: true, MayHaveBeenSent: true, Allowed: req.w.targetIDs()}
	senderStopTime := req.w.sim.now.Add(settle.SendLease)
	req.gate.resolveOutcome(facts, req.id, senderStopTime, req.complete)
}

// dispatch sends the request of a gate to a target if the dispatcher may still send it.
// Otherwise it refuses the request.
func (h *host) dispatch(req *gateRequest) {
	refuse := func() { h.sendTo(req.gate, func() { req.complete(errkind.DeadlineUnmeetable, "") }) }
	h.prepareSend(req, refuse, func(t *modelTarget, connected int) { h.send(req, t, connected) })
}

// prepareSend selects a connection to a target, checks whether the dispatcher may still
// send, and calls send or refuse. connected is the incarnation of the target that the
// connection leads to. The host may pause between the steps. Without the rule
// ConnectBeforeCheck, the connection is opened after the check.
func (h *host) prepareSend(req *gateRequest, refuse func(), send func(t *modelTarget, connected int)) {
	t := req.w.anyTarget()
	connected := t.incarnation
	h.maybePause()
	h.post(func() {
		if !req.maySend(h) {
			refuse()
			return
		}
		if !req.w.rules.ConnectBeforeCheck {
			h.maybePause()
		}
		h.post(func() {
			if !req.w.rules.ConnectBeforeCheck {
				connected = t.incarnation
			}
			h.maybePause()
			h.post(func() { send(t, connected) })
		})
	})
}

// maySend checks the dispatcher's lease from the gate and the send deadline of the
// request. The lease starts when the dispatcher sends a heartbeat that the gate
// answers. That is always before the gate lost contact, so the model lets the lease
// start at the loss of contact, the latest possible time.
func (req *gateRequest) maySend(dispatcher *host) bool {
	if !req.w.rules.SendLease {
		return true
	}
	lastContact := req.contactLostAt
	if !req.w.rules.LeaseFromSend {
		lastContact = laterOf(lastContact, dispatcher.pausedUntil)
	}
	leased := req.contactLostAt.IsZero() || req.w.sim.now.Before(lastContact.Add(settle.SendLease))
	if req.w.streams {
		return leased && dispatcher.now().Before(req.sendDeadline)
	}
	return leased && req.w.sim.now.Before(req.submittedAt.Add(maxQueueDelay))
}

// maybePause pauses the host for a random time, with the pause probability of the history.
func (h *host) maybePause() {
	if h.w.sim.chance(h.w.faults.pause) {
		h.pause(h.w.sim.between(time.Millisecond, 15*time.Second))
	}
}

// send sends a plain call to a target. The reply, or its loss, reaches onSendResult.
func (h *host) send(req *gateRequest, t *modelTarget, connected int) {
	h.w.dispatches[req.id]++
	h.w.sim.after(h.w.sim.messageDelay(), func() {
		t.deliver(req, connected, func(p target.Progress) {
			if h.w.sim.chance(h.w.faults.lostMessage) {
				h.w.count.LostMessages++
				p = target.NotKnown
			}
			h.w.sim.after(h.w.sim.messageDelay(), func() { h.post(func() { h.onSendResult(req, t, p) }) })
		})
	})
}

// onSendResult completes a plain call with the result of its send. If the result is
// unknown, it resolves the outcome at the target.
func (h *host) onSendResult(req *gateRequest, t *modelTarget, p target.Progress) {
	finish := func(k errkind.Kind, body string) { h.finish(req, k, body) }
	switch p {
	case target.Completed:
		finish(errkind.None, expectedAnswer(req.id))
	case target.NeverStarted:
		finish(errkind.NotAdmitted, "")
	default:
		h.w.count.Resolutions++
		facts := &settle.Facts{PlainService: true, MayHaveBeenSent: true, SenderStopped: true, DispatchTarget: t.id, Allowed: []tables.TargetID{t.id}}
		h.resolveOutcome(facts, req.id, time.Time{}, finish)
	}
}

// finish reports the outcome to the gate, and records it in the log unless it proves
// that the request did not run.
func (h *host) finish(req *gateRequest, k errkind.Kind, body string) {
	if k.Answer().Ran != errkind.RanNo {
		h.sendOutcome(claim.Outcome{Key: req.key, Request: req.id, Kind: k, Body: []byte(body), BodyKept: body != ""})
	}
	h.sendTo(req.gate, func() { req.complete(k, body) })
}

// resolveOutcome carries out the steps of settle.Next until the outcome of a plain
// call is resolved. The sender cannot send any more from senderStopTime on.
func (h *host) resolveOutcome(facts *settle.Facts, id tables.RequestID, senderStopTime time.Time, onResolved func(errkind.Kind, string)) {
	retryAfter := func(d time.Duration) {
		h.postAfter(d, func() { h.resolveOutcome(facts, id, senderStopTime, onResolved) })
	}
	step := settle.Next(facts)
	switch step.Action {
	case settle.Finish:
		if step.Kind.Answer().Ran == errkind.RanNo {
			h.w.count.ResolvedNotRun++
		}
		onResolved(step.Kind, "")
	case settle.Wait:
		h.postAfter(senderStopTime.Sub(h.w.sim.now), func() {
			facts.SenderStopped = true
			h.resolveOutcome(facts, id, senderStopTime, onResolved)
		})
	case settle.Fetch:
		t := h.w.targets[step.Targets[0]]
		h.query(t, func() target.Progress { return t.progress(id) }, func(p target.Progress) {
			facts.RecordProgress(t.id, p)
			if p != target.Completed {
				retryAfter(resolveDelay)
				return
			}
			if body, kept := t.keptAnswer(id); kept {
				onResolved(errkind.None, body)
				return
			}
			facts.RecordAnswerNotKept(t.id)
			retryAfter(0)
		}, func() {
			facts.RecordFailure(t.id)
			retryAfter(resolveDelay)
		})
	case settle.Cancel:
		t := h.w.targets[step.Targets[h.w.sim.rng.IntN(len(step.Targets))]]
		h.query(t, func() target.Progress { return t.cancel(id) }, func(p target.Progress) {
			facts.RecordProgress(t.id, p)
			retryAfter(0)
		}, func() {
			facts.RecordFailure(t.id)
			retryAfter(resolveDelay)
		})
	case settle.Resume:
		h.w.addViolation("settle.Next returned Resume for a plain call")
	}
}

// query sends a query to a target, which calls answer for it. If the query or the
// reply is lost, the host calls onFailure after queryTimeout.
func (h *host) query(t *modelTarget, answer func() target.Progress, onReply func(target.Progress), onFailure func()) {
	requestLost := h.w.sim.chance(h.w.faults.lostMessage)
	replyLost := h.w.sim.chance(h.w.faults.lostMessage)
	h.w.sim.after(h.w.sim.messageDelay(), func() {
		if requestLost || t.unreachable {
			h.postAfter(queryTimeout, onFailure)
			return
		}
		p := answer()
		if replyLost {
			h.postAfter(queryTimeout, onFailure)
			return
		}
		h.postAfter(h.w.sim.messageDelay(), func() { onReply(p) })
	})
}

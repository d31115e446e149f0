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
	askTimeout  = 500 * time.Millisecond
	settlePause = 50 * time.Millisecond
)

// submit hands the request to one dispatcher. The gate may lose it any time.
func (f *flight) submit() {
	f.submitted = f.w.sim.time
	d := f.w.anyHost()
	f.gate.call(d, func() { d.dispatch(f) })
	patience := f.w.sim.between(3*time.Second, 8*time.Second)
	if f.w.sim.chance(f.w.faults.lostDispatcher) {
		patience = f.w.sim.between(0, 2*time.Second)
	}
	f.gate.later(patience, f.loseDispatcher)
}

func (f *flight) gateLost(at time.Time) {
	if f.lostAt.IsZero() {
		f.lostAt = at
	}
}

// loseDispatcher settles a request whose dispatcher is out of reach.
func (f *flight) loseDispatcher() {
	if f.done {
		return
	}
	f.w.count.Settled++
	f.gateLost(f.w.sim.time)
	facts := &settle.Facts{PlainService: true, MayHaveBeenSent: true, Allowed: f.w.targetIDs()}
	stop := f.w.sim.time.Add(settle.SendLease)
	f.gate.settle(facts, f.id, stop, f.end)
}

// dispatch is the dispatcher's side: it picks a connection, checks that it may
// still send, and writes. It may pause between any two of these.
func (h *host) dispatch(f *flight) {
	refuse := func() { h.call(f.gate, func() { f.end(errkind.DeadlineUnmeetable, "") }) }
	h.sendOnce(f, refuse, func(t *modelTarget, connected int) { h.send(f, t, connected) })
}

func (h *host) sendOnce(f *flight, refuse func(), send func(t *modelTarget, connected int)) {
	t := f.w.anyTarget()
	connected := t.incarnation
	h.maybePause()
	h.post(func() {
		if !f.maySend(h) {
			refuse()
			return
		}
		if !f.w.rules.ConnectFirst {
			h.maybePause()
		}
		h.post(func() {
			if !f.w.rules.ConnectFirst {
				connected = t.incarnation
			}
			h.maybePause()
			h.post(func() { send(t, connected) })
		})
	})
}

// maySend is the dispatcher's check of its lease from the gate and of the
// deadline. The lease counts from a heartbeat that the gate has answered, and
// so from before the gate lost the dispatcher.
func (f *flight) maySend(dispatcher *host) bool {
	if !f.w.rules.SendLease {
		return true
	}
	heard := f.lostAt
	if !f.w.rules.LeaseFromSend {
		heard = later(heard, dispatcher.pausedUntil)
	}
	leased := f.lostAt.IsZero() || f.w.sim.time.Before(heard.Add(settle.SendLease))
	if f.w.streams {
		return leased && dispatcher.now().Before(f.sendBy)
	}
	return leased && f.w.sim.time.Before(f.submitted.Add(dueWithin))
}

func (h *host) maybePause() {
	if h.w.sim.chance(h.w.faults.pause) {
		h.pause(h.w.sim.between(time.Millisecond, 15*time.Second))
	}
}

func (h *host) send(f *flight, t *modelTarget, connected int) {
	h.w.dispatches[f.id]++
	h.w.sim.after(h.w.sim.delay(), func() {
		t.deliver(f, connected, func(p target.Progress) {
			if h.w.sim.chance(h.w.faults.lostMessage) {
				h.w.count.LostMessages++
				p = target.NotKnown
			}
			h.w.sim.after(h.w.sim.delay(), func() { h.post(func() { h.sent(f, t, p) }) })
		})
	})
}

// sent takes the result of a send; a broken connection settles at the target.
func (h *host) sent(f *flight, t *modelTarget, p target.Progress) {
	finish := func(k errkind.Kind, body string) { h.finish(f, k, body) }
	switch p {
	case target.Completed:
		finish(errkind.None, answerOf(f.id))
	case target.NeverStarted:
		finish(errkind.NotAdmitted, "")
	default:
		h.w.count.Settled++
		facts := &settle.Facts{PlainService: true, MayHaveBeenSent: true, SenderStopped: true, DispatchTarget: t.id, Allowed: []tables.TargetID{t.id}}
		h.settle(facts, f.id, time.Time{}, finish)
	}
}

// finish tells the gate and records what ran.
func (h *host) finish(f *flight, k errkind.Kind, body string) {
	if k.Answer().Ran != errkind.RanNo {
		h.recordAnywhere(claim.Outcome{Key: f.key, Request: f.id, Kind: k, Body: []byte(body), BodyKept: body != ""})
	}
	h.call(f.gate, func() { f.end(k, body) })
}

// settle carries out the settle system's steps for a request until it has an
// outcome. The sender has stopped at the time stop.
func (h *host) settle(f *settle.Facts, id tables.RequestID, stop time.Time, done func(errkind.Kind, string)) {
	again := func(d time.Duration) { h.later(d, func() { h.settle(f, id, stop, done) }) }
	step := settle.Next(f)
	switch step.Action {
	case settle.Finish:
		if step.Kind.Answer().Ran == errkind.RanNo {
			h.w.count.SettledNotRun++
		}
		done(step.Kind, "")
	case settle.Wait:
		h.later(stop.Sub(h.w.sim.time), func() {
			f.SenderStopped = true
			h.settle(f, id, stop, done)
		})
	case settle.Fetch:
		t := h.w.targets[step.Targets[0]]
		h.ask(t, func() target.Progress { return t.progress(id) }, func(p target.Progress) {
			f.RecordProgress(t.id, p)
			if p != target.Completed {
				again(settlePause)
				return
			}
			if body, kept := t.answer(id); kept {
				done(errkind.None, body)
				return
			}
			f.RecordAnswerNotKept(t.id)
			again(0)
		}, func() {
			f.RecordFailure(t.id)
			again(settlePause)
		})
	case settle.Cancel:
		t := h.w.targets[step.Targets[h.w.sim.rng.IntN(len(step.Targets))]]
		h.ask(t, func() target.Progress { return t.cancel(id) }, func(p target.Progress) {
			f.RecordProgress(t.id, p)
			again(0)
		}, func() {
			f.RecordFailure(t.id)
			again(settlePause)
		})
	case settle.Resume:
		h.w.fail("a plain call has no stream to resume")
	}
}

// ask puts a question to a target; the question or its answer may get lost.
func (h *host) ask(t *modelTarget, question func() target.Progress, heard func(target.Progress), lost func()) {
	asked := h.w.sim.chance(h.w.faults.lostMessage)
	replied := h.w.sim.chance(h.w.faults.lostMessage)
	h.w.sim.after(h.w.sim.delay(), func() {
		if asked || t.silent {
			h.later(askTimeout, lost)
			return
		}
		p := question()
		if replied {
			h.later(askTimeout, lost)
			return
		}
		h.later(h.w.sim.delay(), func() { heard(p) })
	})
}

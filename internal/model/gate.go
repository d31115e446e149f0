package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	acquireTimeout = 3 * time.Second
	// submitWithin bounds the time from the acquire call to the submit.
	submitWithin = 5 * time.Second
	// dueWithin bounds the time from the submit to the send.
	dueWithin = 20 * time.Second
	joinPolls = 40
	joinPause = 300 * time.Millisecond
)

// reply is what a caller was told about its attempt.
type reply struct {
	id   tables.RequestID
	kind errkind.Kind
	body string
	// about is the request whose outcome was told.
	about tables.RequestID
}

// flight is one attempt of a caller at its gate.
type flight struct {
	w        *world
	gate     *host
	key      claim.Key
	id       tables.RequestID
	began    time.Time
	replied  bool
	done     bool
	kind     errkind.Kind
	body     string
	answered bool
	// submitted and lostAt are when the dispatcher got the request and when
	// the gate stopped answering its heartbeats.
	submitted time.Time
	lostAt    time.Time
	streamed
}

// request is a caller's send of a key to a gate.
func (h *host) request(key claim.Key) {
	f := &flight{w: h.w, gate: h, key: key, id: h.w.newRequest(h), began: h.w.sim.time}
	f.sendBy = h.now().Add(submitWithin + dueWithin)
	h.flights[f.id] = f
	home := h.w.anyHost()
	ask := claim.AcquireRequest{Key: key, Request: f.id, Fingerprint: 1, TargetsDigest: h.w.digest}
	h.call(home, func() {
		home.acquire(ask, func(a claim.Result) {
			home.call(h, func() { f.acquired(a) })
		})
	})
	h.later(submitWithin, func() {
		if !f.answered {
			f.answered = true
			f.end(errkind.ClaimsUnavailable, "")
		}
	})
}

// acquired takes the answer of the home.
func (f *flight) acquired(a claim.Result) {
	if f.answered {
		return
	}
	f.answered = true
	switch {
	case a.Err != nil:
		f.w.count.Refused[errkind.Of(a.Err)]++
		f.tell(errkind.Of(a.Err), "", f.id)
	case a.Holder != nil:
		f.join(*a.Holder, joinPolls)
	case !a.Won:
		f.w.fail("answer %+v decides nothing", a)
	case f.w.rules.SubmitWithin && f.w.sim.time.Sub(f.began) >= submitWithin:
		f.end(errkind.ClaimsUnavailable, "")
	case f.w.streams:
		f.submitStream()
	default:
		f.submit()
	}
}

// end is the outcome of the flight's own request; it is told and recorded.
func (f *flight) end(k errkind.Kind, body string) {
	if f.done {
		return
	}
	f.done, f.kind, f.body = true, k, body
	f.tell(k, body, f.id)
	f.gate.recordAnywhere(claim.Outcome{Key: f.key, Request: f.id, Kind: k, Body: []byte(body), BodyKept: k == errkind.None && body != ""})
}

// tell answers the caller once.
func (f *flight) tell(k errkind.Kind, body string, about tables.RequestID) {
	if f.replied {
		return
	}
	f.replied = true
	f.w.replies = append(f.w.replies, reply{id: f.id, kind: k, body: body, about: about})
	f.w.count.Replies[k]++
	if k.Answer().Ran == errkind.RanNo && k != errkind.KeyExpired && f.w.sim.chance(0.7) {
		f.w.resend(f.key)
	}
}

// recordAnywhere sends an outcome to some home.
func (h *host) recordAnywhere(o claim.Outcome) {
	home := h.w.anyHost()
	h.call(home, func() { home.record(o) })
}

// join answers with the outcome of the request that holds the key.
func (f *flight) join(holder claim.Holder, polls int) {
	if holder.HasOutcome {
		f.w.count.RepeatsAnswered++
		body := ""
		kind := holder.Kind
		if o, ok := f.w.log.outcome(f.key, holder); ok && o.BodyKept {
			body = string(o.Body)
		} else if kind == errkind.None {
			kind = errkind.AnswerNotKept
		}
		f.tell(kind, body, holder.Request)
		return
	}
	gate := f.w.gateOf(holder.Request)
	var known bool
	f.gate.call(gate, func() {
		other := gate.flights[holder.Request]
		gate.call(f.gate, func() {
			known = other != nil
			if known && other.done {
				f.joined(other)
			}
		})
	})
	f.gate.later(joinPause, func() {
		switch {
		case f.replied:
		case known && polls > 0:
			f.join(holder, polls-1)
		default:
			f.joinOrphan(holder)
		}
	})
}

// joined takes the outcome that the holder's gate knows. One that proves "not
// run" frees the key for the caller's next attempt.
func (f *flight) joined(other *flight) {
	if f.replied {
		return
	}
	f.tell(other.kind, other.body, other.id)
	if other.kind.Answer().Ran == errkind.RanNo {
		f.gate.recordAnywhere(claim.Outcome{Key: f.key, Request: other.id, Kind: other.kind})
	}
}

// joinOrphan settles the request of a gate that is gone, once nobody can send
// it any more.
func (f *flight) joinOrphan(holder claim.Holder) {
	bound := submitWithin + dueWithin
	stopped := !f.w.rules.HolderLapse || settle.HolderStopped(f.gate.now(), holder.Since, bound, clockSkew)
	if !stopped || holder.TargetsDigest != f.w.digest {
		f.tell(errkind.OutcomeUnknown, "", holder.Request)
		return
	}
	f.w.count.OrphansSettled++
	if f.w.streams {
		f.settleOrphanStream(holder)
		return
	}
	facts := &settle.Facts{PlainService: true, MayHaveBeenSent: true, SenderStopped: true, Allowed: f.w.targetIDs()}
	f.gate.settle(facts, holder.Request, time.Time{}, func(k errkind.Kind, body string) {
		f.gate.recordAnywhere(claim.Outcome{Key: f.key, Request: holder.Request, Kind: k, Body: []byte(body), BodyKept: body != ""})
		f.tell(k, body, holder.Request)
	})
}

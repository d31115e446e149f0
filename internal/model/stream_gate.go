package model

import (
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/systems/stream"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	maxSubmits    = 3
	maxReattach   = 2
	attachWait    = 4 * askTimeout
	shortestTrust = 2 * time.Second
	longestTrust  = 12 * time.Second
)

// streamed is the gate's side of a generation.
type streamed struct {
	parts stream.Answer
	// source is the connection of the present attempt.
	source *link
	// lost is called when that connection broke or left a gap.
	lost       func()
	submits    int
	reattached int
	// about is the request whose answer the flight gets, when it is not its own.
	about tables.RequestID
	// sendBy is when the request may be sent at the latest, by the gate's clock.
	sendBy time.Time
}

// link is a connection from a dispatcher to a gate. Its messages keep their
// order; once it is broken, what is on its way still arrives.
type link struct {
	f           *flight
	incarnation int64
	broken      bool
	at          time.Time
}

func (f *flight) newLink() *link {
	l := &link{f: f, incarnation: f.gate.incarnation}
	f.source = l
	return l
}

// post delivers a message to the process that opened the link.
func (l *link) post(message func()) {
	w := l.f.w
	if l.broken {
		return
	}
	if w.sim.chance(w.faults.lostMessage / 2) {
		w.count.LostMessages++
		l.broken = true
		message = func() { l.f.linkLost(l) }
	}
	l.at = later(l.at, w.sim.time.Add(w.sim.delay()))
	w.sim.after(l.at.Sub(w.sim.time), func() {
		if l.f.gate.incarnation == l.incarnation {
			l.f.gate.post(message)
		}
	})
}

// sendPart sends a part; one that the gate can't read is lost by itself.
func (l *link) sendPart(c target.Chunk) {
	if l.f.w.sim.chance(l.f.w.faults.lostMessage / 10) {
		l.f.w.count.LostMessages++
		return
	}
	l.post(func() { l.f.onPart(l, c) })
}

func (l *link) sendEnd(v verdict) { l.post(func() { l.f.onEnd(l, v) }) }

// hears reports whether the flight still listens to l.
func (f *flight) hears(l *link) bool {
	return !f.done && (f.source == l || !f.w.rules.SourceOnly)
}

func (f *flight) onPart(l *link, c target.Chunk) {
	if !f.hears(l) {
		f.w.count.LateParts++
		return
	}
	if !f.w.rules.OffsetCheck {
		c.Offset = f.parts.EndOffset()
	}
	if f.parts.Add(c) == stream.MissingChunk {
		f.w.count.Gaps++
		f.linkLost(l)
	}
}

func (f *flight) onEnd(l *link, v verdict) {
	switch {
	case !f.hears(l):
	case v.unsent && f.submits < maxSubmits:
		f.w.count.Resubmitted++
		f.submitStream()
	case v.kind == errkind.None && v.tokens != f.parts.EndOffset() && f.w.rules.WholeCheck:
		f.linkLost(l)
	default:
		f.conclude(v.kind)
	}
}

// conclude ends the flight with the answer so far.
func (f *flight) conclude(k errkind.Kind) {
	body := string(f.parts.Text())
	if f.about == "" {
		f.end(k, body)
		return
	}
	f.done = true
	f.gate.recordAnywhere(claim.Outcome{Key: f.key, Request: f.about, Kind: k, Body: []byte(body), BodyKept: k == errkind.None})
	f.tell(k, body, f.about)
}

// linkLost goes on without a link that broke.
func (f *flight) linkLost(l *link) {
	if f.done || f.source != l {
		return
	}
	f.source = nil
	f.lost()
}

// submitStream hands the request to one dispatcher and listens to it.
func (f *flight) submitStream() {
	f.submits++
	f.submitted = f.w.sim.time
	d := f.w.anyHost()
	l := f.newLink()
	f.lost = func() { f.reattach(d) }
	f.trust(l)
	attempt := f.submits
	f.gate.call(d, func() { d.accept(f, l, attempt) })
}

// trust gives a link up after a while, as a silent one is.
func (f *flight) trust(l *link) {
	patience := f.w.sim.between(shortestTrust, longestTrust)
	if f.w.sim.chance(f.w.faults.lostDispatcher) {
		patience = f.w.sim.between(0, shortestTrust)
	}
	f.gate.later(patience, func() { f.linkLost(l) })
}

// reattach asks the same dispatcher on a new connection before the request is
// settled without it.
func (f *flight) reattach(d *host) {
	if f.reattached >= maxReattach || f.w.sim.chance(0.5) {
		f.settleStream()
		return
	}
	f.reattached++
	f.w.count.Reattached++
	l := f.newLink()
	f.lost = func() { f.reattach(d) }
	f.trust(l)
	f.gate.call(d, func() {
		j := d.jobs[f.id]
		if j == nil || j.refused() && j.attempt != f.submits && f.w.rules.PresentAttempt {
			return
		}
		if rest, ok := j.parts.ChunksAfter(f.parts.EndOffset(), string(f.parts.Text())); ok {
			j.attach(l, rest)
		}
	})
}

// settleStream settles a request whose dispatcher is out of reach.
func (f *flight) settleStream() {
	f.w.count.Settled++
	f.gateLost(f.w.sim.time)
	stop := f.w.sim.time.Add(settle.SendLease)
	facts := &settle.Facts{MayHaveBeenSent: true, Allowed: f.w.targetIDs()}
	f.settleParts(f.id, facts, stop, f.conclude)
}

// settleParts settles a generation through other dispatchers.
func (f *flight) settleParts(id tables.RequestID, facts *settle.Facts, stop time.Time, done func(errkind.Kind)) {
	var step func()
	step = func() {
		if f.done || f.replied {
			return
		}
		facts.Offset = f.parts.EndOffset()
		s := streamSettler{h: f.gate, id: id, facts: facts, stop: stop, next: step}
		s.resume = func(t *modelTarget) { f.resumeThrough(f.w.anyHost(), id, facts, t, step) }
		s.carryOut(done)
	}
	step()
}

// resumeThrough lets another dispatcher take the answer over.
func (f *flight) resumeThrough(d *host, id tables.RequestID, facts *settle.Facts, t *modelTarget, next func()) {
	before := f.parts.EndOffset()
	l := f.newLink()
	answered := false
	f.lost = func() {
		answered = true
		if f.parts.EndOffset() > before {
			facts.RecordProgress(t.id, target.InProgress)
		} else {
			facts.RecordFailure(t.id)
		}
		f.gate.later(settlePause, next)
	}
	f.gate.later(attachWait, func() {
		if !answered {
			f.linkLost(l)
		}
	})
	f.gate.call(d, func() {
		d.takeOver(f, id, l, t, func(known bool) {
			d.call(f.gate, func() {
				if answered {
					return
				}
				answered = true
				if known {
					f.trust(l)
					return
				}
				f.source = nil
				facts.RecordNoStream(t.id)
				next()
			})
		})
	})
}

// settleOrphanStream settles the generation of a gate that is gone.
func (f *flight) settleOrphanStream(holder claim.Holder) {
	facts := &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, Allowed: f.w.targetIDs()}
	f.about = holder.Request
	f.settleParts(holder.Request, facts, time.Time{}, f.conclude)
}

// checkStream states what must hold of an answer that a caller was told.
func (w *world) checkStream(r reply) {
	own := w.own[r.about]
	if r.kind == errkind.None && r.body != own {
		w.fail("request %s was told %q as the whole answer %q of %s", r.id, r.body, own, r.about)
	}
	if !strings.HasPrefix(own, r.body) {
		w.fail("request %s was given %q, which is not of the answer %q of %s", r.id, r.body, own, r.about)
	}
}

package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/systems/stream"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	streamSilence = 2 * time.Second
	longestQueue  = 2 * time.Second
	// returnedShare is the part of requests that a dispatcher gives back unsent.
	returnedShare = 0.2
)

// verdict is the end that a dispatcher tells a gate.
type verdict struct {
	kind   errkind.Kind
	tokens int
	// unsent is set when no byte can have reached a target.
	unsent bool
}

// job is a generation in the hands of a dispatcher, which sent it or took it over.
type job struct {
	h     *host
	f     *flight
	id    tables.RequestID
	parts stream.Answer
	facts *settle.Facts
	links []*link
	end   *verdict
	// attempt numbers the submissions of the gate.
	attempt int
}

// refused reports whether the job ended unsent, so that another dispatcher may
// have the request since.
func (j *job) refused() bool { return j.end != nil && j.end.unsent }

// accept queues the request of a gate, or takes it for a known one.
func (h *host) accept(f *flight, l *link, attempt int) {
	if j := h.jobs[f.id]; j != nil && !j.refused() {
		j.attach(l, j.parts.Chunks())
		return
	}
	j := &job{h: h, f: f, id: f.id, links: []*link{l}, attempt: attempt}
	h.jobs[f.id] = j
	h.later(h.w.sim.between(0, longestQueue), func() {
		if h.w.sim.chance(returnedShare) {
			j.finish(verdict{kind: errkind.ShuttingDown, unsent: true})
			return
		}
		late := func() { j.finish(verdict{kind: errkind.DeadlineUnmeetable}) }
		h.sendOnce(f, late, j.send)
	})
}

// send writes the request to a target once.
func (j *job) send(t *modelTarget, connected int) {
	w := j.h.w
	w.dispatches[j.id]++
	j.facts = &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, DispatchTarget: t.id, Allowed: []tables.TargetID{t.id}}
	w.sim.after(w.sim.delay(), func() {
		if t.incarnation != connected {
			j.h.later(w.sim.delay(), j.step)
			return
		}
		if !t.generate(j.f, j.reader(t, j.step)) {
			j.h.later(w.sim.delay(), func() { j.finish(verdict{kind: errkind.NotAdmitted}) })
		}
	})
}

// reader follows the stream of the job until it breaks or falls silent; then it
// calls next.
func (j *job) reader(t *modelTarget, next func()) *reader {
	r := &reader{t: t, id: j.id, next: j.parts.EndOffset()}
	ended := false
	end := func() {
		if !ended {
			ended = true
			r.over = true
			next()
		}
	}
	heard := j.h.w.sim.time
	r.chunk = func(c target.Chunk) {
		j.h.post(func() {
			if ended {
				j.h.w.count.LateParts++
			}
			heard = j.h.w.sim.time
			j.take(c)
		})
	}
	r.broke = func() { j.h.post(end) }
	var watch func()
	watch = func() {
		if j.h.w.sim.time.Sub(heard) >= streamSilence {
			end()
		}
		if !ended && j.end == nil {
			j.h.later(streamSilence, watch)
		}
	}
	j.h.later(streamSilence, watch)
	return r
}

// take adds a part and passes it on.
func (j *job) take(c target.Chunk) {
	if j.end != nil {
		return
	}
	if !j.h.w.rules.OffsetCheck {
		c.Offset = j.parts.EndOffset()
	}
	if j.parts.Add(c) != stream.Appended {
		return
	}
	for _, l := range j.links {
		l.sendPart(c)
	}
	if j.parts.CompletedBy(c) {
		j.finish(verdict{kind: errkind.None})
	}
}

// step does what the settle system says after a stream ended too early.
func (j *job) step() {
	if j.end != nil {
		return
	}
	j.facts.Offset = j.parts.EndOffset()
	s := streamSettler{h: j.h, id: j.id, facts: j.facts, next: j.step, resume: j.resume}
	s.carryOut(func(k errkind.Kind) { j.finish(verdict{kind: k}) })
}

// resume opens the stream anew at the offset of the job.
func (j *job) resume(t *modelTarget) {
	j.h.w.count.Resumes++
	j.h.openStream(t, j.id, func(known bool) {
		if !known {
			j.facts.RecordNoStream(t.id)
			j.step()
			return
		}
		j.facts.RecordProgress(t.id, target.InProgress)
		t.resume(j.reader(t, j.step))
	}, func() {
		j.facts.RecordFailure(t.id)
		j.h.later(settlePause, j.step)
	})
}

// openStream asks a target for the stream of a dispatch.
func (h *host) openStream(t *modelTarget, id tables.RequestID, answered func(known bool), lost func()) {
	h.ask(t, func() target.Progress {
		if t.hasStream(id) {
			return target.InProgress
		}
		return target.NotKnown
	}, func(p target.Progress) { answered(p == target.InProgress && t.hasStream(id)) }, lost)
}

// finish ends the job, tells every gate that listens and records what ran.
func (j *job) finish(v verdict) {
	if j.end != nil {
		return
	}
	v.tokens = j.parts.EndOffset()
	j.end = &v
	if v.kind.Answer().Ran != errkind.RanNo {
		j.h.recordAnywhere(claim.Outcome{Key: j.f.key, Request: j.id, Kind: v.kind, Body: j.parts.Text(), BodyKept: v.kind == errkind.None && j.parts.FromStart()})
	}
	for _, l := range j.links {
		l.sendEnd(v)
	}
}

// attach adds a gate's connection and sends it the parts that it lacks.
func (j *job) attach(l *link, parts []target.Chunk) {
	for _, c := range parts {
		l.sendPart(c)
	}
	if j.end != nil {
		l.sendEnd(*j.end)
		return
	}
	j.links = append(j.links, l)
}

// takeOver resumes the answer of another dispatcher's job at the offset of a gate.
func (h *host) takeOver(f *flight, id tables.RequestID, l *link, t *modelTarget, known func(bool)) {
	offset, text := f.parts.EndOffset(), string(f.parts.Text())
	if j := h.jobs[id]; j != nil && (!j.refused() || !h.w.rules.PresentAttempt) {
		if rest, ok := j.parts.ChunksAfter(offset, text); ok {
			j.attach(l, rest)
			known(true)
			return
		}
	}
	h.openStream(t, id, func(has bool) {
		if has {
			h.adopt(f, id, l, t, stream.ResumeAt(offset, text))
		}
		known(has)
	}, func() {})
}

func (h *host) adopt(f *flight, id tables.RequestID, l *link, t *modelTarget, parts stream.Answer) {
	h.w.count.TakenOver++
	j := &job{h: h, f: f, id: id, parts: parts, links: []*link{l}}
	j.facts = &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, DispatchTarget: t.id, Allowed: []tables.TargetID{t.id}}
	h.jobs[id] = j
	r := j.reader(t, j.step)
	if !h.w.rules.ResumeAtOffset {
		r.next = 0
		first := r.chunk
		shift := parts.EndOffset()
		r.chunk = func(c target.Chunk) {
			c.Offset += shift
			first(c)
		}
	}
	t.resume(r)
}

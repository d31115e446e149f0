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
	// streamStallTimeout is how long a dispatcher waits for the next chunk of a stream.
	streamStallTimeout = 2 * time.Second
	maxQueueTime       = 2 * time.Second
	// unsentProbability is the probability that a dispatcher returns a request unsent.
	unsentProbability = 0.2
)

// streamEnd is the message with which a dispatcher reports the end of a job to a gate.
type streamEnd struct {
	kind errkind.Kind
	// tokens is the number of tokens of the answer at the dispatcher.
	tokens int
	// unsent is set if no byte can have reached a target.
	unsent bool
}

// job is a generation at a dispatcher that accepted the request or took its answer over.
type job struct {
	h      *host
	req    *gateRequest
	id     tables.RequestID
	answer stream.Answer
	// facts is nil until the request is sent or its answer taken over.
	facts *settle.Facts
	links []*link
	// end is nil until the job has ended.
	end *streamEnd
	// attempt is the number of the gate's submission; zero for a takeover.
	attempt int
}

// endedUnsent reports whether the job ended without a send. The gate may have submitted
// the request to another dispatcher since then.
func (j *job) endedUnsent() bool { return j.end != nil && j.end.unsent }

// accept queues a submitted request. If the dispatcher already has a job for the request,
// accept attaches the link to that job instead, unless the job ended without a send.
func (h *host) accept(req *gateRequest, l *link, attempt int) {
	if j := h.jobs[req.id]; j != nil && !j.endedUnsent() {
		j.attach(l, j.answer.Chunks())
		return
	}
	j := &job{h: h, req: req, id: req.id, links: []*link{l}, attempt: attempt}
	h.jobs[req.id] = j
	h.postAfter(h.w.sim.between(0, maxQueueTime), func() {
		if h.w.sim.chance(unsentProbability) {
			j.finish(streamEnd{kind: errkind.ShuttingDown, unsent: true})
			return
		}
		refuse := func() { j.finish(streamEnd{kind: errkind.DeadlineUnmeetable}) }
		h.prepareSend(req, refuse, j.send)
	})
}

// send sends the request to a target. If the connection is broken, it resolves the
// outcome.
func (j *job) send(t *modelTarget, connected int) {
	w := j.h.w
	w.dispatches[j.id]++
	j.facts = &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, DispatchTarget: t.id, Allowed: []tables.TargetID{t.id}}
	w.sim.after(w.sim.messageDelay(), func() {
		if t.incarnation != connected {
			j.h.postAfter(w.sim.messageDelay(), j.resolveStep)
			return
		}
		if !t.generate(j.req, j.newReader(t, j.resolveStep)) {
			j.h.postAfter(w.sim.messageDelay(), func() { j.finish(streamEnd{kind: errkind.NotAdmitted}) })
		}
	})
}

// newReader returns a reader of the job's stream from the end of its answer on. onEnd is
// called at most once: when the stream breaks, or when it sends nothing for
// streamStallTimeout.
func (j *job) newReader(t *modelTarget, onEnd func()) *reader {
	r := &reader{target: t, id: j.id, nextOffset: j.answer.EndOffset()}
	ended := false
	end := func() {
		if !ended {
			ended = true
			r.closed = true
			onEnd()
		}
	}
	lastChunkAt := j.h.w.sim.now
	r.onChunk = func(c target.Chunk) {
		j.h.post(func() {
			if ended {
				j.h.w.count.LateChunks++
			}
			lastChunkAt = j.h.w.sim.now
			j.addChunk(c)
		})
	}
	r.onBroken = func() { j.h.post(end) }
	var watch func()
	watch = func() {
		if j.h.w.sim.now.Sub(lastChunkAt) >= streamStallTimeout {
			end()
		}
		if !ended && j.end == nil {
			j.h.postAfter(streamStallTimeout, watch)
		}
	}
	j.h.postAfter(streamStallTimeout, watch)
	return r
}

// addChunk adds a chunk to the answer and sends it to the gates.
func (j *job) addChunk(c target.Chunk) {
	if j.end != nil {
		return
	}
	if !j.h.w.rules.CheckOffsets {
		c.Offset = j.answer.EndOffset()
	}
	if j.answer.Add(c) != stream.Appended {
		return
	}
	for _, l := range j.links {
		l.sendChunk(c)
	}
	if j.answer.CompletedBy(c) {
		j.finish(streamEnd{kind: errkind.None})
	}
}

// resolveStep carries out the next step of settle.Next after the stream ended early.
func (j *job) resolveStep() {
	if j.end != nil {
		return
	}
	j.facts.Offset = j.answer.EndOffset()
	resolver := streamResolver{h: j.h, id: j.id, facts: j.facts, next: j.resolveStep, resume: j.resume}
	resolver.run(func(k errkind.Kind) { j.finish(streamEnd{kind: k}) })
}

// resume queries the target for the stream and reads it from the end of the answer on.
func (j *job) resume(t *modelTarget) {
	j.h.w.count.Resumes++
	j.h.queryStream(t, j.id, func(hasStream bool) {
		if !hasStream {
			j.facts.RecordNoStream(t.id)
			j.resolveStep()
			return
		}
		j.facts.RecordProgress(t.id, target.InProgress)
		t.attachReader(j.newReader(t, j.resolveStep))
	}, func() {
		j.facts.RecordFailure(t.id)
		j.h.postAfter(resolveDelay, j.resolveStep)
	})
}

// queryStream queries a target for the stream of a dispatch. It calls onFailure if the
// query or its reply is lost.
func (h *host) queryStream(t *modelTarget, id tables.RequestID, onReply func(hasStream bool), onFailure func()) {
	h.query(t, func() target.Progress {
		if t.hasStream(id) {
			return target.InProgress
		}
		return target.NotKnown
	}, func(p target.Progress) { onReply(p == target.InProgress && t.hasStream(id)) }, onFailure)
}

// finish ends the job and sends the end to all gates. It records the outcome in the log
// unless the outcome proves that the request did not run.
func (j *job) finish(end streamEnd) {
	if j.end != nil {
		return
	}
	end.tokens = j.answer.EndOffset()
	j.end = &end
	if end.kind.Answer().Ran != errkind.RanNo {
		j.h.sendOutcome(claim.Outcome{Key: j.req.key, Request: j.id, Kind: end.kind, Body: j.answer.Text(), BodyKept: end.kind == errkind.None && j.answer.FromStart()})
	}
	for _, l := range j.links {
		l.sendEnd(end)
	}
}

// attach adds the link of a gate and sends the chunks that the gate does not have.
func (j *job) attach(l *link, missing []target.Chunk) {
	for _, c := range missing {
		l.sendChunk(c)
	}
	if j.end != nil {
		l.sendEnd(*j.end)
		return
	}
	j.links = append(j.links, l)
}

// takeOver continues the answer of another dispatcher's job at the offset that the gate
// has. If this dispatcher already has a job that can continue the gate's answer,
// takeOver attaches the link to that job. onReply is not called if the query to the
// target fails.
func (h *host) takeOver(req *gateRequest, id tables.RequestID, l *link, t *modelTarget, onReply func(bool)) {
	offset, text := req.answer.EndOffset(), string(req.answer.Text())
	if j := h.jobs[id]; j != nil && (!j.endedUnsent() || !h.w.rules.CurrentAttemptOnly) {
		if missing, ok := j.answer.ChunksAfter(offset, text); ok {
			j.attach(l, missing)
			onReply(true)
			return
		}
	}
	h.queryStream(t, id, func(hasStream bool) {
		if hasStream {
			h.startTakeover(req, id, l, t, stream.ResumeAt(offset, text))
		}
		onReply(hasStream)
	}, func() {})
}

// startTakeover creates a job that reads the stream from the end of answer on. Without
// the rule ResumeAtOffset, the job reads from the first token and adds the offset of the
// end of answer to the offset of each chunk.
func (h *host) startTakeover(req *gateRequest, id tables.RequestID, l *link, t *modelTarget, answer stream.Answer) {
	h.w.count.Takeovers++
	j := &job{h: h, req: req, id: id, answer: answer, links: []*link{l}}
	j.facts = &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, DispatchTarget: t.id, Allowed: []tables.TargetID{t.id}}
	h.jobs[id] = j
	r := j.newReader(t, j.resolveStep)
	if !h.w.rules.ResumeAtOffset {
		r.nextOffset = 0
		addChunk := r.onChunk
		shift := answer.EndOffset()
		r.onChunk = func(c target.Chunk) {
			c.Offset += shift
			addChunk(c)
		}
	}
	t.attachReader(r)
}

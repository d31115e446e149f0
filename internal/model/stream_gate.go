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
	maxSubmits       = 3
	maxReattachments = 2
	// takeoverTimeout is how long a gate waits for a dispatcher to take over an answer.
	takeoverTimeout = 4 * queryTimeout
	minLinkLifetime = 2 * time.Second
	maxLinkLifetime = 12 * time.Second
)

// streamState is the state of a generation at its gate.
type streamState struct {
	answer stream.Answer
	// currentLink is the connection from which the gate expects the answer; nil if there is
	// none.
	currentLink *link
	// onLinkLost is called when the gate drops the current link.
	onLinkLost    func()
	submitCount   int
	reattachCount int
	// orphanedHolder is the request that holds the key, if its own gate does not report
	// its outcome and this gate request receives its answer instead. Otherwise it is empty.
	orphanedHolder tables.RequestID
	// sendDeadline is the latest time at which the request may be sent. The gate computes
	// it from its own clock.
	sendDeadline time.Time
}

// link is a connection from a dispatcher to a gate. It delivers messages in order. A
// lost message breaks the link; the messages sent before it still arrive.
type link struct {
	req         *gateRequest
	incarnation int64
	broken      bool
	// lastArrival is the arrival time of the latest message.
	lastArrival time.Time
}

// newLink opens a link to the gate of the request and makes it the current one.
func (req *gateRequest) newLink() *link {
	l := &link{req: req, incarnation: req.gate.incarnation}
	req.currentLink = l
	return l
}

// deliver delivers a message to the gate, unless the process of the gate that opened the
// link has crashed before the message arrives. If the message is lost, the gate detects
// the loss at the time at which the message would have arrived.
func (l *link) deliver(message func()) {
	w := l.req.w
	if l.broken {
		return
	}
	if w.sim.chance(w.faults.lostMessage / 2) {
		w.count.LostMessages++
		l.broken = true
		message = func() { l.req.dropLink(l) }
	}
	l.lastArrival = laterOf(l.lastArrival, w.sim.now.Add(w.sim.messageDelay()))
	w.sim.after(l.lastArrival.Sub(w.sim.now), func() {
		if l.req.gate.incarnation == l.incarnation {
			l.req.gate.post(message)
		}
	})
}

// sendChunk sends a chunk. A chunk that the gate cannot decode is lost without breaking
// the link.
func (l *link) sendChunk(c target.Chunk) {
	if l.req.w.sim.chance(l.req.w.faults.lostMessage / 10) {
		l.req.w.count.LostMessages++
		return
	}
	l.deliver(func() { l.req.onChunk(l, c) })
}

// sendEnd sends the end of the answer.
func (l *link) sendEnd(end streamEnd) { l.deliver(func() { l.req.onEnd(l, end) }) }

// accepts reports whether the request accepts messages from l. Without the rule
// CurrentLinkOnly, it accepts messages from all of its links.
func (req *gateRequest) accepts(l *link) bool {
	return !req.done && (req.currentLink == l || !req.w.rules.CurrentLinkOnly)
}

// onChunk adds a chunk to the answer. If a chunk before it is missing, the link is
// dropped.
func (req *gateRequest) onChunk(l *link, c target.Chunk) {
	if !req.accepts(l) {
		req.w.count.LateChunks++
		return
	}
	if !req.w.rules.CheckOffsets {
		c.Offset = req.answer.EndOffset()
	}
	if req.answer.Add(c) == stream.MissingChunk {
		req.w.count.MissingChunks++
		req.dropLink(l)
	}
}

// onEnd handles the end of a job. It submits an unsent request again, up to maxSubmits
// submissions. It drops the link if a successful answer has another number of tokens
// than the dispatcher reported. Otherwise it completes the request.
func (req *gateRequest) onEnd(l *link, end streamEnd) {
	switch {
	case !req.accepts(l):
	case end.unsent && req.submitCount < maxSubmits:
		req.w.count.Resubmissions++
		req.submitStream()
	case end.kind == errkind.None && end.tokens != req.answer.EndOffset() && req.w.rules.CheckComplete:
		req.dropLink(l)
	default:
		req.completeStream(end.kind)
	}
}

// completeStream completes the request with the answer received so far. If the answer
// is that of an orphaned holder of the key, the outcome is recorded for that holder.
func (req *gateRequest) completeStream(k errkind.Kind) {
	body := string(req.answer.Text())
	if req.orphanedHolder == "" {
		req.complete(k, body)
		return
	}
	req.done = true
	req.gate.sendOutcome(claim.Outcome{Key: req.key, Request: req.orphanedHolder, Kind: k, Body: []byte(body), BodyKept: k == errkind.None})
	req.replyToCaller(k, body, req.orphanedHolder)
}

// dropLink drops l if it is the current link of an incomplete request, and calls
// onLinkLost.
func (req *gateRequest) dropLink(l *link) {
	if req.done || req.currentLink != l {
		return
	}
	req.currentLink = nil
	req.onLinkLost()
}

// submitStream submits the request to a dispatcher over a new link.
func (req *gateRequest) submitStream() {
	req.submitCount++
	req.submittedAt = req.w.sim.now
	d := req.w.anyHost()
	l := req.newLink()
	req.onLinkLost = func() { req.reattach(d) }
	req.scheduleLinkLoss(l)
	attempt := req.submitCount
	req.gate.sendTo(d, func() { d.accept(req, l, attempt) })
}

// scheduleLinkLoss drops the link after a random time, as if its dispatcher were
// unreachable.
func (req *gateRequest) scheduleLinkLoss(l *link) {
	lifetime := req.w.sim.between(minLinkLifetime, maxLinkLifetime)
	if req.w.sim.chance(req.w.faults.lostDispatcher) {
		lifetime = req.w.sim.between(0, minLinkLifetime)
	}
	req.gate.postAfter(lifetime, func() { req.dropLink(l) })
}

// reattach opens a new link to the same dispatcher. After maxReattachments, or at
// random before that, the gate resolves the outcome without this dispatcher.
func (req *gateRequest) reattach(d *host) {
	if req.reattachCount >= maxReattachments || req.w.sim.chance(0.5) {
		req.resolveStream()
		return
	}
	req.reattachCount++
	req.w.count.Reattachments++
	l := req.newLink()
	req.onLinkLost = func() { req.reattach(d) }
	req.scheduleLinkLoss(l)
	req.gate.sendTo(d, func() {
		j := d.jobs[req.id]
		if j == nil || j.endedUnsent() && j.attempt != req.submitCount && req.w.rules.CurrentAttemptOnly {
			return
		}
		if missing, ok := j.answer.ChunksAfter(req.answer.EndOffset(), string(req.answer.Text())); ok {
			j.attach(l, missing)
		}
	})
}

// resolveStream resolves the outcome of a request whose dispatcher is unreachable.
func (req *gateRequest) resolveStream() {
	req.w.count.Resolutions++
	req.markContactLost(req.w.sim.now)
	senderStopTime := req.w.sim.now.Add(settle.SendLease)
	facts := &settle.Facts{MayHaveBeenSent: true, Allowed: req.w.targetIDs()}
	req.resolveWithTakeover(req.id, facts, senderStopTime, req.completeStream)
}

// resolveWithTakeover resolves the outcome of a generation. If settle.Next resumes the
// stream, a random dispatcher takes the answer over.
func (req *gateRequest) resolveWithTakeover(id tables.RequestID, facts *settle.Facts, senderStopTime time.Time, onResolved func(errkind.Kind)) {
	var step func()
	step = func() {
		if req.done || req.replied {
			return
		}
		facts.Offset = req.answer.EndOffset()
		resolver := streamResolver{h: req.gate, id: id, facts: facts, senderStopTime: senderStopTime, next: step}
		resolver.resume = func(t *modelTarget) { req.resumeVia(req.w.anyHost(), id, facts, t, step) }
		resolver.run(onResolved)
	}
	step()
}

// resumeVia makes dispatcher d resume the answer at the offset that the gate has.
// nextStep is called if d does not take the answer over, or when its link is lost.
func (req *gateRequest) resumeVia(d *host, id tables.RequestID, facts *settle.Facts, t *modelTarget, nextStep func()) {
	startOffset := req.answer.EndOffset()
	l := req.newLink()
	decided := false
	req.onLinkLost = func() {
		decided = true
		if req.answer.EndOffset() > startOffset {
			facts.RecordProgress(t.id, target.InProgress)
		} else {
			facts.RecordFailure(t.id)
		}
		req.gate.postAfter(resolveDelay, nextStep)
	}
	req.gate.postAfter(takeoverTimeout, func() {
		if !decided {
			req.dropLink(l)
		}
	})
	req.gate.sendTo(d, func() {
		d.takeOver(req, id, l, t, func(hasStream bool) {
			d.sendTo(req.gate, func() {
				if decided {
					return
				}
				decided = true
				if hasStream {
					req.scheduleLinkLoss(l)
					return
				}
				req.currentLink = nil
				facts.RecordNoStream(t.id)
				nextStep()
			})
		})
	})
}

// resolveOrphanStream resolves the outcome of the generation that holds the key if its
// gate does not report one.
func (req *gateRequest) resolveOrphanStream(holder claim.Holder) {
	facts := &settle.Facts{MayHaveBeenSent: true, SenderStopped: true, Allowed: req.w.targetIDs()}
	req.orphanedHolder = holder.Request
	req.resolveWithTakeover(holder.Request, facts, time.Time{}, req.completeStream)
}

// checkStreamReply checks that a successful reply has the target's complete answer and
// that any other reply has the beginning of the answer.
func (w *world) checkStreamReply(r reply) {
	generated := w.generated[r.resolvedRequest]
	if r.kind == errkind.None && r.body != generated {
		w.addViolation("request %s received %q as the complete answer %q of %s", r.id, r.body, generated, r.resolvedRequest)
	}
	if !strings.HasPrefix(generated, r.body) {
		w.addViolation("request %s received %q, which is not a prefix of the answer %q of %s", r.id, r.body, generated, r.resolvedRequest)
	}
}

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
	// maxSubmitDelay is the maximum time from the acquire call to the submission.
	maxSubmitDelay = 5 * time.Second
	// maxQueueDelay is the maximum time from the submission to the send.
	maxQueueDelay = 20 * time.Second
	// maxJoinPolls is the maximum number of repeated queries to the gate of the request
	// that holds the key.
	maxJoinPolls     = 40
	joinPollInterval = 300 * time.Millisecond
)

// reply is the reply to a caller's request.
type reply struct {
	id   tables.RequestID
	kind errkind.Kind
	body string
	// resolvedRequest is the request whose outcome the reply reports. It differs from id
	// if another request held the key.
	resolvedRequest tables.RequestID
}

// gateRequest is one request of a caller at its gate.
type gateRequest struct {
	w         *world
	gate      *host
	key       claim.Key
	id        tables.RequestID
	startedAt time.Time
	replied   bool
	done      bool
	kind      errkind.Kind
	body      string
	// acquireDone is set once the acquire call returned or timed out.
	acquireDone bool
	// submittedAt is the time of the latest submission to a dispatcher.
	submittedAt time.Time
	// contactLostAt is when the gate lost contact with the dispatcher or crashed. It is
	// zero before that.
	contactLostAt time.Time
	streamState
}

// receive accepts a caller's request with a key and sends an acquire call to a random
// host.
func (h *host) receive(key claim.Key) {
	req := &gateRequest{w: h.w, gate: h, key: key, id: h.w.newRequestID(h), startedAt: h.w.sim.now}
	req.sendDeadline = h.now().Add(maxSubmitDelay + maxQueueDelay)
	h.gateRequests[req.id] = req
	home := h.w.anyHost()
	acquire := claim.AcquireRequest{Key: key, Request: req.id, Fingerprint: 1, TargetsDigest: h.w.targetsDigest}
	h.sendTo(home, func() {
		home.handleAcquire(acquire, func(result claim.Result) {
			home.sendTo(h, func() { req.onAcquireResult(result) })
		})
	})
	h.postAfter(maxSubmitDelay, func() {
		if !req.acquireDone {
			req.acquireDone = true
			req.complete(errkind.ClaimsUnavailable, "")
		}
	})
}

// onAcquireResult continues the request with the result of its acquire call. A result is
// ignored if the call has already timed out.
func (req *gateRequest) onAcquireResult(result claim.Result) {
	if req.acquireDone {
		return
	}
	req.acquireDone = true
	switch {
	case result.Err != nil:
		req.w.count.AcquireErrors[errkind.Of(result.Err)]++
		req.replyToCaller(errkind.Of(result.Err), "", req.id)
	case result.Holder != nil:
		req.joinHolder(*result.Holder, maxJoinPolls)
	case !result.Won:
		req.w.addViolation("acquire result %+v has no error, no holder and no claim", result)
	case req.w.rules.BoundSubmitDelay && req.w.sim.now.Sub(req.startedAt) >= maxSubmitDelay:
		req.complete(errkind.ClaimsUnavailable, "")
	case req.w.streams:
		req.submitStream()
	default:
		req.submit()
	}
}

// complete sets the outcome of the request, replies to the caller and records the
// outcome in the log. Only the first call has an effect.
func (req *gateRequest) complete(k errkind.Kind, body string) {
	if req.done {
		return
	}
	req.done, req.kind, req.body = true, k, body
	req.replyToCaller(k, body, req.id)
	req.gate.sendOutcome(claim.Outcome{Key: req.key, Request: req.id, Kind: k, Body: []byte(body), BodyKept: k == errkind.None && body != ""})
}

// replyToCaller sends the first reply to the caller; later replies are dropped. A
// caller whose request did not run retries with a probability of 0.7, unless its key
// has expired.
func (req *gateRequest) replyToCaller(k errkind.Kind, body string, resolvedRequest tables.RequestID) {
	if req.replied {
		return
	}
	req.replied = true
	req.w.replies = append(req.w.replies, reply{id: req.id, kind: k, body: body, resolvedRequest: resolvedRequest})
	req.w.count.Replies[k]++
	if k.Answer().Ran == errkind.RanNo && k != errkind.KeyExpired && req.w.sim.chance(0.7) {
		req.w.scheduleRetry(req.key)
	}
}

// sendOutcome sends an outcome to a random host, which records it in the log.
func (h *host) sendOutcome(o claim.Outcome) {
	home := h.w.anyHost()
	h.sendTo(home, func() { home.handleRecord(o) })
}

// joinHolder replies with the outcome of the request that holds the key. If the claim
// has no outcome yet, joinHolder queries the gate of that request, up to polls times
// more.
func (req *gateRequest) joinHolder(holder claim.Holder, polls int) {
	if holder.HasOutcome {
		req.w.count.RetriesAnswered++
		body := ""
		kind := holder.Kind
		if o, ok := req.w.log.outcome(req.key, holder); ok && o.BodyKept {
			body = string(o.Body)
		} else if kind == errkind.None {
			kind = errkind.AnswerNotKept
		}
		req.replyToCaller(kind, body, holder.Request)
		return
	}
	gate := req.w.gateOf(holder.Request)
	var holderKnown bool
	req.gate.sendTo(gate, func() {
		holderRequest := gate.gateRequests[holder.Request]
		gate.sendTo(req.gate, func() {
			holderKnown = holderRequest != nil
			if holderKnown && holderRequest.done {
				req.onHolderOutcome(holderRequest)
			}
		})
	})
	req.gate.postAfter(joinPollInterval, func() {
		switch {
		case req.replied:
		case holderKnown && polls > 0:
			req.joinHolder(holder, polls-1)
		default:
			req.resolveOrphan(holder)
		}
	})
}

// onHolderOutcome replies with the outcome that the gate of the holder reported. An
// outcome that proves that the holder did not run is also recorded, which frees the
// key for the caller's next request.
func (req *gateRequest) onHolderOutcome(holder *gateRequest) {
	if req.replied {
		return
	}
	req.replyToCaller(holder.kind, holder.body, holder.id)
	if holder.kind.Answer().Ran == errkind.RanNo {
		req.gate.sendOutcome(claim.Outcome{Key: req.key, Request: holder.id, Kind: holder.kind})
	}
}

// resolveOrphan resolves the outcome of the holder of the key if its gate does not
// report one. While the holder may still be sent, or if the set of targets has changed,
// it replies OutcomeUnknown.
func (req *gateRequest) resolveOrphan(holder claim.Holder) {
	maxSendDelay := maxSubmitDelay + maxQueueDelay
	stopped := !req.w.rules.WaitForHolder || settle.HolderStopped(req.gate.now(), holder.Since, maxSendDelay, clockSkew)
	if !stopped || holder.TargetsDigest != req.w.targetsDigest {
		req.replyToCaller(errkind.OutcomeUnknown, "", holder.Request)
		return
	}
	req.w.count.OrphanResolutions++
	if req.w.streams {
		req.resolveOrphanStream(holder)
		return
	}
	facts := &settle.Facts{PlainService: true, MayHaveBeenSent: true, SenderStopped: true, Allowed: req.w.targetIDs()}
	req.gate.resolveOutcome(facts, holder.Request, time.Time{}, func(k errkind.Kind, body string) {
		req.gate.sendOutcome(claim.Outcome{Key: req.key, Request: holder.Request, Kind: k, Body: []byte(body), BodyKept: body != ""})
		req.replyToCaller(k, body, holder.Request)
	})
}

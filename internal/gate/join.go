package gate

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// holderPollInterval is the time between two searches for the holder of a key,
	// the request to which the key was granted.
	holderPollInterval = 100 * time.Millisecond
	// holderSearchTimeout is how long to search for a holder that no host knows.
	// It covers the time until the holder's gate submits the holder again or
	// releases its key.
	holderSearchTimeout = 2 * rerouteTimeout
)

// joinHolder returns the state of the request that holds the key of adm. If this
// gate does not know that request, joinHolder follows it at other hosts.
func (g *Gate) joinHolder(adm admittedRequest, result peer.AcquireResult) *requestState {
	if rs := g.find(result.Holder); rs != nil {
		return rs
	}
	rs := newRequestState(g, adm)
	rs.id = result.Holder
	rs.msg.ID = result.Holder
	if rs.applyRecorded(result.Outcome) {
		return rs
	}
	open := g.register(rs)
	if open == rs {
		go g.followHolder(rs, adm, result)
	}
	return open
}

// followHolder follows the holder of a key until it has an outcome. After a
// refusal by one dispatcher, the holder's gate may submit it to another, so only
// the release of the key proves that the holder did not run.
func (g *Gate) followHolder(rs *requestState, adm admittedRequest, result peer.AcquireResult) {
	defer g.unregister(rs)
	refusal := peer.Finished{Kind: errkind.NotAdmitted, Detail: "the request that held the key did not run"}
	deadline := g.Clock.Now().Add(holderSearchTimeout)
	for g.ctx.Err() == nil {
		found, done := g.followAtDispatcher(rs, &refusal)
		if done {
			return
		}
		now := g.Clock.Now()
		if found {
			deadline = now.Add(holderSearchTimeout)
		}
		if !now.Before(deadline) {
			g.endHolderSearch(rs, adm, result)
			return
		}
		g.sleepUntil(now.Add(holderPollInterval))
		if g.reacquireKey(rs, adm, &result, refusal) {
			return
		}
	}
}

// followAtDispatcher follows the holder at the dispatcher that knows it. done
// reports that the holder has its outcome. found reports that a dispatcher knew
// the holder but was lost before the outcome. If the dispatcher refused the
// holder, both are false and refusal is updated.
func (g *Gate) followAtDispatcher(rs *requestState, refusal *peer.Finished) (found, done bool) {
	located := g.lookupAtHosts(g.ctx, peer.Lookup{ID: rs.id})
	if located == nil {
		return false, false
	}
	conn, err := g.Peers.Get(g.ctx, located.host.PeerAddress)
	if err != nil {
		return false, false
	}
	result, err := g.attach(rs, conn, "")
	if err != nil || !result.Known {
		return false, false
	}
	newRefusal := peer.Finished{}
	ended := g.follow(rs, conn, &newRefusal)
	if ended == notSent {
		*refusal = newRefusal
	}
	return ended == dispatcherLost, ended == outcomeSet
}

// reacquireKey requests the key again with a new request ID. If the holder no
// longer holds the key, the outcome of rs becomes refusal. If the holder still holds
// it, result is updated, and a sufficient recorded outcome of the holder becomes the
// outcome of rs. reacquireKey reports whether it set the outcome.
func (g *Gate) reacquireKey(rs *requestState, adm admittedRequest, result *peer.AcquireResult, refusal peer.Finished) bool {
	adm.msg.ID = tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7()))
	next, err := g.acquireKey(g.ctx, adm)
	if err != nil {
		return false
	}
	if next.Won {
		g.releaseKey(adm.msg, errkind.CancelledBeforeRun)
	}
	if next.Won || next.Holder != rs.id {
		rs.finish(withRetryAfter(refusal))
		return true
	}
	*result = next
	return rs.applyRecorded(next.Outcome)
}

// endHolderSearch sets the outcome of a holder that no host knows. It first reads
// the answer from the targets, if one has it. It cancels the request at the
// targets only if the request can no longer be sent.
func (g *Gate) endHolderSearch(rs *requestState, adm admittedRequest, result peer.AcquireResult) {
	if g.followAtTargets(rs) {
		return
	}
	if result.Outcome != nil && result.Outcome.Done {
		rs.finish(peer.Finished{Kind: errkind.AnswerNotKept, Detail: fmt.Sprintf("request %s ran to its end", rs.id), Sent: true})
		return
	}
	if g.holderStopped(adm, result) {
		g.resolveHolder(rs, adm)
		return
	}
	rs.finish(peer.Finished{Kind: errkind.OutcomeUnknown, Detail: fmt.Sprintf("request %s holds the key and no host knows its outcome", rs.id), Sent: true})
}

// begunElsewhere reports whether a part of the answer has arrived from another target
// than id.
func (rs *requestState) begunElsewhere(id tables.TargetID) bool {
	snap := rs.snapshotFrom(0)
	return snap.tokens > 0 && snap.target != id
}

// followAtTargets follows the holder at the first target that knows it, and
// reports whether the holder then has its outcome. A stream of which a part has
// arrived goes on only at the target that began it.
func (g *Gate) followAtTargets(rs *requestState) bool {
	for _, v := range g.views(g.Document(), string(rs.msg.Service)) {
		if rs.begunElsewhere(v.Target) {
			continue
		}
		conn := g.connectOwner("", v.Target, 0)
		if conn == nil {
			conn = g.connectOther("", rs.id, 0)
		}
		if conn == nil {
			return false
		}
		result, err := g.attach(rs, conn, v.Target)
		if err != nil || !result.Known {
			continue
		}
		var refusal peer.Finished
		return g.follow(rs, conn, &refusal) == outcomeSet
	}
	return false
}

// applyRecorded sets the outcome from a recorded one. It returns false if the
// recorded outcome is missing or not sufficient: a success needs the complete
// answer.
func (rs *requestState) applyRecorded(o *peer.Outcome) bool {
	if o == nil || !o.Done || (o.Kind == errkind.None && !o.BodyKept) {
		return false
	}
	if o.Kind == errkind.None && !rs.msg.Plain && !rs.completeAnswer(o) {
		return false
	}
	rs.finish(peer.Finished{Kind: o.Kind, Detail: o.Detail, Target: o.Target, Tokens: o.Tokens, Status: o.Status, Body: o.Body})
	return true
}

// completeAnswer appends the part of a recorded answer that has not been received
// yet. It reports whether the answer is then complete.
func (rs *requestState) completeAnswer(o *peer.Outcome) bool {
	filled := false
	rs.update(func() { filled = rs.answer.Complete(o.Body, o.Tokens) })
	return filled
}

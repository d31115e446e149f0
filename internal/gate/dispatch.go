package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// cancelTimeout limits a cancel call whose result is ignored.
const cancelTimeout = 5 * time.Second

// attemptResult states how an attempt at one dispatcher ended.
type attemptResult int

const (
	// outcomeSet: the request has its outcome.
	outcomeSet attemptResult = iota
	// notSent: no target can have received the request, so another dispatcher may
	// be tried.
	notSent
	// dispatcherLost: the rest of the answer cannot be received from the
	// dispatcher, and a target may have received the request.
	dispatcherLost
)

// Backoff and time limit for retries while targets change their owners.
const (
	initialRerouteBackoff = 50 * time.Millisecond
	maxRerouteBackoff     = 500 * time.Millisecond
	rerouteTimeout        = 5 * time.Second
)

// dispatch submits a request to dispatchers until it has an outcome. It calls
// pick before each round, because the owners of targets may have changed.
func (g *Gate) dispatch(rs *requestState, pick func() []route.Choice) {
	defer g.unregister(rs)
	startedAt := g.Clock.Now()
	backoff := initialRerouteBackoff
	choices, partial := pick(), false
	for g.ctx.Err() == nil {
		roundStart := g.Clock.Now()
		refusal, done := g.tryEach(rs, choices)
		if done {
			return
		}
		now := g.Clock.Now()
		wasPartial := partial
		choices, partial = pick(), false
		// If the last round went only to some of the owners, the others refused
		// before it, so the owners must confirm their refusals again.
		if lacksCapacity(refusal.Kind) && (wasPartial || now.Sub(roundStart) > refusalValidity) {
			choices = g.confirmRefusal(rs, choices)
			partial = len(choices) > 0
		}
		switch {
		case rs.abandoned():
			rs.finish(refusal)
			return
		case ownerChanging(refusal.Kind) && now.Add(backoff).Before(startedAt.Add(min(rerouteTimeout, rs.msg.DueIn))):
			g.sleepUntil(now.Add(backoff))
			backoff = min(2*backoff, maxRerouteBackoff)
		case partial && wasPartial:
			g.sleepUntil(now.Add(initialRerouteBackoff))
		case partial:
		default:
			rs.finish(withRetryAfter(refusal))
			return
		}
	}
}

// ownerChanging reports whether a refusal may be due to a change of owners, so
// that another dispatcher is likely to accept the request soon.
func ownerChanging(k errkind.Kind) bool {
	return k == errkind.ShuttingDown || k == errkind.NoTarget || k == errkind.NotAdmitted
}

// tryEach submits the request to the dispatchers in order until one accepts it.
// It returns true if the request has its outcome. Otherwise it returns the refusal
// that preferRefusal selects, or CancelledBeforeRun if the request was abandoned.
func (g *Gate) tryEach(rs *requestState, choices []route.Choice) (peer.Finished, bool) {
	refusal := peer.Finished{Kind: errkind.NoTarget, Detail: "no live target serves this service"}
	for _, c := range choices {
		if rs.abandoned() {
			return peer.Finished{Kind: errkind.CancelledBeforeRun}, false
		}
		switch g.submit(rs, c, &refusal) {
		case outcomeSet:
			return refusal, true
		case dispatcherLost:
			g.resolveOutcome(rs, c)
			return refusal, true
		case notSent:
		}
	}
	return refusal, false
}

// submit submits the request to one dispatcher and follows it until the attempt
// ends. If the dispatcher refused the request, submit updates refusal.
func (g *Gate) submit(rs *requestState, c route.Choice, refusal *peer.Finished) attemptResult {
	address, ok := g.address(c.Owner)
	if !ok {
		return notSent
	}
	conn, err := g.Peers.Get(g.ctx, address)
	if err != nil {
		g.Membership.Suspect(c.Owner)
		return notSent
	}
	msg := rs.submitAt(g.Clock.Now())
	rs.attempt++
	msg.Attempt = rs.attempt
	msg.Allowed = c.Targets
	msg.SendBy = rs.arrived.Add(settle.MaxSendDelay)
	rs.addresses = g.addressesFor(rs, c.Targets)
	msg.Addresses = rs.addresses
	rs.setSource(conn)
	var result peer.SubmitResult
	if err := conn.Call(g.ctx, peer.MethodSubmit, msg, &result); err != nil {
		return dispatcherLost
	}
	g.summaries.update(c.Owner, result.Pool, g.Clock.Now())
	if result.Kind != errkind.None {
		*refusal = preferRefusal(*refusal, peer.Finished{Kind: result.Kind, Detail: result.Detail, RetryAfter: result.RetryAfter})
		return notSent
	}
	g.summaries.countSent(c.Targets)
	ended := g.follow(rs, conn, refusal)
	if finished := rs.snapshotFrom(0).finished; finished != nil {
		g.summaries.update(c.Owner, finished.Pool, g.Clock.Now())
	}
	return ended
}

// submitAt returns the submit message with its age and deadlines relative to now.
func (rs *requestState) submitAt(now time.Time) peer.Submit {
	msg := rs.msg
	waited := now.Sub(rs.arrived)
	msg.Age = waited
	msg.FirstTokenIn -= waited
	msg.DueIn -= waited
	return msg
}

// preferRefusal returns next if old is empty or says only that a host or target
// did not take the request (NoTarget, ShuttingDown, NotAdmitted), and old
// otherwise.
func preferRefusal(old, next peer.Finished) peer.Finished {
	switch old.Kind {
	case errkind.None, errkind.NoTarget, errkind.ShuttingDown, errkind.NotAdmitted:
		return next
	}
	return old
}

// follow receives the answer from one dispatcher until the attempt ends. If the
// dispatcher refused the request, follow updates refusal. If all readers of an
// unkeyed request leave, follow sends a cancel and continues to wait.
func (g *Gate) follow(rs *requestState, conn *peer.Conn, refusal *peer.Finished) attemptResult {
	defer conn.MarkInUse()()
	noReaders := rs.noReaders
	for {
		snap := rs.snapshotFrom(0)
		switch {
		case snap.finished != nil && rs.retryable(snap):
			*refusal = preferRefusal(*refusal, *snap.finished)
			return notSent
		case snap.finished != nil && rs.answerComplete(snap):
			rs.finish(*snap.finished)
			return outcomeSet
		case snap.finished != nil, snap.missingChunk:
			return dispatcherLost
		}
		select {
		case <-snap.changed:
		case <-conn.Done():
			return g.checkFinishedOnDisconnect(rs)
		case <-noReaders:
			noReaders = nil
			go g.sendCancel(conn, rs.id)
		case <-g.ctx.Done():
			return dispatcherLost
		}
	}
}

// retryable reports whether the request may be submitted to another dispatcher
// after the result in snap.
func (rs *requestState) retryable(snap snapshot) bool {
	return snap.finished.Retryable() && !rs.abandoned()
}

// answerComplete reports whether no token of a successful answer is missing. It is
// always true for a failure and for a call to a plain service.
func (rs *requestState) answerComplete(snap snapshot) bool {
	return snap.finished.Kind != errkind.None || rs.msg.Plain || snap.tokens == snap.finished.Tokens
}

// checkFinishedOnDisconnect checks for a result once more after the connection
// broke, because the last messages may have arrived just before.
func (g *Gate) checkFinishedOnDisconnect(rs *requestState) attemptResult {
	snap := rs.snapshotFrom(0)
	if snap.finished != nil && rs.answerComplete(snap) && !rs.retryable(snap) {
		rs.finish(*snap.finished)
		return outcomeSet
	}
	event.DispatcherLost.Log(g.Logger, zap.String("request", string(rs.id)))
	return dispatcherLost
}

func (g *Gate) sendCancel(conn *peer.Conn, id tables.RequestID) {
	ctx, cancel := context.WithTimeout(g.ctx, cancelTimeout)
	defer cancel()
	var result peer.CancelResult
	_ = conn.Call(ctx, peer.MethodCancel, peer.CancelRequest{ID: id}, &result)
}

// address returns the peer address of a live host.
func (g *Gate) address(host tables.HostID) (string, bool) {
	for _, h := range g.Membership.Live() {
		if h.ID == host {
			return h.PeerAddress, h.PeerAddress != ""
		}
	}
	return "", false
}

package gate

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Limits on queries about a request whose dispatcher was lost.
const (
	queryTimeout = 3 * time.Second
	// initialQueryBackoff is the backoff after the first failed query. It doubles
	// with each failure, up to maxQueryBackoff.
	initialQueryBackoff = 200 * time.Millisecond
	maxQueryBackoff     = 1 * time.Second
	// dispatcherWait is how long to wait for a dispatcher that can query the
	// targets. The membership table may have no live host for a short time.
	dispatcherWait = 10 * time.Second
	// maxReattachAttempts limits the new connections to a dispatcher that was
	// lost.
	maxReattachAttempts = 2
)

// resolveOutcome resolves the outcome of a request whose dispatcher was lost. It
// never submits the request again.
func (g *Gate) resolveOutcome(rs *requestState, c route.Choice) {
	g.Membership.Suspect(c.Owner)
	if g.reattach(rs, c.Owner) {
		return
	}
	lostAt := g.Clock.Now()
	facts := &settle.Facts{
		PlainService: rs.msg.Plain, MayHaveBeenSent: true, Allowed: c.Targets, CallerGone: rs.abandoned(),
	}
	rs.updateFacts(facts)
	g.resolveAtTargets(rs, c.Owner, facts, lostAt)
}

// resolveAtTargets queries the targets through dispatchers other than avoidedHost
// until the request has its outcome. It uses avoidedHost only if no other
// dispatcher can be reached.
func (g *Gate) resolveAtTargets(rs *requestState, avoidedHost tables.HostID, facts *settle.Facts, lostAt time.Time) {
	for g.ctx.Err() == nil {
		step := settle.Next(facts)
		if step.Action == settle.Finish {
			rs.resolvedAtTargets = true
			rs.finish(peer.Finished{Kind: step.Kind, Detail: "the dispatcher of the request was lost", Sent: true})
			return
		}
		if g.performStep(rs, avoidedHost, facts, step, lostAt) {
			return
		}
		rs.updateFacts(facts)
	}
}

// updateFacts records in facts how much of the answer has arrived and from which
// target.
func (rs *requestState) updateFacts(facts *settle.Facts) {
	snap := rs.snapshotFrom(0)
	facts.DispatchTarget, facts.Offset = snap.target, snap.tokens
}

// reattach attaches to the same dispatcher on new connections, because possibly
// only the old connection failed. It reports whether the request has its outcome.
func (g *Gate) reattach(rs *requestState, owner tables.HostID) bool {
	for range maxReattachAttempts {
		address, ok := g.address(owner)
		if !ok {
			return false
		}
		conn, err := g.Peers.Replace(g.ctx, address, rs.currentSource())
		if err != nil {
			return false
		}
		if g.attachAndFollow(rs, conn, "") {
			return true
		}
	}
	return false
}

// attachAndFollow follows the request on conn and reports whether it has its
// outcome.
func (g *Gate) attachAndFollow(rs *requestState, conn *peer.Conn, at tables.TargetID) (ok bool) {
	result, err := g.attach(rs, conn, at)
	if err != nil || !result.Known {
		return false
	}
	// Close the connection: while it is open, it renews the dispatcher's send
	// lease, which must expire before the outcome is resolved elsewhere.
	defer func() {
		if !ok {
			_ = conn.Close()
		}
	}()
	var refusal peer.Finished
	switch g.follow(rs, conn, &refusal) {
	case outcomeSet:
		return true
	case notSent:
		rs.finish(refusal)
		return true
	case dispatcherLost:
	}
	return false
}

// attach subscribes to the rest of the answer on conn and discards the result of
// the previous attempt.
func (g *Gate) attach(rs *requestState, conn *peer.Conn, at tables.TargetID) (peer.AttachResult, error) {
	rs.setSource(conn)
	ctx, cancel := context.WithTimeout(g.ctx, queryTimeout)
	defer cancel()
	var result peer.AttachResult
	err := conn.Call(ctx, peer.MethodAttach, rs.attachRequest(at), &result)
	return result, err
}

// attachRequest returns the message that subscribes to the rest of the answer.
func (rs *requestState) attachRequest(at tables.TargetID) peer.Attach {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return peer.Attach{
		ID: rs.id, Target: at, Address: rs.addresses[at], Attempt: rs.attempt, Offset: rs.answer.EndOffset(), ReceivedText: string(rs.answer.Text()),
		Customer: rs.msg.Customer, Service: rs.msg.Service, Tier: rs.msg.Tier,
		Fingerprint: rs.msg.Fingerprint, Key: rs.msg.Key,
	}
}

// performStep performs one step and reports whether the request has its outcome.
func (g *Gate) performStep(rs *requestState, avoidedHost tables.HostID, facts *settle.Facts, step settle.Step, lostAt time.Time) bool {
	switch step.Action {
	case settle.Wait:
		g.sleepUntil(lostAt.Add(settle.SendLease))
		facts.SenderStopped = true
	case settle.Cancel:
		for _, id := range step.Targets {
			g.cancelAtTarget(rs, g.awaitDispatcher(avoidedHost, rs.id, id, facts.Report(id).Failures, lostAt), facts, id)
		}
	case settle.Resume, settle.Fetch:
		for _, id := range step.Targets {
			if g.readFromTarget(rs, g.awaitDispatcher(avoidedHost, rs.id, id, facts.Report(id).Failures, lostAt), facts, id) {
				return true
			}
		}
	case settle.Finish:
	}
	return false
}

func (g *Gate) sleepUntil(t time.Time) {
	select {
	case <-g.Clock.After(t.Sub(g.Clock.Now())):
	case <-g.ctx.Done():
	}
}

// cancelAtTarget cancels the request at a target through another dispatcher and
// records the progress that the target reports. The target keeps a tombstone, so
// that it does not start the request later.
func (g *Gate) cancelAtTarget(rs *requestState, conn *peer.Conn, facts *settle.Facts, id tables.TargetID) {
	if conn == nil {
		g.recordQueryFailure(facts, id)
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, queryTimeout)
	defer cancel()
	var result peer.CancelResult
	q := peer.CancelRequest{ID: rs.id, Targets: []tables.TargetID{id}, Addresses: rs.addresses.addresses([]tables.TargetID{id})}
	if err := conn.Call(ctx, peer.MethodCancel, q, &result); err != nil {
		g.recordQueryFailure(facts, id)
		return
	}
	facts.RecordProgress(id, result.Progress)
}

// readFromTarget reads the answer from a target through another dispatcher and
// reports whether the request has its outcome.
func (g *Gate) readFromTarget(rs *requestState, conn *peer.Conn, facts *settle.Facts, id tables.TargetID) bool {
	if conn == nil {
		g.recordQueryFailure(facts, id)
		return false
	}
	startTokens := rs.snapshotFrom(0).tokens
	result, err := g.attach(rs, conn, id)
	switch {
	case err != nil:
		g.recordQueryFailure(facts, id)
	case result.Known:
		return g.followResumed(rs, conn, facts, id, startTokens)
	case rs.msg.Plain:
		facts.RecordProgress(id, result.Progress)
		g.sleepUntil(g.Clock.Now().Add(initialQueryBackoff))
	default:
		facts.RecordNoStream(id)
	}
	return false
}

// followResumed follows an answer that another dispatcher resumed at a target and
// reports whether the request has its outcome. startTokens is the token offset at
// which the answer was resumed.
func (g *Gate) followResumed(rs *requestState, conn *peer.Conn, facts *settle.Facts, id tables.TargetID, startTokens int) bool {
	var refusal peer.Finished
	if g.follow(rs, conn, &refusal) == outcomeSet {
		return true
	}
	if rs.snapshotFrom(0).tokens > startTokens {
		facts.RecordProgress(id, target.InProgress)
		return false
	}
	g.recordQueryFailure(facts, id)
	return false
}

func (g *Gate) recordQueryFailure(facts *settle.Facts, id tables.TargetID) {
	backoff := min(initialQueryBackoff<<facts.Report(id).Failures, maxQueryBackoff)
	facts.RecordFailure(id)
	g.sleepUntil(g.Clock.Now().Add(backoff))
}

// awaitDispatcher returns a connection to the owner of a target. It returns one to
// another host if failures is not zero, or if the owner is avoidedHost or cannot be
// reached. If no host can be reached, it retries until dispatcherWait after lostAt
// and then returns nil.
func (g *Gate) awaitDispatcher(avoidedHost tables.HostID, id tables.RequestID, at tables.TargetID, failures int, lostAt time.Time) *peer.Conn {
	for {
		conn := g.connectOwner(avoidedHost, at, failures)
		if conn == nil {
			conn = g.connectOther(avoidedHost, id, failures)
		}
		now := g.Clock.Now()
		if conn != nil || now.After(lostAt.Add(dispatcherWait)) || g.ctx.Err() != nil {
			return conn
		}
		g.sleepUntil(now.Add(initialQueryBackoff))
	}
}

// connectOwner returns a connection to the owner of a target. The owner is tried
// first because it counts a request that it resumes towards the load of the
// target. failures is the number of failed queries about the target. The result is
// nil if failures is not zero, if there is no configuration, or if the owner is
// avoidedHost or cannot be reached.
func (g *Gate) connectOwner(avoidedHost tables.HostID, at tables.TargetID, failures int) *peer.Conn {
	doc := g.Document()
	if doc == nil || failures > 0 {
		return nil
	}
	owner := g.Membership.Owner(at, tables.DomainID(doc.Targets[string(at)].FailureDomain))
	if owner == avoidedHost {
		return nil
	}
	return g.connectHost(owner, g.Membership.Live())
}

// connectOther returns a connection to a live dispatcher, or nil. For each failed
// query counted in failures, it starts one host further in the list of live hosts.
// It tries avoidedHost last.
func (g *Gate) connectOther(avoidedHost tables.HostID, id tables.RequestID, failures int) *peer.Conn {
	hosts := g.Membership.Live()
	start := len(id) + failures
	for i := range hosts {
		h := hosts[(start+i)%len(hosts)]
		if h.ID == avoidedHost {
			continue
		}
		if conn := g.connect(h); conn != nil {
			return conn
		}
	}
	return g.connectHost(avoidedHost, hosts)
}

// connectHost connects to the host with the given ID. It returns nil if the host
// is not in hosts or cannot be reached.
func (g *Gate) connectHost(id tables.HostID, hosts []tables.Host) *peer.Conn {
	for _, h := range hosts {
		if h.ID == id {
			return g.connect(h)
		}
	}
	return nil
}

// connect returns a connection to a host, or nil if the host cannot be reached.
func (g *Gate) connect(h tables.Host) *peer.Conn {
	if h.PeerAddress == "" {
		return nil
	}
	conn, err := g.Peers.Get(g.ctx, h.PeerAddress)
	if err != nil {
		return nil
	}
	return conn
}

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

// Bounds on the questions about a lost dispatcher's request.
const (
	askTimeout = 3 * time.Second
	// askPause follows the first question without an answer; it doubles up to
	// askPauseLongest.
	askPause        = 200 * time.Millisecond
	askPauseLongest = 1 * time.Second
	// helperFor is how long a host that can ask is waited for, since the
	// membership table may know none of the live ones yet.
	helperFor = 10 * time.Second
	// reattachAttempts bounds the new connections to a silent dispatcher.
	reattachAttempts = 2
)

// settle finds the outcome of a request whose dispatcher is out of reach. The
// request is never submitted again.
func (g *Gate) settle(f *flight, c route.Choice) {
	g.Membership.Suspect(c.Owner)
	if g.reattach(f, c.Owner) {
		return
	}
	lostAt := g.Clock.Now()
	p := f.since(0)
	facts := &settle.Facts{
		Plain: f.msg.Plain, MayHaveBeenSent: true, Allowed: c.Targets,
		ReportedTarget: p.target, Offset: p.tokens, CallerGone: f.callerLeft(),
	}
	g.settleAtTargets(f, c.Owner, facts, lostAt)
}

// settleAtTargets asks the targets through other dispatchers than avoid until
// the flight has its outcome.
func (g *Gate) settleAtTargets(f *flight, avoid tables.HostID, facts *settle.Facts, lostAt time.Time) {
	for g.ctx.Err() == nil {
		step := settle.Next(facts)
		if step.Action == settle.Finish {
			f.settled = true
			f.finish(peer.Finished{Kind: step.Kind, Detail: "the dispatcher of the request was lost", Sent: true})
			return
		}
		if g.carryOut(f, avoid, facts, step, lostAt) {
			return
		}
		facts.Offset = f.since(0).tokens
	}
}

// reattach asks the same dispatcher on new connections, since it may be only
// the connection that was lost.
func (g *Gate) reattach(f *flight, owner tables.HostID) bool {
	for range reattachAttempts {
		address, ok := g.address(owner)
		if !ok {
			return false
		}
		conn, err := g.Peers.Redial(g.ctx, address)
		if err != nil {
			return false
		}
		if g.attachAndFollow(f, conn, "") {
			return true
		}
	}
	return false
}

// attachAndFollow reports whether the flight got its outcome over conn.
func (g *Gate) attachAndFollow(f *flight, conn *peer.Conn, at tables.TargetID) (ok bool) {
	result, err := g.attach(f, conn, at)
	if err != nil || !result.Known {
		return false
	}
	// An open connection would keep the dispatcher's send lease alive while
	// the request is settled elsewhere.
	defer func() {
		if !ok {
			_ = conn.Close()
		}
	}()
	var refusal peer.Finished
	switch g.follow(f, conn, &refusal) {
	case ended:
		return true
	case notSent:
		f.finish(refusal)
		return true
	case lost:
	}
	return false
}

// attach asks for the answer from where it broke off. The end that a lost
// connection told no longer counts.
func (g *Gate) attach(f *flight, conn *peer.Conn, at tables.TargetID) (peer.AttachResult, error) {
	f.listen(conn)
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	var result peer.AttachResult
	err := conn.Call(ctx, peer.MethodAttach, f.attachment(at), &result)
	return result, err
}

// attachment asks for the rest of the answer.
func (f *flight) attachment(at tables.TargetID) peer.Attach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer.Attach{
		ID: f.id, Target: at, Attempt: f.attempt, Offset: f.parts.Tokens(), ReceivedText: string(f.parts.Text()),
		Customer: f.msg.Customer, Service: f.msg.Service, Tier: f.msg.Tier,
		Fingerprint: f.msg.Fingerprint, Key: f.msg.Key,
	}
}

// carryOut does one step and reports whether the flight has its outcome.
func (g *Gate) carryOut(f *flight, avoid tables.HostID, facts *settle.Facts, step settle.Step, lostAt time.Time) bool {
	switch step.Action {
	case settle.Wait:
		g.pauseUntil(lostAt.Add(settle.SendLease))
		facts.SenderStopped = true
	case settle.Cancel:
		for _, id := range step.Targets {
			g.askCancel(f, g.awaitHelper(avoid, f.id, id, facts.Report(id).Failures, lostAt), facts, id)
		}
	case settle.Resume, settle.Fetch:
		for _, id := range step.Targets {
			if g.askStream(f, g.awaitHelper(avoid, f.id, id, facts.Report(id).Failures, lostAt), facts, id) {
				return true
			}
		}
	case settle.Finish:
	}
	return false
}

func (g *Gate) pauseUntil(t time.Time) {
	select {
	case <-g.Clock.After(t.Sub(g.Clock.Now())):
	case <-g.ctx.Done():
	}
}

// askCancel leaves a tombstone at a target through another dispatcher.
func (g *Gate) askCancel(f *flight, conn *peer.Conn, facts *settle.Facts, id tables.TargetID) {
	if conn == nil {
		g.noAnswer(facts, id)
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	var result peer.CancelResult
	q := peer.CancelRequest{ID: f.id, Targets: []tables.TargetID{id}}
	if err := conn.Call(ctx, peer.MethodCancel, q, &result); err != nil {
		g.noAnswer(facts, id)
		return
	}
	facts.RecordProgress(id, result.Progress)
}

// askStream asks for the answer at a target through another dispatcher and
// reports whether the flight has its outcome.
func (g *Gate) askStream(f *flight, conn *peer.Conn, facts *settle.Facts, id tables.TargetID) bool {
	if conn == nil {
		g.noAnswer(facts, id)
		return false
	}
	before := f.since(0).tokens
	result, err := g.attach(f, conn, id)
	switch {
	case err != nil:
		g.noAnswer(facts, id)
	case result.Known:
		return g.followTaken(f, conn, facts, id, before)
	case f.msg.Plain:
		facts.RecordProgress(id, result.Progress)
		g.pauseUntil(g.Clock.Now().Add(askPause))
	default:
		facts.RecordNoStream(id)
	}
	return false
}

// followTaken follows an answer that another dispatcher took over.
func (g *Gate) followTaken(f *flight, conn *peer.Conn, facts *settle.Facts, id tables.TargetID, before int) bool {
	var refusal peer.Finished
	if g.follow(f, conn, &refusal) == ended {
		return true
	}
	if f.since(0).tokens > before {
		facts.RecordProgress(id, target.InProgress)
		return false
	}
	g.noAnswer(facts, id)
	return false
}

func (g *Gate) noAnswer(facts *settle.Facts, id tables.TargetID) {
	pause := min(askPause<<facts.Report(id).Failures, askPauseLongest)
	facts.RecordFailure(id)
	g.pauseUntil(g.Clock.Now().Add(pause))
}

// awaitHelper returns a connection to the owner of a target, or after a failure
// to another host. It waits for one until helperFor after lostAt.
func (g *Gate) awaitHelper(avoid tables.HostID, id tables.RequestID, at tables.TargetID, failures int, lostAt time.Time) *peer.Conn {
	for {
		conn := g.askOwner(avoid, at, failures)
		if conn == nil {
			conn = g.helper(avoid, id, failures)
		}
		now := g.Clock.Now()
		if conn != nil || now.After(lostAt.Add(helperFor)) || g.ctx.Err() != nil {
			return conn
		}
		g.pauseUntil(now.Add(askPause))
	}
}

// askOwner returns a connection to the owner of a target, which counts what it
// takes over there, or nil after a failure.
func (g *Gate) askOwner(avoid tables.HostID, at tables.TargetID, failures int) *peer.Conn {
	doc := g.Document()
	if doc == nil || failures > 0 {
		return nil
	}
	owner := g.Membership.Owner(at, tables.DomainID(doc.Targets[string(at)].FailureDomain))
	if owner == avoid {
		return nil
	}
	return g.reachNamed(owner, g.Membership.Live())
}

// helper returns a connection to a live dispatcher, another one after each
// failure and the lost one last, or nil.
func (g *Gate) helper(avoid tables.HostID, id tables.RequestID, failures int) *peer.Conn {
	hosts := g.Membership.Live()
	start := len(id) + failures
	for i := range hosts {
		h := hosts[(start+i)%len(hosts)]
		if h.ID == avoid {
			continue
		}
		if conn := g.reach(h); conn != nil {
			return conn
		}
	}
	return g.reachNamed(avoid, hosts)
}

// reachNamed connects to a host by its name; nil when it is not among hosts or
// does not answer.
func (g *Gate) reachNamed(id tables.HostID, hosts []tables.Host) *peer.Conn {
	for _, h := range hosts {
		if h.ID == id {
			return g.reach(h)
		}
	}
	return nil
}

// reach returns a connection to a host, or nil.
func (g *Gate) reach(h tables.Host) *peer.Conn {
	if h.PeerAddress == "" {
		return nil
	}
	conn, err := g.Peers.Get(g.ctx, h.PeerAddress)
	if err != nil {
		return nil
	}
	return conn
}

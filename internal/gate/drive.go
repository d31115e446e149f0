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

// cancelTimeout bounds a cancel that nobody waits for.
const cancelTimeout = 5 * time.Second

// end is how one attempt with a dispatcher ended.
type end int

const (
	// ended: the flight has its outcome.
	ended end = iota
	// notSent: no target can have got the request; another may be tried.
	notSent
	// lost: the dispatcher is out of reach and the request may have been sent.
	lost
)

// Bounds on trying again while targets change their owners.
const (
	rerouteFirst   = 50 * time.Millisecond
	rerouteLongest = 500 * time.Millisecond
	rerouteFor     = 5 * time.Second
)

// drive takes a flight to its outcome. pick chooses anew for every round, since
// targets may have found another owner in between.
func (g *Gate) drive(f *flight, pick func() []route.Choice) {
	defer g.unregister(f)
	begun := g.Clock.Now()
	pause := rerouteFirst
	choices, partial := pick(), false
	for g.ctx.Err() == nil {
		asked := g.Clock.Now()
		refusal, done := g.round(f, choices)
		if done {
			return
		}
		now := g.Clock.Now()
		// Refusals of some owners say nothing of the others, which agreed earlier.
		again := partial
		choices, partial = pick(), false
		if overloaded(refusal.Kind) && (again || now.Sub(asked) > sweepValid) {
			choices = g.sweep(f, choices)
			partial = len(choices) > 0
		}
		switch {
		case f.callerLeft():
			f.finish(refusal)
			return
		case ownerless(refusal.Kind) && now.Add(pause).Before(begun.Add(min(rerouteFor, f.msg.DueIn))):
			g.pauseUntil(now.Add(pause))
			pause = min(2*pause, rerouteLongest)
		case partial && again:
			g.pauseUntil(now.Add(rerouteFirst))
		case partial:
		default:
			f.finish(advise(refusal))
			return
		}
	}
}

// ownerless reports whether a refusal is about a dispatcher that does not own
// a target any more, so that another one soon will.
func ownerless(k errkind.Kind) bool {
	return k == errkind.ShuttingDown || k == errkind.NoTarget || k == errkind.NotAdmitted
}

// round tries each dispatcher once. It returns the refusal that says most, or
// reports that the flight has its outcome.
func (g *Gate) round(f *flight, choices []route.Choice) (peer.Finished, bool) {
	refusal := peer.Finished{Kind: errkind.NoTarget, Detail: "no live target serves this service"}
	for _, c := range choices {
		if f.callerLeft() {
			return peer.Finished{Kind: errkind.CancelledBeforeRun}, false
		}
		switch g.attempt(f, c, &refusal) {
		case ended:
			return refusal, true
		case lost:
			g.settle(f, c)
			return refusal, true
		case notSent:
		}
	}
	return refusal, false
}

// attempt hands f to one dispatcher and follows it there.
func (g *Gate) attempt(f *flight, c route.Choice, refusal *peer.Finished) end {
	address, ok := g.address(c.Owner)
	if !ok {
		return notSent
	}
	conn, err := g.Peers.Get(g.ctx, address)
	if err != nil {
		g.Membership.Suspect(c.Owner)
		return notSent
	}
	msg := f.aged(g.Clock.Now())
	f.attempt++
	msg.Attempt = f.attempt
	msg.Allowed = c.Targets
	msg.SendBy = f.arrived.Add(settle.MaxSendDelay)
	msg.Addresses = f.claimed.addresses(c.Targets)
	f.listen(conn)
	var result peer.SubmitResult
	if err := conn.Call(g.ctx, peer.MethodSubmit, msg, &result); err != nil {
		return lost
	}
	g.pools.update(c.Owner, result.Pool, g.Clock.Now())
	if result.Kind != errkind.None {
		*refusal = worse(*refusal, peer.Finished{Kind: result.Kind, Detail: result.Detail, RetryAfter: result.RetryAfter})
		return notSent
	}
	g.pools.sent(c.Targets)
	how := g.follow(f, conn, refusal)
	if v := f.since(0).verdict; v != nil {
		g.pools.update(c.Owner, v.Pool, g.Clock.Now())
	}
	return how
}

// aged returns the message of f with its times as of now.
func (f *flight) aged(now time.Time) peer.Submit {
	msg := f.msg
	waited := now.Sub(f.arrived)
	msg.Age = waited
	msg.FirstTokenIn -= waited
	msg.DueIn -= waited
	return msg
}

// worse keeps the refusal that says most: the first one that is not about the
// state of a host. The zero value is no refusal.
func worse(old, next peer.Finished) peer.Finished {
	switch old.Kind {
	case errkind.None, errkind.NoTarget, errkind.ShuttingDown, errkind.NotAdmitted:
		return next
	}
	return old
}

// follow waits on one dispatcher until the request ends there.
func (g *Gate) follow(f *flight, conn *peer.Conn, refusal *peer.Finished) end {
	defer conn.MarkInUse()()
	left := f.left
	for {
		p := f.since(0)
		switch {
		case p.verdict != nil && f.retryable(p):
			*refusal = worse(*refusal, *p.verdict)
			return notSent
		case p.verdict != nil && f.complete(p):
			f.finish(*p.verdict)
			return ended
		case p.verdict != nil, p.gap:
			return lost
		}
		select {
		case <-p.changed:
		case <-conn.Done():
			return g.lostUnlessEnded(f)
		case <-left:
			left = nil
			go g.sendCancel(conn, f.id)
		case <-g.ctx.Done():
			return lost
		}
	}
}

// retryable reports whether the verdict allows another dispatcher.
func (f *flight) retryable(p progress) bool {
	return p.verdict.Retryable() && !f.callerLeft()
}

// complete reports whether every part of the answer that the verdict speaks of
// has arrived.
func (f *flight) complete(p progress) bool {
	return p.verdict.Kind != errkind.None || f.msg.Plain || p.tokens == p.verdict.Tokens
}

// lostUnlessEnded looks once more, since the last messages of a connection may
// have arrived just before it broke.
func (g *Gate) lostUnlessEnded(f *flight) end {
	p := f.since(0)
	if p.verdict != nil && f.complete(p) && !f.retryable(p) {
		f.finish(*p.verdict)
		return ended
	}
	event.DispatcherLost.Log(g.Logger, zap.String("request", string(f.id)))
	return lost
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

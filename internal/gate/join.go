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
	// joinPause is the time between two searches for the holder of a key.
	joinPause = 100 * time.Millisecond
	// joinFor is how long a holder is searched that no host knows. It covers
	// the time in which its gate submits it anew, and the release of its key.
	joinFor = 2 * rerouteFor
)

// joinHolder returns the flight of the request that holds the key of adm.
func (g *Gate) joinHolder(adm admitted, result peer.AcquireResult) *flight {
	if f := g.find(result.Holder); f != nil {
		return f
	}
	f := newFlight(g, adm)
	f.id = result.Holder
	f.msg.ID = result.Holder
	if f.setRecorded(result.Outcome) {
		return f
	}
	open := g.register(f)
	if open == f {
		go g.driveHolder(f, adm, result)
	}
	return open
}

// driveHolder follows the holder of a key wherever its gate takes it. What one
// dispatcher refuses its gate may submit elsewhere, so that only the freed key
// proves that the holder did not run.
func (g *Gate) driveHolder(f *flight, adm admitted, result peer.AcquireResult) {
	defer g.unregister(f)
	refusal := peer.Finished{Kind: errkind.NotAdmitted, Detail: "the request that held the key did not run"}
	deadline := g.Clock.Now().Add(joinFor)
	for g.ctx.Err() == nil {
		found, done := g.followHolder(f, &refusal)
		if done {
			return
		}
		now := g.Clock.Now()
		if found {
			deadline = now.Add(joinFor)
		}
		if !now.Before(deadline) {
			g.concludeHolder(f, adm, result)
			return
		}
		g.pauseUntil(now.Add(joinPause))
		if g.askKey(f, adm, &result, refusal) {
			return
		}
	}
}

// followHolder follows the holder at the dispatcher that has it, if there is
// one, and reports whether it was found and whether the flight has its outcome.
func (g *Gate) followHolder(f *flight, refusal *peer.Finished) (found, done bool) {
	known := g.ask(g.ctx, peer.Lookup{ID: f.id})
	if known == nil {
		return false, false
	}
	conn, err := g.Peers.Get(g.ctx, known.host.PeerAddress)
	if err != nil {
		return false, false
	}
	result, err := g.attach(f, conn, "")
	if err != nil || !result.Known {
		return false, false
	}
	end := peer.Finished{}
	how := g.follow(f, conn, &end)
	if how == notSent {
		*refusal = end
	}
	return how == lost, how == ended
}

// askKey asks for the key again, under a new request ID, and reports whether
// the flight has its outcome: the one recorded in between, or the refusal when
// the key is free.
func (g *Gate) askKey(f *flight, adm admitted, result *peer.AcquireResult, refusal peer.Finished) bool {
	adm.msg.ID = tables.NewRequestID(g.Host, uuid.Must(uuid.NewV7()))
	next, err := g.acquire(g.ctx, adm)
	if err != nil {
		return false
	}
	if next.Won {
		g.release(adm.msg, errkind.CancelledBeforeRun)
	}
	if next.Won || next.Holder != f.id {
		f.finish(advise(refusal))
		return true
	}
	*result = next
	return f.setRecorded(next.Outcome)
}

// concludeHolder ends the search: the targets of the service are asked last,
// without changing anything there unless nobody can send the request any more.
func (g *Gate) concludeHolder(f *flight, adm admitted, result peer.AcquireResult) {
	if g.followAtTarget(f) {
		return
	}
	if result.Outcome != nil && result.Outcome.Done {
		f.finish(peer.Finished{Kind: errkind.AnswerNotKept, Detail: fmt.Sprintf("request %s ran to its end", f.id), Sent: true})
		return
	}
	if g.holderStopped(adm, result) {
		g.settleHolder(f, adm)
		return
	}
	f.finish(peer.Finished{Kind: errkind.OutcomeUnknown, Detail: fmt.Sprintf("request %s holds the key and no host knows its outcome", f.id), Sent: true})
}

// followAtTarget reports whether a target had the holder's whole answer.
func (g *Gate) followAtTarget(f *flight) bool {
	for _, v := range g.views(g.Document(), string(f.msg.Service)) {
		conn := g.askOwner("", v.Target, 0)
		if conn == nil {
			conn = g.helper("", f.id, 0)
		}
		if conn == nil {
			return false
		}
		result, err := g.attach(f, conn, v.Target)
		if err != nil || !result.Known {
			continue
		}
		var refusal peer.Finished
		return g.follow(f, conn, &refusal) == ended
	}
	return false
}

// setRecorded fills the flight from a recorded outcome and reports whether
// that says enough: the whole answer, or the failure of a run.
func (f *flight) setRecorded(o *peer.Outcome) bool {
	if o == nil || !o.Done || (o.Kind == errkind.None && !o.BodyKept) {
		return false
	}
	if o.Kind == errkind.None && !f.msg.Plain && !f.fill(o) {
		return false
	}
	f.finish(peer.Finished{Kind: o.Kind, Detail: o.Detail, Target: o.Target, Tokens: o.Tokens, Status: o.Status, Body: o.Body})
	return true
}

// fill appends what is missing of a recorded answer, of which a part may have
// come as a stream. It reports whether the flight has the whole answer.
func (f *flight) fill(o *peer.Outcome) bool {
	filled := false
	f.update(func() { filled = f.parts.Complete(o.Body, o.Tokens) })
	return filled
}

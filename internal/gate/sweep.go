package gate

import (
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
)

// sweepValid is how long the refusals of all owners hold together. An older one
// may come from an owner that has taken lower tiers since.
const sweepValid = 100 * time.Millisecond

// overloaded reports whether a refusal is for want of room, so that all owners
// must agree at about the same time before the caller is refused: else one of
// them might have begun to run a lower tier.
func overloaded(k errkind.Kind) bool {
	return k == errkind.Overloaded || k == errkind.Displaced || k == errkind.DeadlineUnmeetable
}

// sweep returns the choices of which the owner may have lower tiers than f, or
// did not answer; f is submitted there again. None are left when all owners
// agreed within sweepValid that f may be refused, or its deadline has passed.
func (g *Gate) sweep(f *flight, choices []route.Choice) []route.Choice {
	if f.msg.Tier >= g.lowestTier() {
		return nil
	}
	due := f.arrived.Add(f.msg.DueIn)
	for g.ctx.Err() == nil && !f.callerLeft() && g.Clock.Now().Before(due) {
		asked := g.Clock.Now()
		left := g.askSweep(f.msg.Tier, choices)
		if len(left) > 0 || g.Clock.Now().Sub(asked) <= sweepValid {
			return left
		}
	}
	return nil
}

// askSweep asks all owners at once and returns the choices that are left.
func (g *Gate) askSweep(tier int, choices []route.Choice) []route.Choice {
	agreed := make([]bool, len(choices))
	var asking sync.WaitGroup
	for i, c := range choices {
		asking.Go(func() { agreed[i] = g.agrees(tier, c) })
	}
	asking.Wait()
	var left []route.Choice
	for i, c := range choices {
		if !agreed[i] {
			left = append(left, c)
		}
	}
	return left
}

func (g *Gate) agrees(tier int, c route.Choice) bool {
	address, ok := g.address(c.Owner)
	if !ok {
		return true
	}
	conn, err := g.Peers.Get(g.ctx, address)
	if err != nil {
		g.Membership.Suspect(c.Owner)
		return true
	}
	var result peer.SweepResult
	err = conn.Call(g.ctx, peer.MethodSweep, peer.Sweep{Tier: tier, Targets: c.Targets}, &result)
	return err == nil && result.GiveUp
}

package gate

import (
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
)

// refusalValidity is the maximum time over which the refusals of all owners may be
// spread. An owner that refused earlier may have accepted a request of a lower
// tier since.
const refusalValidity = 100 * time.Millisecond

// lacksCapacity reports whether a refusal is due to a lack of capacity. The
// caller gets such a refusal only if all owners agree to it at about the same
// time; otherwise one of them may have started a request of a lower tier. This
// does not apply to requests that have the lowest tier or passed their deadline.
func lacksCapacity(k errkind.Kind) bool {
	return k == errkind.Overloaded || k == errkind.Displaced || k == errkind.DeadlineUnmeetable
}

// confirmRefusal returns the choices whose owners did not agree to refuse the request. The
// request is submitted to these owners again. The result is empty if all owners
// agreed within refusalValidity, or if the request has the lowest tier, passed its
// deadline or was abandoned.
func (g *Gate) confirmRefusal(rs *requestState, choices []route.Choice) []route.Choice {
	if rs.msg.Tier >= g.lowestTier() {
		return nil
	}
	due := rs.arrived.Add(rs.msg.DueIn)
	for g.ctx.Err() == nil && !rs.abandoned() && g.Clock.Now().Before(due) {
		startedAt := g.Clock.Now()
		remaining := g.confirmRefusalOnce(rs.msg.Tier, choices)
		if len(remaining) > 0 || g.Clock.Now().Sub(startedAt) <= refusalValidity {
			return remaining
		}
	}
	return nil
}

// confirmRefusalOnce asks all owners concurrently whether the request may be refused and
// returns the choices whose owners did not agree.
func (g *Gate) confirmRefusalOnce(tier int, choices []route.Choice) []route.Choice {
	agreed := make([]bool, len(choices))
	var wg sync.WaitGroup
	for i, c := range choices {
		wg.Go(func() { agreed[i] = g.agreesToRefuse(tier, c) })
	}
	wg.Wait()
	var remaining []route.Choice
	for i, c := range choices {
		if !agreed[i] {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// agreesToRefuse reports whether the owner of c agrees to refuse a request of the
// tier. An owner that cannot be connected to counts as agreeing; one whose call
// fails does not.
func (g *Gate) agreesToRefuse(tier int, c route.Choice) bool {
	address, ok := g.address(c.Owner)
	if !ok {
		return true
	}
	conn, err := g.Peers.Get(g.ctx, address)
	if err != nil {
		g.Membership.Suspect(c.Owner)
		return true
	}
	var result peer.RefusalResult
	err = conn.Call(g.ctx, peer.MethodConfirmRefusal, peer.RefusalRequest{Tier: tier, Targets: c.Targets}, &result)
	return err == nil && result.AllowRefusal
}

package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// urgentSlack is the slack below which the deadline orders before fairness.
	urgentSlack = 1500 * time.Millisecond
	// holderWait is how long a request waits for a place at a target that holds
	// its prompt while another has room.
	holderWait = 800 * time.Millisecond
	// heldPart is the part of a prompt, as a divisor, that a target must hold
	// for the request to go before those that it holds less of.
	heldPart = 8
	// leastRecompute is the prompt part in tokens that is worth a wait.
	leastRecompute = 256
	// maxHolderSlots bounds the slots of a group, and maxLookahead the requests
	// of a customer, that are searched for prompts held.
	maxHolderSlots = 8
	maxLookahead   = 16
)

// candidate is a request that may start next.
type candidate struct {
	e        *entry
	urgent   bool
	computed bool
	served   float64
}

// next returns the queued request of tier that starts next, or nil.
func (p *pass) next(tier int) *entry {
	var best candidate
	for _, g := range p.index.groups {
		if tier >= len(g.tiers) || g.tiers[tier].count == 0 || !g.hasFree(p, tier) {
			continue
		}
		for _, q := range g.tiers[tier].customers {
			if q.head() == nil || q.alone && !p.isolate(g, q.head()) {
				continue
			}
			if c := p.first(g, q); c.e != nil && (best.e == nil || c.before(best)) {
				best = c
			}
		}
	}
	return best.e
}

// before reports whether c goes before o: urgent requests by deadline, then
// those whose prompt a free target holds, then the customer with the least
// service by share.
func (c candidate) before(o candidate) bool {
	if c.urgent != o.urgent {
		return c.urgent
	}
	if !c.urgent && c.computed != o.computed {
		return c.computed
	}
	if !c.urgent && c.served != o.served {
		return c.served < o.served
	}
	return c.e.before(o.e)
}

// first returns the request of q that goes first; it has none when all wait for
// targets that hold their prompts.
func (p *pass) first(g *group, q *customerQueue) candidate {
	served := p.index.served(q.head().r.Tier, q.customer)
	if q.alone || !p.state.Policy.PreferHeld || len(g.slots) > maxHolderSlots {
		return candidate{e: q.head(), urgent: p.urgent(q.head()), served: served}
	}
	var first candidate
	for _, e := range q.entries[:min(q.Len(), maxLookahead)] {
		c := candidate{e: e, urgent: p.urgent(e), served: served}
		held := p.mostHeld(g.usable, e.r)
		if !c.urgent && p.now.Sub(e.r.Arrived) < holderWait && p.heldElsewhere(g, e.r) >= held+leastRecompute {
			continue
		}
		c.computed = held*heldPart >= e.r.PromptTokens
		if first.e == nil || c.before(first) {
			first = c
		}
	}
	return first
}

// heldElsewhere returns the longest part of the prompt of r that an open target
// of g holds, in tokens.
func (p *pass) heldElsewhere(g *group, r *tables.Request) int {
	most := 0
	for _, sl := range g.slots {
		if limit(sl.t, p.now) > 0 && !sl.t.Straggler {
			most = max(most, p.state.Prefixes.Match(sl.id, r.Prefix))
		}
	}
	return most
}

// mostHeld returns the longest part of the prompt of r that one of the slots
// holds, in tokens.
func (p *pass) mostHeld(slots []*slot, r *tables.Request) int {
	most := 0
	for _, sl := range slots {
		most = max(most, p.state.Prefixes.Match(sl.id, r.Prefix))
	}
	return most
}

// urgent reports whether e must start soon if its answer is long, and may still
// be in time.
func (p *pass) urgent(e *entry) bool {
	return e.longBy.Sub(p.now) < urgentSlack && p.now.Before(e.hopeless)
}

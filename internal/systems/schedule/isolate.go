package schedule

import "github.com/bluebellseam/bluebellseam/internal/tables"

// isolate reserves a target for each waiting request that may run only alone.
// A reserved target starts nothing else and falls idle, so that the request
// waits no longer than what already runs there.
func (p *pass) isolate() {
	for _, g := range p.index.groups {
		if !g.key.alone {
			continue
		}
		if e := g.first(); e != nil && g.reserved(e.r.ID) == nil {
			p.reserve(g, e.r.ID)
		}
	}
}

// first returns the queued request of g that starts next within its tier.
func (g *group) first() *entry {
	for tier := range g.tiers {
		for _, q := range g.tiers[tier].customers {
			if e := q.head(); e != nil {
				return e
			}
		}
	}
	return nil
}

// reserved returns the target that is reserved for a request, or nil.
func (g *group) reserved(id tables.RequestID) *slot {
	for _, sl := range g.slots {
		if sl.isolated == id {
			return sl
		}
	}
	return nil
}

// reserve takes the open target with the fewest running requests.
func (p *pass) reserve(g *group, id tables.RequestID) {
	var best *slot
	for _, sl := range g.slots {
		if sl.isolated != "" || limit(sl.t, p.now) == 0 || !sl.t.Services[g.key.service] {
			continue
		}
		if best == nil || len(sl.running) < len(best.running) {
			best = sl
		}
	}
	if best != nil {
		best.isolated = id
		g.refresh(p.now)
	}
}

// places returns how many requests of g the target may run at once.
func (g *group) places(sl *slot, open int) int {
	switch {
	case sl.isolated == "" && !g.key.alone:
		return open
	case sl.isolated == "" || !g.key.alone || len(sl.running) > 0:
		return 0
	default:
		return min(open, 1)
	}
}

// release ends the reservation of a request that ended or left the queue.
func (x *index) release(id tables.RequestID) {
	for _, sl := range x.slots {
		if sl.isolated == id {
			sl.isolated = ""
		}
	}
}

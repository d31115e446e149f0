package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// rolloutUsage is what a host reports of an order in progress.
type rolloutUsage struct {
	Service tables.ServiceID `json:"s"`
	Order   rollout.OrderID  `json:"o"`
	rollout.Usage
}

// rolloutUsages counts the requests of this host since each order. The zero value is empty.
type rolloutUsages struct {
	byService map[tables.ServiceID]*rolloutUsage
}

// of returns the counts of an order.
func (u *rolloutUsages) of(order rollout.Order) *rolloutUsage {
	if u.byService == nil {
		u.byService = make(map[tables.ServiceID]*rolloutUsage)
	}
	known := u.byService[order.Service]
	if known == nil || known.Order != order.ID {
		known = &rolloutUsage{Service: order.Service, Order: order.ID}
		u.byService[order.Service] = known
	}
	return known
}

// exposedGrant is the part of a grant that counts for a rollout; the zero value counts for
// none.
type exposedGrant struct {
	usage *rolloutUsage
	// exposed is true if the grant is at the new version, bad once its response was.
	exposed, bad bool
}

// countGrant counts a grant for the rollout of its service. The lock must be held.
func (c *Client) countGrant(g *Grant) {
	order, known := c.coordinator.rolloutOrder(g.service)
	if !known {
		return
	}
	g.rollout = exposedGrant{usage: c.rolloutUsages.of(order), exposed: g.Version != nil && *g.Version == order.To}
	g.rollout.usage.Requests++
	if g.rollout.exposed {
		g.rollout.usage.Exposed++
	}
}

// uncountGrant undoes countGrant for a request that was not sent. The lock must be held.
func (g *Grant) uncountGrant() {
	if g.rollout.usage == nil {
		return
	}
	g.rollout.usage.Requests--
	if g.rollout.exposed {
		g.rollout.usage.Exposed--
	}
}

// countBad counts a bad response of the new version once.
func (g *Grant) countBad() {
	if !g.rollout.exposed || g.rollout.bad {
		return
	}
	g.client.mu.Lock()
	defer g.client.mu.Unlock()
	g.rollout.bad = true
	g.rollout.usage.Bad++
}

// countFirstByte counts a slow response of the new version.
func (g *Grant) countFirstByte(took time.Duration) {
	if rollout.IsSlow(ratio(took, g.ExpectedFirstByte)) {
		g.countBad()
	}
}

// rolloutReports returns the counts of the orders in progress. The lock must be held.
func (c *Client) rolloutReports() []rolloutUsage {
	var out []rolloutUsage
	for _, service := range slices.Sorted(maps.Keys(c.rolloutUsages.byService)) {
		u := c.rolloutUsages.byService[service]
		if order, known := c.coordinator.rolloutOrder(service); known && order.ID == u.Order {
			out = append(out, *u)
		}
	}
	return out
}

// recordRolloutUsage records what a host reports of the orders in progress. The lock must
// be held.
func (c *Coordinator) recordRolloutUsage(m reconcileMessage) {
	for _, u := range m.Rollouts {
		if controller := c.rollouts.controllers[u.Service]; controller != nil {
			controller.ReportUsage(m.Host, u.Order, u.Usage)
		}
	}
}

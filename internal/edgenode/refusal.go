package edgenode

import (
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/pool"
)

// countRefusal counts a slot request that this host has refused as the coordinator or in
// its local fallback.
func (p *Process) countRefusal(r pool.Refusal) {
	p.metrics.SlotRefused(observe.SlotRefusal{
		Service: string(r.Service), Tier: r.Tier, Reason: string(r.Reason), Surplus: r.Surplus, Customer: string(r.Customer),
	})
}

package orders

import (
	"context"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// dueReports returns the reports of demand that are to be written now for the
// held failure domains.
func (c *Controller) dueReports() []lease.Record {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []lease.Record
	for id, d := range c.domains {
		sum := d.measured.sum()
		if sum == nil || now.Before(d.measured.report) {
			continue
		}
		d.measured.report = now.Add(lease.DemandInterval)
		out = append(out, lease.Record{
			Kind: lease.Report, Name: orderLeasePrefix + string(id), ID: uuid.NewString(),
			Holder: c.opts.Self.ID, Incarnation: c.opts.Self.Incarnation, Fence: d.fence, Demand: sum,
		})
	}
	return out
}

// report writes one report of demand to the shared stream. A lost one is
// replaced by the next.
func (s *streams) report(ctx context.Context, r lease.Record) {
	if k := s.keeper(ports.LeaseStream); k != nil {
		k.append(ctx, pending{record: r})
	}
}

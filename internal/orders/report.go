package orders

import (
	"context"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// dueReports returns the demand reports that are due for the failure domains
// whose lease is held, and schedules the next ones.
func (c *Controller) dueReports() []lease.Record {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []lease.Record
	for id, d := range c.domains {
		sum := d.measurement.sum()
		if sum == nil || now.Before(d.measurement.nextReport) {
			continue
		}
		d.measurement.nextReport = now.Add(lease.DemandInterval)
		out = append(out, lease.Record{
			Kind: lease.Report, Name: orderLeasePrefix + string(id), ID: uuid.NewString(),
			Holder: c.opts.Self.ID, Incarnation: c.opts.Self.Incarnation, Fence: d.fence, Demand: sum,
		})
	}
	return out
}

// appendReport appends a demand report to the shared stream. It does not retry,
// because the next report replaces a lost one. It does nothing while the shared
// stream is not followed.
func (s *leaseStreams) appendReport(ctx context.Context, r lease.Record) {
	if m := s.manager(ports.SharedLeaseStream); m != nil {
		m.appendRecord(ctx, pendingAppend{record: r})
	}
}

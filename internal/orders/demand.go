package orders

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// measureInterval is the interval between measurements of the demand of a
	// failure domain.
	measureInterval = 15 * time.Second
	// measureTimeout is the timeout of the demand query to one dispatcher.
	measureTimeout = 2 * time.Second
)

// demandMeasurement is the demand at the dispatchers of one failure domain, with
// the times of its next measurement and next report.
type demandMeasurement struct {
	byHost map[tables.HostID]demand.Rates
	// nextMeasurement is when the dispatchers are queried next.
	nextMeasurement time.Time
	// nextReport is when the next demand report is due.
	nextReport time.Time
}

// sum returns the total demand at all hosts, or nil if no host has a measurement.
func (m *demandMeasurement) sum() demand.Rates {
	if len(m.byHost) == 0 {
		return nil
	}
	out := make(demand.Rates)
	for _, rates := range m.byHost {
		out.Add(rates)
	}
	return out
}

// measureDemand queries the dispatchers of a failure domain for their demand. For
// a dispatcher that does not respond, it keeps the previous measurement as long
// as the host is live.
func (c *Controller) measureDemand(ctx context.Context, id tables.DomainID) {
	answers := make(map[tables.HostID]demand.Rates)
	hosts := dispatcherHosts(id, c.opts.LiveHosts())
	for _, h := range hosts {
		rates, err := c.queryDemand(ctx, h)
		if err != nil {
			c.opts.Logger.Debug("demand query failed", zap.String("host", string(h.ID)), zap.Error(err))
			continue
		}
		answers[h.ID] = rates
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[id]
	if d == nil {
		return
	}
	for _, h := range hosts {
		if _, answered := answers[h.ID]; !answered && d.measurement.byHost[h.ID] != nil {
			answers[h.ID] = d.measurement.byHost[h.ID]
		}
	}
	d.measurement.byHost = answers
}

func (c *Controller) queryDemand(ctx context.Context, h tables.Host) (demand.Rates, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, measureTimeout)
	defer cancel()
	return c.opts.MeasureDemand(ctx, h)
}

// dispatcherHosts returns the hosts whose dispatchers own the targets of a
// failure domain: the live hosts of that domain or, if there are none, all live
// hosts.
func dispatcherHosts(id tables.DomainID, live []tables.Host) []tables.Host {
	var out []tables.Host
	for _, h := range live {
		if h.Domain == id {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

// dueMeasurements returns the failure domains whose demand is to be measured now,
// and schedules their next measurements.
func (c *Controller) dueMeasurements() []tables.DomainID {
	if c.opts.MeasureDemand == nil {
		return nil
	}
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []tables.DomainID
	for id, d := range c.domains {
		if now.Before(d.measurement.nextMeasurement) {
			continue
		}
		d.measurement.nextMeasurement = now.Add(measureInterval)
		out = append(out, id)
	}
	return out
}

// demandByService returns the demand per service that the controllers of all
// failure domains have reported. If there are no reports, it returns the same
// demand for all services. ready is false until the shared stream, which contains
// the reports, has been read to its end.
func (c *Controller) demandByService(doc *config.Document) (rates map[tables.ServiceID]float64, ready bool) {
	rates, known, ready := c.leases.reportedDemand()
	if known || !ready {
		return rates, ready
	}
	out := make(map[tables.ServiceID]float64)
	for name := range doc.Services {
		out[tables.ServiceID(name)] = 1
	}
	return out, true
}

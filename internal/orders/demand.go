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
	// measureEvery is the time between two measurements of a failure domain.
	measureEvery = 15 * time.Second
	// measureTimeout bounds the question to one dispatcher.
	measureTimeout = 2 * time.Second
)

// measured is the demand at the dispatchers of one failure domain.
type measured struct {
	byHost map[tables.HostID]demand.Rates
	// next is when the dispatchers are asked again.
	next time.Time
	// report is when the sum is written again.
	report time.Time
}

// sum returns the demand of all hosts; nil before the first answer.
func (m *measured) sum() demand.Rates {
	if len(m.byHost) == 0 {
		return nil
	}
	out := make(demand.Rates)
	for _, rates := range m.byHost {
		out.Add(rates)
	}
	return out
}

// measure asks the dispatchers of a held failure domain for their demand. One
// that does not answer keeps what it said before, until it is not live.
func (c *Controller) measure(ctx context.Context, id tables.DomainID) {
	answers := make(map[tables.HostID]demand.Rates)
	hosts := hostsOf(id, c.opts.Live())
	for _, h := range hosts {
		rates, err := c.ask(ctx, h)
		if err != nil {
			c.opts.Logger.Debug("demand not measured", zap.String("host", string(h.ID)), zap.Error(err))
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
		if _, answered := answers[h.ID]; !answered && d.measured.byHost[h.ID] != nil {
			answers[h.ID] = d.measured.byHost[h.ID]
		}
	}
	d.measured.byHost = answers
}

func (c *Controller) ask(ctx context.Context, h tables.Host) (demand.Rates, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, measureTimeout)
	defer cancel()
	return c.opts.Measure(ctx, h)
}

// hostsOf returns the hosts whose dispatchers own targets of a failure domain.
func hostsOf(id tables.DomainID, live []tables.Host) []tables.Host {
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

// dueMeasurements returns the failure domains to measure now.
func (c *Controller) dueMeasurements() []tables.DomainID {
	if c.opts.Measure == nil {
		return nil
	}
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []tables.DomainID
	for id, d := range c.domains {
		if now.Before(d.measured.next) {
			continue
		}
		d.measured.next = now.Add(measureEvery)
		out = append(out, id)
	}
	return out
}

// demand returns the demand by service that the holders of all failure domains
// have written; equal for all services while it is unknown. It is not ready
// until the stream that carries it was read to its end.
func (c *Controller) demand(doc *config.Document) (rates map[tables.ServiceID]float64, ready bool) {
	rates, known, ready := c.leases.demand()
	if known || !ready {
		return rates, ready
	}
	out := make(map[tables.ServiceID]float64)
	for name := range doc.Services {
		out[tables.ServiceID(name)] = 1
	}
	return out, true
}

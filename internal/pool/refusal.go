package pool

import (
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Refusal is a refused slot request.
type Refusal struct {
	Service  tables.ServiceID
	Customer tables.CustomerID
	Tier     int
	Reason   allocation.Reason
	// Surplus is true if the request was beyond the share of its customer.
	Surplus bool
}

// reportRefusal passes a refusal to OnRefusal.
func (c *Coordinator) reportRefusal(m slotRequestMessage, d allocation.Decision) {
	if c.OnRefusal != nil {
		c.OnRefusal(Refusal{Service: m.Service, Customer: m.Customer, Tier: m.Tier, Reason: d.Reason, Surplus: d.Surplus})
	}
}

func logShortage(logger *zap.Logger, s allocation.Shortage) {
	event.ShortageChanged.Log(logger, zap.String("service", string(s.Service)), zap.Bool("short", s.Begun),
		zap.Float64("waiting_s", s.Waiting), zap.Int("capacity", s.Capacity), zap.Int("in_use", s.InUse))
}

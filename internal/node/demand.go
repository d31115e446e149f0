package node

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// demandMeter measures the demand of each service at a dispatcher. It is safe for
// concurrent use.
type demandMeter struct {
	clock clockwork.Clock

	mu    sync.Mutex
	meter *demand.Meter
}

func newDemandMeter(clock clockwork.Clock) *demandMeter {
	return &demandMeter{clock: clock, meter: demand.NewMeter()}
}

// recordEnd adds the tokens of a request that left the dispatcher, whether or not
// it ran. Requests to plain services are not counted.
func (d *demandMeter) recordEnd(r *tables.Request) {
	if r.PlainService {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter.Add(d.clock.Now(), r.Service, demand.Tokens(r))
}

func (d *demandMeter) rates() demand.Rates {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meter.Rates(d.clock.Now())
}

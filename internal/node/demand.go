package node

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// demandMeter measures the demand at a dispatcher. It is safe for concurrent
// use.
type demandMeter struct {
	clock clockwork.Clock

	mu    sync.Mutex
	meter *demand.Meter
}

func newDemandMeter(clock clockwork.Clock) *demandMeter {
	return &demandMeter{clock: clock, meter: demand.NewMeter()}
}

// ended counts a request that left the dispatcher, whether it ran or not.
func (d *demandMeter) ended(r *tables.Request) {
	if r.Plain {
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

package dispatcher

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

const drainPollInterval = 20 * time.Millisecond

// Drain refuses new requests, returns queued requests to their gates and waits
// until the running requests have finished. If ctx ends first, it returns the
// error of ctx and the number of requests still running. The number is 0 if ctx
// ended before the requests were counted.
func (d *Dispatcher) Drain(ctx context.Context) (int, error) {
	d.post(d.startDrain)
	for {
		remaining, err := callInLoop(ctx, d, func() int { return len(d.jobs) })
		if err != nil || remaining == 0 {
			return remaining, err
		}
		select {
		case <-ctx.Done():
			return remaining, ctx.Err()
		case <-d.Clock.After(drainPollInterval):
		}
	}
}

func (d *Dispatcher) startDrain() {
	d.draining = true
	for _, j := range d.jobs {
		if !j.started {
			d.finish(j, peer.Finished{Kind: errkind.ShuttingDown})
		}
	}
}

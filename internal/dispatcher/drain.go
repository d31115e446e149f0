package dispatcher

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

const drainPoll = 20 * time.Millisecond

// Drain stops taking requests, gives queued ones back to their gates and waits
// until the running ones have ended. It returns the error of ctx when that
// ends first, with the number of requests still running.
func (d *Dispatcher) Drain(ctx context.Context) (int, error) {
	d.post(d.leave)
	for {
		left, err := ask(ctx, d, func() int { return len(d.jobs) })
		if err != nil || left == 0 {
			return left, err
		}
		select {
		case <-ctx.Done():
			return left, ctx.Err()
		case <-d.Clock.After(drainPoll):
		}
	}
}

func (d *Dispatcher) leave() {
	d.leaving = true
	for _, j := range d.jobs {
		if !j.started {
			d.finish(j, peer.Finished{Kind: errkind.ShuttingDown})
		}
	}
}

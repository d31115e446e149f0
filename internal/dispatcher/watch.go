package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// watchPeriod is the time between two reads of an engine's load report,
	// of what it holds and of its cache events.
	watchPeriod = 2 * time.Second
	// watchedAtOnce bounds the engines that are read at the same time.
	watchedAtOnce = 8
)

// Watch reads load reports and cache events of the owned engines until the
// context of New ends.
func (d *Dispatcher) Watch() {
	ticker := d.Clock.NewTicker(watchPeriod)
	defer ticker.Stop()
	seen := make(map[tables.TargetID]int64)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.Chan():
			d.watchOnce(seen)
		}
	}
}

// watched is one owned engine and the sequence number read so far.
type watched struct {
	id      tables.TargetID
	address string
	after   int64
}

func (d *Dispatcher) watchOnce(seen map[tables.TargetID]int64) {
	engines, err := ask(d.ctx, d, func() []watched { return d.ownedEngines(seen) })
	if err != nil {
		return
	}
	newest := make([]int64, len(engines))
	var group errgroup.Group
	group.SetLimit(watchedAtOnce)
	for i, w := range engines {
		group.Go(func() error {
			newest[i] = d.watchEngine(w)
			return nil
		})
	}
	_ = group.Wait()
	for i, w := range engines {
		seen[w.id] = newest[i]
	}
}

func (d *Dispatcher) ownedEngines(seen map[tables.TargetID]int64) []watched {
	var out []watched
	d.state.Targets.All(func(t *tables.Target) {
		if t.Owned && !t.Plain {
			out = append(out, watched{id: t.ID, address: t.Address, after: seen[t.ID]})
		}
	})
	return out
}

// watchEngine reads one engine and returns the newest sequence number seen.
func (d *Dispatcher) watchEngine(w watched) int64 {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	engine := d.Targets.Engine(w.address)
	if load, err := engine.Load(ctx); err == nil {
		d.post(func() { d.takeLoad(w.id, load) })
	}
	if state, err := engine.State(ctx); err == nil {
		d.post(func() { d.takeState(w.id, state) })
	}
	events, err := engine.CacheEvents(ctx, w.after)
	if err != nil || len(events) == 0 {
		return w.after
	}
	d.post(func() { d.takeCacheEvents(w.id, w.after, events) })
	return events[len(events)-1].Sequence
}

func (d *Dispatcher) takeLoad(id tables.TargetID, load tables.LoadReport) {
	if t := d.state.Targets.Get(id); t != nil {
		t.Load = load
	}
}

// takeCacheEvents corrects the prefix index. A jump in the sequence lowers the
// confidence in what is known of the engine.
func (d *Dispatcher) takeCacheEvents(id tables.TargetID, after int64, events []target.CacheEvent) {
	for _, e := range events {
		if e.Sequence != after+1 {
			d.state.Prefixes.Gap(id)
		}
		after = e.Sequence
		d.state.Prefixes.Stored(id, e.Stored)
		d.state.Prefixes.Evicted(id, e.Evicted)
	}
}

package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// watchPeriod is the time between two rounds of reads of what engines hold
	// and of their cache events.
	watchPeriod = 2 * time.Second
	// slowRounds is the number of rounds between two reads of what is not
	// expected to change: the cache events of an idle engine, and the state of
	// one that holds all its services.
	slowRounds = 5
	// idleRounds is the number of rounds without a running request and without
	// cache events, which come late, after which an engine is idle.
	idleRounds = 8
	// watchedAtOnce bounds the engines that are read at the same time.
	watchedAtOnce = 8
)

// watched is what is known of the reads of one owned engine.
type watched struct {
	id      tables.TargetID
	address string
	// after is the newest sequence number of its cache events.
	after int64
	// quiet is the number of rounds without work and events.
	quiet int
	// round counts the rounds.
	round int
	// settled is set while the engine holds all its services.
	settled bool
}

// next returns w in its next round.
func (w watched) next(running, settled bool) watched {
	w.round++
	w.quiet++
	if running {
		w.quiet = 0
	}
	w.settled = settled
	return w
}

// stateDue reports whether this round reads what the engine holds.
func (w watched) stateDue() bool { return !w.settled || w.round%slowRounds == 0 }

// eventsDue reports whether this round reads the engine's cache events.
func (w watched) eventsDue() bool { return w.quiet < idleRounds || w.round%slowRounds == 0 }

// Watch reads what the owned engines hold and their cache events until the
// context of New ends.
func (d *Dispatcher) Watch() {
	ticker := d.Clock.NewTicker(watchPeriod)
	defer ticker.Stop()
	seen := make(map[tables.TargetID]watched)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.Chan():
			d.watchOnce(seen)
		}
	}
}

func (d *Dispatcher) watchOnce(seen map[tables.TargetID]watched) {
	engines, err := ask(d.ctx, d, func() []watched { return d.ownedEngines(seen) })
	if err != nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(watchedAtOnce)
	for i := range engines {
		group.Go(func() error {
			d.watchEngine(&engines[i])
			return nil
		})
	}
	_ = group.Wait()
	for _, w := range engines {
		seen[w.id] = w
	}
}

func (d *Dispatcher) ownedEngines(seen map[tables.TargetID]watched) []watched {
	var out []watched
	d.state.Targets.All(func(t *tables.Target) {
		if !t.Owned || t.Plain {
			return
		}
		w := seen[t.ID].next(t.Running > 0, d.settled(t))
		w.id, w.address = t.ID, t.Address
		out = append(out, w)
	})
	return out
}

// settled reports whether an engine has stated that it holds all its services
// and offers them.
func (d *Dispatcher) settled(row *tables.Target) bool {
	doc := d.Document()
	if _, known := d.held[row.ID]; !known || doc == nil {
		return false
	}
	t := doc.Targets[string(row.ID)]
	return len(d.unloaded(row.ID, doc, t)) == 0 && len(missing(row, t)) == 0
}

// watchEngine makes the reads of one engine that are due.
func (d *Dispatcher) watchEngine(w *watched) {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	engine := d.Targets.Engine(w.address)
	if w.stateDue() {
		if state, err := engine.State(ctx); err == nil {
			d.post(func() { d.takeState(w.id, state) })
		}
	}
	if !w.eventsDue() {
		return
	}
	after := w.after
	events, err := engine.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return
	}
	d.post(func() { d.takeCacheEvents(w.id, after, events) })
	w.after = events[len(events)-1].Sequence
	w.quiet = 0
}

// takeCacheEvents corrects the prefix index. A jump in the sequence lowers the
// confidence in what is known of the engine.
func (d *Dispatcher) takeCacheEvents(id tables.TargetID, after int64, events []target.CacheEvent) {
	for _, e := range events {
		if e.Sequence != after+1 {
			d.state.Prefixes.RecordEventGap(id)
		}
		after = e.Sequence
		d.state.Prefixes.RecordStored(id, e.Stored)
		d.state.Prefixes.RecordEvicted(id, e.Evicted)
	}
}

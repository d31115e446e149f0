package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// watchInterval is the time between two rounds of reading the state and the
	// cache events of the engines.
	watchInterval = 2 * time.Second
	// slowRounds is the number of rounds between two reads of data that is not
	// expected to change: the cache events of an idle engine, and the state of an
	// engine that has all its services loaded.
	slowRounds = 5
	// idleRounds is the number of rounds without a running request and without
	// cache events after which an engine counts as idle. It is above 1 because
	// cache events arrive late.
	idleRounds = 8
	// maxConcurrentReads limits the number of engines that are read at the same
	// time.
	maxConcurrentReads = 8
)

// engineWatch is the state of the periodic reads of one owned engine.
type engineWatch struct {
	id      tables.TargetID
	address string
	// lastSequence is the highest sequence number of the engine's cache events
	// read so far.
	lastSequence int64
	// quietRounds is the number of consecutive rounds without a running request
	// and without cache events.
	quietRounds int
	// round is the number of the current round.
	round int
	// allLoaded is set while the engine has all its services loaded and none is
	// withheld.
	allLoaded bool
}

// next returns w advanced to its next round.
func (w engineWatch) next(running, allLoaded bool) engineWatch {
	w.round++
	w.quietRounds++
	if running {
		w.quietRounds = 0
	}
	w.allLoaded = allLoaded
	return w
}

// stateDue reports whether the engine's state is read in this round.
func (w engineWatch) stateDue() bool { return !w.allLoaded || w.round%slowRounds == 0 }

// eventsDue reports whether the engine's cache events are read in this round.
func (w engineWatch) eventsDue() bool { return w.quietRounds < idleRounds || w.round%slowRounds == 0 }

// Watch periodically reads the state and the cache events of the owned engines
// until the context passed to New ends.
func (d *Dispatcher) Watch() {
	ticker := d.Clock.NewTicker(watchInterval)
	defer ticker.Stop()
	watches := make(map[tables.TargetID]engineWatch)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.Chan():
			d.watchOnce(watches)
		}
	}
}

func (d *Dispatcher) watchOnce(watches map[tables.TargetID]engineWatch) {
	due, err := callInLoop(d.ctx, d, func() []engineWatch { return d.ownedEngines(watches) })
	if err != nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i := range due {
		group.Go(func() error {
			d.watchEngine(&due[i])
			return nil
		})
	}
	_ = group.Wait()
	for _, w := range due {
		watches[w.id] = w
	}
}

func (d *Dispatcher) ownedEngines(watches map[tables.TargetID]engineWatch) []engineWatch {
	var owned []engineWatch
	d.state.Targets.Each(func(t *tables.Target) {
		if !t.Owned || t.PlainService {
			return
		}
		w := watches[t.ID].next(t.Running > 0, d.allLoaded(t))
		w.id, w.address = t.ID, t.Address
		owned = append(owned, w)
	})
	return owned
}

// allLoaded reports whether an engine has reported all its services as loaded and
// none of them is withheld from it (see withhold).
func (d *Dispatcher) allLoaded(t *tables.Target) bool {
	doc := d.Document()
	if _, known := d.loadedOrders[t.ID]; !known || doc == nil {
		return false
	}
	cfg := doc.Targets[string(t.ID)]
	return len(d.unloaded(t.ID, doc, cfg)) == 0 && len(withheldServices(t, cfg)) == 0
}

// watchEngine performs the reads of one engine that are due in this round.
func (d *Dispatcher) watchEngine(w *engineWatch) {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	engine := d.Targets.Engine(w.address)
	if w.stateDue() {
		if state, err := engine.State(ctx); err == nil {
			d.post(func() { d.applyEngineState(w.id, state) })
		}
	}
	if !w.eventsDue() {
		return
	}
	after := w.lastSequence
	events, err := engine.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return
	}
	d.post(func() { d.applyCacheEvents(w.id, after, events) })
	w.lastSequence = events[len(events)-1].Sequence
	w.quietRounds = 0
}

// applyCacheEvents updates the prefix index. A gap in the sequence numbers is
// recorded, because events were lost and the index of the engine has become less
// reliable.
func (d *Dispatcher) applyCacheEvents(id tables.TargetID, after int64, events []target.CacheEvent) {
	for _, e := range events {
		if e.Sequence != after+1 {
			d.state.Prefixes.RecordLostEvents(id)
		}
		after = e.Sequence
		d.state.Prefixes.RecordStored(id, e.Stored)
		d.state.Prefixes.RecordEvicted(id, e.Evicted)
	}
}

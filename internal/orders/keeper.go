package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/logread"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// pending is an append of this process that was not read back yet.
type pending struct {
	record lease.Record
	began  time.Time
}

// wish is a lease that this process wants to hold.
type wish struct {
	name string
	// preferred is set when this host is the first choice.
	preferred bool
}

// keeper follows one lease stream and holds leases. It is safe for concurrent
// use.
type keeper struct {
	opts   Options
	stream logread.Stream

	mu    sync.Mutex
	table *lease.Table
	// settled is when the table has read enough to be acted on; zero before
	// the first read.
	settled  time.Time
	caughtUp bool
	// reachedEnd is set once the table was read to the end of the stream.
	reachedEnd bool
	holds      map[string]lease.Hold
	renewed    map[string]time.Time
	pending    map[string]pending
	// freeSince is when a wanted lease was first seen free.
	freeSince map[string]time.Time
}

func newKeeper(opts Options, stream string) *keeper {
	return &keeper{
		opts:      opts,
		stream:    logread.Stream{Log: opts.Log, Clock: opts.Clock, Name: stream},
		holds:     make(map[string]lease.Hold),
		renewed:   make(map[string]time.Time),
		pending:   make(map[string]pending),
		freeSince: make(map[string]time.Time),
	}
}

// hold returns the hold of a name while this process may order under it.
func (k *keeper) hold(name string) (lease.Hold, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.holds[name]
	return h, ok && h.MayOrder(k.opts.Clock.Now())
}

// available reports whether a lease is free or held by this process.
func (k *keeper) available(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil {
		return false
	}
	free := k.table.Free(k.opts.Clock.Now(), name)
	_, held := k.holds[name]
	return free || held
}

func (k *keeper) names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for name, h := range k.holds {
		if h.Held(k.opts.Clock.Now()) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// demand returns what the reports in the stream say; known is false while none
// does, and ready until the stream was read to its end.
func (k *keeper) demand() (rates demand.Rates, known, ready bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reachedEnd {
		return nil, false, false
	}
	rates, known = k.table.Demand()
	return rates, known, true
}

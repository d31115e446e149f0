package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
)

const (
	// longPoll is how long a read of the configuration waits at the store.
	longPoll = 1500 * time.Millisecond
	// targetsEvery is the pause between reads of the list of targets by the
	// first reader, backupEvery by the second.
	targetsEvery = 500 * time.Millisecond
	backupEvery  = time.Second
	// retryPause follows a failed call to the store.
	retryPause = 300 * time.Millisecond
	// staleAfter is the age of what is known after which a host that is no
	// reader reads by itself; each further rank waits stalePerRank longer.
	staleAfter   = 900 * time.Millisecond
	stalePerRank = 120 * time.Millisecond
	maxStale     = 2500 * time.Millisecond
	// lapseGrace is how long entries that lapsed during an outage may take to
	// come back.
	lapseGrace = 2 * time.Second
	// outageAfter without contact counts as an outage of the store.
	outageAfter = 2 * time.Second
	// hostsAgain is when a host that has started lists the hosts once more.
	hostsAgain = 1500 * time.Millisecond
	// readers is the number of hosts that read the store all the time.
	readers = 2
)

// Watcher reads the store, or hears from hosts that do.
type Watcher struct {
	State  *State
	self   fleet.Host
	store  Store
	links  *links.Links
	clock  clockwork.Clock
	logger *zap.Logger

	mu sync.Mutex
	// contact is when the store last confirmed what is known.
	contact time.Time
	// ownRead is when the store last answered this host.
	ownRead time.Time
	// away is true while calls of this host to the store fail.
	away bool
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(self fleet.Host, state *State, store Store, l *links.Links, clock clockwork.Clock, logger *zap.Logger) *Watcher {
	return &Watcher{State: state, self: self, store: store, links: l, clock: clock, logger: logger}
}

// Run keeps the state up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){w.announce, w.followConfigs, w.followTargets, w.release} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			loop(ctx)
		}()
	}
	loops.Wait()
}

// Load reads every stream once. Errors wrap ErrUnavailable.
func (w *Watcher) Load(ctx context.Context) error {
	for _, name := range Streams() {
		if err := w.list(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (w *Watcher) list(ctx context.Context, name Stream) error {
	page, err := w.store.Newest(ctx, name)
	if err != nil {
		w.failed(err)
		return err
	}
	w.touched(w.clock.Now())
	w.State.TakeListing(w.clock.Now(), name, page)
	return nil
}

// announce writes the record of this host until the store has it.
func (w *Watcher) announce(ctx context.Context) {
	value, err := encodeHost(w.self)
	if err != nil {
		event.EntryIgnored.Log(w.logger, zap.String("key", string(w.self.ID)), zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		offset, err := w.store.Put(ctx, Hosts, string(w.self.ID), value)
		if err == nil {
			w.State.TakeNews(w.clock.Now(), []Change{{Hosts, Record{Key: string(w.self.ID), Value: value, Offset: offset}}}, nil)
			break
		}
		w.failed(err)
		w.pause(ctx, retryPause)
	}
	w.listHostsAgain(ctx)
}

// listHostsAgain reads the hosts that started at the same time as this one.
func (w *Watcher) listHostsAgain(ctx context.Context) {
	w.pause(ctx, hostsAgain)
	for ctx.Err() == nil && w.list(ctx, Hosts) != nil {
		w.pause(ctx, retryPause)
	}
}

// Withdraw removes the record of this host. Errors wrap ErrUnavailable.
func (w *Watcher) Withdraw(ctx context.Context) error {
	offset, err := w.store.Put(ctx, Hosts, string(w.self.ID), nil)
	if err != nil {
		return err
	}
	w.State.TakeNews(w.clock.Now(), []Change{{Hosts, Record{Key: string(w.self.ID), Offset: offset}}}, nil)
	return nil
}

// followConfigs waits at the store for new configurations while this host is
// a reader, and reads them otherwise when nobody else tells of them.
func (w *Watcher) followConfigs(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case w.isReader():
			w.read(ctx, Configs, longPoll)
		case w.stale():
			w.read(ctx, Configs, 0)
			w.pause(ctx, targetsEvery)
		default:
			w.pause(ctx, links.BeatEvery)
		}
	}
}

func (w *Watcher) followTargets(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case w.isReader():
			w.read(ctx, Targets, 0)
			w.pause(ctx, w.targetsPause())
		case w.stale():
			w.read(ctx, Targets, 0)
			w.pause(ctx, targetsEvery)
		default:
			w.pause(ctx, links.BeatEvery)
		}
	}
}

func (w *Watcher) targetsPause() time.Duration {
	if w.links.Rank() == 0 {
		return targetsEvery
	}
	return backupEvery
}

func (w *Watcher) read(ctx context.Context, name Stream, wait time.Duration) {
	from := w.State.End(name)
	if from < 0 {
		if w.list(ctx, name) != nil {
			w.pause(ctx, retryPause)
		}
		return
	}
	page, err := w.store.Read(ctx, name, from, wait)
	switch {
	case err == nil:
		w.touched(w.clock.Now())
		w.State.Take(w.clock.Now(), name, page)
	case errors.Is(err, ErrTruncated):
		if w.list(ctx, name) != nil {
			w.pause(ctx, retryPause)
		}
	default:
		w.failed(err)
		w.pause(ctx, retryPause)
	}
}

// release lets go of targets whose entries did not come back.
func (w *Watcher) release(ctx context.Context) {
	for ctx.Err() == nil {
		w.State.ReleaseHeld(w.clock.Now())
		w.pause(ctx, links.BeatEvery)
	}
}

// isReader reports whether this host reads the store all the time: it is among
// the first that answer.
func (w *Watcher) isReader() bool {
	for i, live := range w.links.Live() {
		if i < readers && live.Host.ID == w.self.ID {
			return true
		}
	}
	return false
}

// stale reports whether what is known is so old that this host should look for
// itself.
func (w *Watcher) stale() bool {
	limit := min(staleAfter+time.Duration(w.links.Rank())*stalePerRank, maxStale)
	return w.Age() > limit
}

// Age is the time since the store confirmed what is known.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.contact)
}

// touched notes that the store answered this host.
func (w *Watcher) touched(at time.Time) {
	w.mu.Lock()
	back := w.away
	w.away = false
	w.ownRead = at
	age := at.Sub(w.contact)
	w.mu.Unlock()
	w.confirm(at)
	if back {
		event.StoreBack.Log(w.logger, zap.Duration("age", age))
	}
}

// confirm notes that the store confirmed what is known at a time, to this host
// or to another. After an outage, targets whose entries lapsed are kept for a
// while.
func (w *Watcher) confirm(at time.Time) {
	w.mu.Lock()
	outage := at.Sub(w.contact)
	first := w.contact.IsZero()
	if at.After(w.contact) {
		w.contact = at
	}
	w.mu.Unlock()
	if !first && outage > outageAfter {
		w.State.HoldUntil(at.Add(lapseGrace))
	}
}

func (w *Watcher) failed(err error) {
	w.mu.Lock()
	known := w.away
	w.away = true
	age := w.clock.Now().Sub(w.contact)
	w.mu.Unlock()
	if !known {
		event.StoreLost.Log(w.logger, zap.Duration("age", age), zap.Error(err))
	}
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}

// News is what a host tells another of its state.
type News struct {
	Changes []Change         `json:"changes,omitempty"`
	Ends    map[Stream]int64 `json:"ends,omitempty"`
	// AgeMS is the time since the store confirmed it, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// TakeNews takes in what a peer told.
func (w *Watcher) TakeNews(n News) {
	now := w.clock.Now()
	w.confirm(now.Add(-time.Duration(n.AgeMS) * time.Millisecond))
	w.State.TakeNews(now, n.Changes, n.Ends)
}

// NewsSince returns what is new after the first n changes, and the number of
// changes so far. With n below zero it returns everything.
func (w *Watcher) NewsSince(n int) (News, int) {
	var news News
	var count int
	if n < 0 {
		news.Changes, count = w.State.All()
	} else {
		news.Changes, count = w.State.Since(n)
	}
	news.Ends = w.State.Ends()
	news.AgeMS = w.Age().Milliseconds()
	return news, count
}

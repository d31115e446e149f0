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
	longPoll = time.Second
	// readEvery is the age of what is known at which the first host reads the
	// store. The second does so at backupAge and the others at othersAge, each
	// further one agePerRank later, when nobody before them has.
	readEvery  = 400 * time.Millisecond
	backupAge  = 650 * time.Millisecond
	othersAge  = 800 * time.Millisecond
	agePerRank = 70 * time.Millisecond
	maxAge     = 2 * time.Second
	// lookEvery is how often a host looks at the age of what it knows.
	lookEvery = 50 * time.Millisecond
	// retryPause follows a failed call to the store at the first hosts, and
	// othersRetry at the others.
	retryPause  = 300 * time.Millisecond
	othersRetry = 800 * time.Millisecond
	// lapseGrace is how long entries that lapsed during an outage may take to
	// come back.
	lapseGrace = 2 * time.Second
	// outageAfter without contact counts as an outage of the store.
	outageAfter = 2 * time.Second
	// hostsAgain is when a host that has started lists the hosts once more.
	hostsAgain = 1500 * time.Millisecond
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
	// contact is when the store last confirmed what is known of every stream.
	contact time.Time
	// confirmed is when the store last confirmed each stream to this host.
	confirmed map[Stream]time.Time
	// polling is true while a long poll of the configuration is open.
	polling bool
	// ownRead is when the store last answered this host.
	ownRead time.Time
	// away is true while calls of this host to the store fail.
	away bool
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(self fleet.Host, state *State, store Store, l *links.Links, clock clockwork.Clock, logger *zap.Logger) *Watcher {
	return &Watcher{State: state, self: self, store: store, links: l, clock: clock, logger: logger, confirmed: make(map[Stream]time.Time)}
}

// Run keeps the state up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){w.announce, w.pollConfigs, w.follow, w.release} {
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
	asked := w.clock.Now()
	page, err := w.store.Newest(ctx, name)
	if err != nil {
		w.failed(name, err)
		return err
	}
	w.State.TakeListing(w.clock.Now(), name, page)
	w.touched(name, asked)
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
			w.takeOwn(Record{Key: string(w.self.ID), Value: value, Offset: offset})
			break
		}
		w.failed(Hosts, err)
		w.pause(ctx, othersRetry)
	}
	w.listHostsAgain(ctx)
}

// listHostsAgain reads the hosts that started at the same time as this one.
func (w *Watcher) listHostsAgain(ctx context.Context) {
	w.pause(ctx, hostsAgain)
	for ctx.Err() == nil && w.list(ctx, Hosts) != nil {
		w.pause(ctx, othersRetry)
	}
}

// Withdraw removes the record of this host. Errors wrap ErrUnavailable.
func (w *Watcher) Withdraw(ctx context.Context) error {
	offset, err := w.store.Put(ctx, Hosts, string(w.self.ID), nil)
	if err != nil {
		return err
	}
	w.takeOwn(Record{Key: string(w.self.ID), Offset: offset})
	return nil
}

// takeOwn takes in the record of this host that the store has accepted.
func (w *Watcher) takeOwn(r Record) {
	w.State.Take(w.clock.Now(), Hosts, Page{Records: []Record{r}, End: -1})
}

// pollConfigs waits at the store for new configurations while this host is the
// first that answers.
func (w *Watcher) pollConfigs(ctx context.Context) {
	for ctx.Err() == nil {
		if w.rank() != 0 {
			w.pause(ctx, links.BeatEvery)
			continue
		}
		w.setPolling(true)
		err := w.read(ctx, Configs, longPoll)
		w.setPolling(false)
		if err != nil {
			w.pause(ctx, retryPause)
		}
	}
}

// follow reads the store whenever what is known has become too old for the
// rank of this host.
func (w *Watcher) follow(ctx context.Context) {
	for ctx.Err() == nil {
		rank := w.rank()
		if w.Age() < ageOf(rank) {
			w.pause(ctx, lookEvery)
			continue
		}
		if w.readAll(ctx) != nil {
			w.pause(ctx, pauseOf(rank))
		}
	}
}

func (w *Watcher) readAll(ctx context.Context) error {
	if !w.isPolling() {
		if err := w.read(ctx, Configs, 0); err != nil {
			return err
		}
	}
	return w.read(ctx, Targets, 0)
}

// ageOf is the age of what is known at which a host of a rank reads the store.
func ageOf(rank int) time.Duration {
	switch rank {
	case 0:
		return readEvery
	case 1:
		return backupAge
	default:
		return min(othersAge+time.Duration(rank)*agePerRank, maxAge)
	}
}

func pauseOf(rank int) time.Duration {
	if rank <= 1 {
		return retryPause
	}
	return othersRetry
}

func (w *Watcher) setPolling(on bool) {
	w.mu.Lock()
	w.polling = on
	w.mu.Unlock()
}

func (w *Watcher) isPolling() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polling
}

// read takes in what is new in a stream. Errors wrap ErrUnavailable.
func (w *Watcher) read(ctx context.Context, name Stream, wait time.Duration) error {
	from := w.State.End(name)
	if from < 0 {
		return w.list(ctx, name)
	}
	asked := w.clock.Now()
	page, err := w.store.Read(ctx, name, from, wait)
	switch {
	case err == nil:
		w.State.Take(w.clock.Now(), name, page)
		w.touched(name, asked)
		return nil
	case errors.Is(err, ErrTruncated):
		return w.list(ctx, name)
	default:
		w.failed(name, err)
		return err
	}
}

// rank is the place of this host among those that answer.
func (w *Watcher) rank() int {
	for i, live := range w.links.Live() {
		if live.Host.ID == w.self.ID {
			return i
		}
	}
	return w.links.Rank()
}

// release lets go of targets whose entries did not come back.
func (w *Watcher) release(ctx context.Context) {
	for ctx.Err() == nil {
		w.State.ReleaseHeld(w.clock.Now())
		w.pause(ctx, links.BeatEvery)
	}
}

// Age is the time since the store confirmed what is known.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.contact)
}

// touched notes that the store confirmed a stream to this host. An open long
// poll stands for the configuration until it fails.
func (w *Watcher) touched(name Stream, at time.Time) {
	w.mu.Lock()
	back := w.away
	w.away = false
	w.confirmed[name] = at
	oldest := w.confirmed[Targets]
	if configs := w.confirmed[Configs]; !w.polling && configs.Before(oldest) {
		oldest = configs
	}
	w.ownRead = w.clock.Now()
	age := at.Sub(w.contact)
	w.mu.Unlock()
	if !oldest.IsZero() {
		w.confirm(oldest)
	}
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

// failed notes that a call to the store failed. A failed poll no longer stands
// for the configuration.
func (w *Watcher) failed(name Stream, err error) {
	w.mu.Lock()
	if name == Configs {
		w.polling = false
	}
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
	// AgeMS is the time since the store confirmed it, in milliseconds;
	// ageUnknown without.
	AgeMS int64 `json:"age_ms"`
	// Busy hosts are short of processor time.
	Busy bool `json:"busy,omitempty"`
}

// ageUnknown marks news that only show that their sender is there.
const ageUnknown = -1

// TakeNews takes in what a peer told.
func (w *Watcher) TakeNews(n News) {
	if n.AgeMS == ageUnknown {
		return
	}
	now := w.clock.Now()
	w.confirm(now.Add(-time.Duration(n.AgeMS) * time.Millisecond))
	w.State.TakeNews(now, n.Changes, n.Ends)
}

// news is what a host tells of a part of its state.
func (w *Watcher) news(s Snapshot) News {
	return News{Changes: s.Changes, Ends: s.Ends, AgeMS: w.Age().Milliseconds()}
}

// readItself reports whether the store has answered this host within d.
func (w *Watcher) readItself(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.ownRead) <= d
}

package watch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// longPollWait is how long the store may hold a read of the configuration or
	// the targets open.
	longPollWait = time.Second
	// The first-ranked host reads the store when its state is firstStaleAfter old,
	// and the second one when it is secondStaleAfter old. For the others, this age
	// is otherRanksStaleAfter plus staleAfterPerRank for each rank, at most
	// maxStaleAfter. A host thus reads only if those that rank higher have not.
	firstStaleAfter      = 400 * time.Millisecond
	secondStaleAfter     = 650 * time.Millisecond
	otherRanksStaleAfter = 800 * time.Millisecond
	staleAfterPerRank    = 70 * time.Millisecond
	maxStaleAfter        = 2 * time.Second
	// ageCheckInterval is how often a host checks the age of its state.
	ageCheckInterval = 50 * time.Millisecond
	// After a failed read of the store, the two highest-ranked hosts wait for
	// retryDelay and the others for longRetryDelay. During registration every
	// host waits for longRetryDelay.
	retryDelay     = 300 * time.Millisecond
	longRetryDelay = 800 * time.Millisecond
	// outageThreshold is the age of the state above which the next confirmation
	// counts as the end of an outage of the store.
	outageThreshold = 2 * time.Second
	// registrationInterval is the time between checks that the record of this host
	// is in the store.
	registrationInterval = time.Second
	// firstHostsReadDelay is how long after its start a host reads the hosts again if
	// no other host has sent it an update: it may have listed them before others had
	// written their records.
	firstHostsReadDelay = 500 * time.Millisecond
	// hostsReadInterval is the time between reads of the hosts by the first live
	// host.
	hostsReadInterval = 1500 * time.Millisecond
)

// Watcher keeps a State up to date from the store, or from the updates of hosts
// that read it. It is safe for concurrent use.
type Watcher struct {
	State  *State
	self   fleet.Host
	store  Store
	links  *links.Links
	clock  clockwork.Clock
	logger *zap.Logger
	// Attached returns the hosts that are attached to this one. NewReplicator sets
	// it.
	Attached func() map[tables.HostID]bool
	// FirstStart is true if the whole system starts for the first time. It must be set before
	// Run.
	FirstStart bool
	// ResumedAt returns when the process last resumed after a stall, or zero. It must tell of a
	// stall that has just ended, before timers have fired. It may be nil if the process does not
	// stall, and must be set before Run.
	ResumedAt func() time.Time

	// readingVersions holds an element while ReadVersions reads.
	readingVersions chan struct{}
	// unloaded holds the streams that Load has yet to list. It is used only by Load.
	unloaded []Stream

	mu sync.Mutex
	// lastConfirmed is when the configuration and the targets were last known to
	// be up to date, from reads of the store by this host or by another.
	lastConfirmed time.Time
	// updatedAt is when another host last confirmed the state, and heard is true once one has.
	updatedAt time.Time
	heard     bool
	// confirmedAt is when the last successful read of each stream by this host
	// began.
	confirmedAt map[Stream]time.Time
	// targetsListedAt is when the last listing of the targets began: they were not read on from what
	// was known of them.
	targetsListedAt time.Time
	// polling holds the streams that are being long-polled.
	polling map[Stream]bool
	// endPoll ends the last poll of each stream.
	endPoll map[Stream]context.CancelCauseFunc
	// lastRead is when this host last read from the store successfully.
	lastRead time.Time
	// storeDown is true from a failed read or registration of this host until its
	// next successful read.
	storeDown bool
	// leaving is true once this host removes its record.
	leaving bool
	// hostCounter counts the hosts.
	hostCounter hostCounter
}

// NewWatcher returns a watcher. Run starts it.
func NewWatcher(self fleet.Host, state *State, store Store, l *links.Links, clock clockwork.Clock, logger *zap.Logger) *Watcher {
	return &Watcher{State: state, self: self, store: store, links: l, clock: clock, logger: logger, unloaded: Streams(), readingVersions: make(chan struct{}, 1), confirmedAt: make(map[Stream]time.Time), polling: make(map[Stream]bool), endPoll: make(map[Stream]context.CancelCauseFunc)}
}

// Run keeps the state up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){w.keepRegistered, w.pollConfigs, w.pollTargets, w.readWhenStale, w.readHosts, w.keepHostList, w.removeGoneHosts, w.applyHeldRemovals} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			loop(ctx)
		}()
	}
	loops.Wait()
}

// Reset forgets what is known of the store, which is another one now.
func (w *Watcher) Reset() {
	w.State.Reset()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastConfirmed, w.updatedAt, w.lastRead, w.heard, w.targetsListedAt = time.Time{}, time.Time{}, time.Time{}, false, time.Time{}
	clear(w.confirmedAt)
	clear(w.polling)
	w.hostCounter = hostCounter{}
}

// Load lists every stream, up to the first one that fails. The next call goes on with the
// streams that have not been listed, the one that failed last, since the store may have lost
// access to a single one. If the hosts fail, Load reads the copy of their list. Errors wrap
// ErrUnavailable.
func (w *Watcher) Load(ctx context.Context) error {
	for len(w.unloaded) > 0 {
		name := w.unloaded[0]
		err := w.list(ctx, name)
		w.unloaded = w.unloaded[1:]
		if err == nil {
			continue
		}
		w.unloaded = append(w.unloaded, name)
		if name == Hosts {
			err = errors.Join(err, w.ReadHostList(ctx))
		}
		return err
	}
	w.unloaded = Streams()
	return nil
}

func (w *Watcher) list(ctx context.Context, name Stream) error {
	requestedAt := w.clock.Now()
	page, err := w.store.Newest(ctx, name)
	if err != nil {
		w.recordFailedCall(ctx, name, err)
		return err
	}
	w.holdRemovalsAfterOutage(requestedAt)
	if !w.State.ApplyListing(w.clock.Now(), name, page) {
		w.recordFailure(name, errOutdated)
		return errOutdated
	}
	w.recordListing(name, requestedAt)
	w.recordRead(name, requestedAt)
	return nil
}

// errOutdated means that the answer of the store is from before its restoration.
var errOutdated = fmt.Errorf("%w: the answer is of an older incarnation", ErrUnavailable)

// poll long-polls the store for new records of a stream while this host is the
// first live one. The first read, and the first one after a stall of the process, do not wait
// for records: what is known of the stream counts as up to date only once they are answered.
func (w *Watcher) poll(ctx context.Context, name Stream) {
	for ctx.Err() == nil {
		if w.rank() != 0 {
			w.setPolling(name, false)
			w.sleep(ctx, links.HeartbeatInterval)
			continue
		}
		wait := longPollWait
		if !w.isPolling(name) || !w.readSinceStall(name) {
			wait = 0
		}
		begunAt := w.clock.Now()
		if w.pollOnce(ctx, name, wait) != nil {
			if !w.stalledSince(begunAt) {
				w.sleep(ctx, retryDelay)
			}
			continue
		}
		w.setPolling(name, true)
	}
}

// errResumed is the cause of a poll that Resume has ended.
var errResumed = errors.New("the process has resumed after a stall")

// pollOnce reads a stream once, until Resume is called.
func (w *Watcher) pollOnce(ctx context.Context, name Stream, wait time.Duration) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	w.mu.Lock()
	w.endPoll[name] = end
	w.mu.Unlock()
	return w.read(ctx, name, wait)
}

// Resume must be called when the process has resumed after a stall. It ends the polls, which begin
// anew: one that was sent only after the stall may wait, and confirms nothing.
func (w *Watcher) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range w.endPoll {
		end(errResumed)
	}
}

// resumedAt returns when the process last resumed after a stall; zero if it did not. The lock must
// not be held.
func (w *Watcher) resumedAt() time.Time {
	if w.ResumedAt == nil {
		return time.Time{}
	}
	return w.ResumedAt()
}

// stalledSince reports whether the process has stalled since a time. A call that has failed
// meanwhile says nothing of the store: its time may have run out during the stall.
func (w *Watcher) stalledSince(at time.Time) bool {
	return w.resumedAt().After(at)
}

func (w *Watcher) pollConfigs(ctx context.Context) { w.poll(ctx, Configs) }

func (w *Watcher) pollTargets(ctx context.Context) { w.poll(ctx, Targets) }

// readWhenStale reads the store whenever the state is older than allowed for
// the rank of this host.
func (w *Watcher) readWhenStale(ctx context.Context) {
	for ctx.Err() == nil {
		hostRank := w.rank()
		if w.lacksHosts(hostRank) && w.read(ctx, Hosts, 0) != nil {
			w.sleep(ctx, longRetryDelay)
		}
		if w.Age() < staleAfter(hostRank) {
			w.sleep(ctx, ageCheckInterval)
			continue
		}
		if w.readAll(ctx) != nil {
			w.sleep(ctx, retryDelayOf(hostRank))
		}
	}
}

// lacksHosts reports whether this host has to read the hosts itself: it is not the first one,
// and no other host has told it of the hosts.
func (w *Watcher) lacksHosts(rank int) bool {
	if rank == unranked && !w.State.Read(Hosts) || w.needsSecondRead() {
		return true
	}
	return rank != 0 && !w.heardFromPeer() && !w.streamReadWithin(Hosts, firstHostsReadDelay)
}

// readAll reads the streams that are not being polled. It includes the hosts: a host
// that gets no updates may be attached to hosts that do not send any, because it
// knows too few to find the first live one.
func (w *Watcher) readAll(ctx context.Context) error {
	for _, name := range Streams() {
		if w.isPolling(name) || (name == Hosts && w.streamReadWithin(Hosts, hostsReadInterval)) {
			continue
		}
		if err := w.read(ctx, name, 0); err != nil {
			return err
		}
	}
	return nil
}

// staleAfter returns the age of the state at which a host with the given rank
// reads the store.
func staleAfter(rank int) time.Duration {
	switch rank {
	case 0:
		return firstStaleAfter
	case 1:
		return secondStaleAfter
	case unranked:
		return otherRanksStaleAfter
	default:
		return min(otherRanksStaleAfter+time.Duration(rank)*staleAfterPerRank, maxStaleAfter)
	}
}

func retryDelayOf(rank int) time.Duration {
	if rank <= 1 {
		return retryDelay
	}
	return longRetryDelay
}

func (w *Watcher) setPolling(name Stream, on bool) {
	w.mu.Lock()
	w.polling[name] = on
	w.mu.Unlock()
}

func (w *Watcher) isPolling(name Stream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polling[name]
}

// read reads and applies the new records of a stream. It lists the stream instead
// if this has not been done before or if new records were truncated. Errors wrap
// ErrUnavailable.
func (w *Watcher) read(ctx context.Context, name Stream, wait time.Duration) error {
	for {
		partial, err := w.readPage(ctx, name, wait)
		if err != nil || !partial {
			return err
		}
		wait = 0
	}
}

// readPage makes one call for read. It reports whether the store has further records; the
// stream counts as up to date only if it has not.
func (w *Watcher) readPage(ctx context.Context, name Stream, wait time.Duration) (partial bool, err error) {
	mark := w.State.Mark(name)
	if mark.End == unread {
		return false, w.list(ctx, name)
	}
	requestedAt := w.clock.Now()
	page, err := w.store.Read(ctx, name, mark.End, wait)
	if err == nil {
		w.holdRemovalsAfterOutage(requestedAt)
	}
	noProgress := page.Partial && len(page.Records) == 0
	switch {
	case err == nil && !noProgress && w.State.Apply(w.clock.Now(), name, mark.End, page):
		if !page.Partial {
			w.recordRead(name, requestedAt)
		}
		return page.Partial, nil
	case err == nil || errors.Is(err, ErrTruncated):
		// The store has been restored, has deleted records that are needed, or returned none
		// of those that it announces.
		return false, w.list(ctx, name)
	default:
		w.recordFailedCall(ctx, name, err)
		return false, err
	}
}

// recordFailedCall records that a call failed, unless this host has ended it.
func (w *Watcher) recordFailedCall(ctx context.Context, name Stream, err error) {
	if cause := context.Cause(ctx); !errors.Is(cause, errResumed) && !errors.Is(cause, errGivenUp) {
		w.recordFailure(name, err)
	}
}

// unranked is the rank of a host that is not listed. It follows the ranks of all hosts: such a
// host does nothing on behalf of others, and reads the store for itself.
const unranked = math.MaxInt

// rank returns the position of this host in links.LiveHosts, which holds only the
// highest-ranked hosts, or its rank among all hosts if it is not listed there.
func (w *Watcher) rank() int {
	for i, live := range w.links.LiveHosts() {
		if live.Host.ID == w.self.ID {
			return i
		}
	}
	if rank, listed := w.links.Rank(); listed {
		return rank
	}
	return unranked
}

// applyHeldRemovals regularly removes the targets whose removal was held and whose
// records were not renewed, until ctx ends.
func (w *Watcher) applyHeldRemovals(ctx context.Context) {
	for ctx.Err() == nil {
		w.State.ApplyHeldRemovals(w.clock.Now())
		w.sleep(ctx, links.HeartbeatInterval)
	}
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}

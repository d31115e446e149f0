package orders

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/platform"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

const (
	// readWait is how long the log holds a read open for the next record.
	readWait = 5 * time.Second
	// readTimeout bounds one read.
	readTimeout = readWait + 3*time.Second
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// pendingFor is how long an unread append keeps its lease from another.
	pendingFor = 5 * time.Second
	// patience is how much longer a lease must be free before a host takes it
	// that is not its first choice.
	patience = 10 * time.Second
	// retryFirst and retryMax bound the wait after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMax   = 2 * time.Second
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
	// demand is what the next renewal that is due to carry it says; nil for
	// nothing.
	demand demand.Rates
}

// keeper follows the lease stream and holds leases. It is safe for concurrent
// use.
type keeper struct {
	opts Options

	mu    sync.Mutex
	table *lease.Table
	// settled is when the table has read enough to be acted on; zero before
	// the first read.
	settled  time.Time
	caughtUp bool
	holds    map[string]lease.Hold
	renewed  map[string]time.Time
	// carried is when a renewal last carried the demand.
	carried map[string]time.Time
	pending map[string]pending
	// freeSince is when a wanted lease was first seen free.
	freeSince map[string]time.Time
}

func newKeeper(opts Options) *keeper {
	return &keeper{
		opts:      opts,
		holds:     make(map[string]lease.Hold),
		renewed:   make(map[string]time.Time),
		carried:   make(map[string]time.Time),
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

func (k *keeper) readLoop(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryMax
	for ctx.Err() == nil {
		err := k.readOnce(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if errors.Is(err, platform.ErrTruncated) {
			event.LogTruncated.Log(k.opts.Logger, zap.String("stream", platform.LeaseStream), zap.Error(err))
			k.restart()
		}
		timer := k.opts.Clock.NewTimer(retry.NextBackOff())
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// restart forgets the stream; holds end, as their records are unknown.
func (k *keeper) restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = nil
	k.caughtUp = false
	clear(k.holds)
	clear(k.pending)
	clear(k.freeSince)
}

func (k *keeper) readOnce(ctx context.Context) error {
	k.mu.Lock()
	started, next := k.table != nil, platform.Offset(0)
	if started {
		next = k.table.Next()
	}
	k.mu.Unlock()
	if !started {
		return k.start(ctx)
	}
	page, err := k.read(ctx, next, readWait)
	if err != nil {
		return err
	}
	return k.fold(page)
}

// start begins at the oldest record that the stream keeps.
func (k *keeper) start(ctx context.Context) error {
	first, err := platform.FirstOffset(ctx, k.opts.Log, platform.LeaseStream)
	if err != nil {
		return err
	}
	page, err := k.read(ctx, first, 0)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.table = lease.NewTable(first)
	now := k.opts.Clock.Now()
	k.settled = now
	if first > 0 && len(page.Records) > 0 {
		k.settled = page.Records[0].Time.Add(lease.SettleAfter)
	}
	k.mu.Unlock()
	return k.fold(page)
}

func (k *keeper) read(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Page, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, k.opts.Clock, readTimeout)
	defer cancel()
	return k.opts.Log.Read(ctx, platform.LeaseStream, from, wait)
}

func (k *keeper) fold(page platform.Page) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if page.First > k.table.Next() || page.Next < k.table.Next() {
		return platform.ErrTruncated
	}
	now := k.opts.Clock.Now()
	for _, rec := range page.Records {
		if rec.Offset < k.table.Next() {
			continue
		}
		if rec.Offset > k.table.Next() {
			return platform.ErrTruncated
		}
		k.folded(now, rec)
	}
	k.caughtUp = k.table.Next() >= page.Next
	return nil
}

// folded applies one record and what it means for this process; k.mu is held.
func (k *keeper) folded(now time.Time, rec platform.Record) {
	step := k.table.Fold(now, rec)
	if step.Err != nil {
		event.RecordIgnored.Log(k.opts.Logger, zap.Int64("offset", int64(rec.Offset)), zap.Error(step.Err))
		return
	}
	name := step.Record.Name
	own, mine := k.pending[name]
	mine = mine && own.record.ID == step.Record.ID
	if mine {
		delete(k.pending, name)
	}
	if !step.Accepted {
		return
	}
	delete(k.freeSince, name)
	switch {
	case mine && step.Record.Kind == lease.Acquire:
		k.holds[name] = lease.NewHold(now, own.began, rec.Offset, step)
		k.renewed[name] = own.began
		event.LeaseTaken.Log(k.opts.Logger, zap.String("lease", name), zap.Int64("fence", int64(rec.Offset)))
	case mine && step.Record.Kind == lease.Renew:
		k.holds[name] = k.holds[name].Renewed(own.began)
	default:
		k.drop(name)
	}
}

// drop ends a hold that another record replaced or released; k.mu is held.
func (k *keeper) drop(name string) {
	h, held := k.holds[name]
	if !held {
		return
	}
	delete(k.holds, name)
	event.LeaseLost.Log(k.opts.Logger, zap.String("lease", name), zap.Int64("fence", int64(h.Fence)))
}

// keep renews the wanted leases that are held, acquires those that are free,
// and releases those that are no longer wanted.
func (k *keeper) keep(ctx context.Context, wanted []wish) {
	var g errgroup.Group
	for _, p := range k.nextRecords(wanted) {
		g.Go(func() error {
			k.append(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

func (k *keeper) append(ctx context.Context, p pending) {
	data, err := p.record.Encode()
	if err != nil {
		event.InvariantFailed.Log(k.opts.Logger, zap.Error(err))
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.opts.Clock, appendTimeout)
	defer cancel()
	_, err = k.opts.Log.Append(ctx, platform.LeaseStream, data)
	if err == nil || !errors.Is(err, platform.ErrUnavailable) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[p.record.Name].record.ID == p.record.ID {
		delete(k.pending, p.record.Name)
	}
}

// nextRecords returns the records to append now.
func (k *keeper) nextRecords(wanted []wish) []pending {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	k.expire(now)
	if k.table == nil || now.Before(k.settled) {
		return nil
	}
	var out []pending
	names := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		names[w.name] = true
		if p, ok := k.next(now, w); ok {
			out = append(out, p)
		}
	}
	for name := range k.holds {
		if _, busy := k.pending[name]; !names[name] && !busy {
			out = append(out, k.release(now, name))
		}
	}
	return out
}

// expire ends holds whose time is over, also after a pause of the process.
func (k *keeper) expire(now time.Time) {
	for name, h := range k.holds {
		if !h.Held(now) {
			k.drop(name)
		}
	}
	for name, p := range k.pending {
		if now.Sub(p.began) >= pendingFor {
			delete(k.pending, name)
		}
	}
}

func (k *keeper) next(now time.Time, w wish) (pending, bool) {
	if _, busy := k.pending[w.name]; busy {
		return pending{}, false
	}
	if h, held := k.holds[w.name]; held {
		if now.Sub(k.renewed[w.name]) < lease.RenewEvery {
			return pending{}, false
		}
		k.renewed[w.name] = now
		return k.renewal(now, w, h.Fence), true
	}
	free := k.table.Free(now, w.name)
	if !free || !k.caughtUp {
		delete(k.freeSince, w.name)
		return pending{}, false
	}
	if _, seen := k.freeSince[w.name]; !seen {
		k.freeSince[w.name] = now
	}
	if !w.preferred && now.Sub(k.freeSince[w.name]) < patience {
		return pending{}, false
	}
	return k.begin(now, lease.Acquire, w.name, lease.None), true
}

// renewal begins a renewal, which carries the demand now and then; k.mu is held.
func (k *keeper) renewal(now time.Time, w wish, fence platform.Offset) pending {
	p := k.begin(now, lease.Renew, w.name, fence)
	if w.demand != nil && now.Sub(k.carried[w.name]) >= lease.DemandEvery {
		k.carried[w.name] = now
		p.record.Demand = w.demand
	}
	return p
}

// demand returns what the holders of all leases have said of demand; false
// while none has.
func (k *keeper) demand() (demand.Rates, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil {
		return nil, false
	}
	return k.table.Demand()
}

// begin notes a record that is about to be appended; k.mu is held.
func (k *keeper) begin(now time.Time, kind lease.Kind, name string, fence platform.Offset) pending {
	after, afterTime := k.table.After(name)
	p := pending{began: now, record: lease.Record{
		Kind:        kind,
		Name:        name,
		ID:          uuid.NewString(),
		Holder:      k.opts.Self.ID,
		Incarnation: k.opts.Self.Incarnation,
		After:       after,
		AfterTime:   afterTime,
		Fence:       fence,
	}}
	k.pending[name] = p
	return p
}

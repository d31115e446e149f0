package edgenode

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
	"github.com/bluebellseam/bluebellseam/platform"
)

const (
	// rolloutPrefix begins the names of the shared records of rollouts.
	rolloutPrefix = "rollout/"
	// rolloutInterval is the time between checks that the store holds what the
	// coordinator has decided. A change of a phase is written at once.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRecordInterval is the minimum time between two records of one service in the
	// same phase.
	rolloutRecordInterval = time.Second
	// After a failed write the next attempt waits for minRolloutRetry, which doubles up to
	// maxRolloutRetry.
	minRolloutRetry = 100 * time.Millisecond
	maxRolloutRetry = 800 * time.Millisecond
	// completedDelay is the time from the record of a completed rollout until the operator
	// is told. By then the other hosts have the record, one of which may be the next
	// coordinator: the operator stops the old targets at once.
	completedDelay = 100 * time.Millisecond
)

// statusStore holds the status of rollouts. Errors wrap watch.ErrUnavailable.
type statusStore interface {
	HasRolloutStatus(ctx context.Context, status fleet.RolloutStatus) (bool, error)
	PutRolloutStatus(ctx context.Context, status fleet.RolloutStatus) (watch.Position, error)
}

// sharedRecords is what a rolloutKeeper uses of a watch.Watcher.
type sharedRecords interface {
	PutShared(ctx context.Context, name string, value []byte) error
}

// rolloutScheduler is what a rolloutKeeper uses of a pool.Coordinator.
type rolloutScheduler interface {
	SetRollouts(orders []rollout.Order, records map[tables.ServiceID]rollout.Record, bounds rollout.Bounds)
	ConfirmRollout(rollout.Record)
	RolloutRecords(now time.Time) []rollout.Record
	RolloutStatus() []rollout.Status
}

// rolloutKeeper passes orders and stored records to the coordinator and the fallback of
// this host. While this host is the coordinator, it also writes the records of rollouts
// and their status.
type rolloutKeeper struct {
	state                 *watch.State
	records               sharedRecords
	status                statusStore
	coordinator, fallback rolloutScheduler
	// decides reports whether this host is the coordinator. fresh reports whether what
	// it knows of the store is up to date.
	decides, fresh func() bool
	// refresh reads the stored records, and publish sends them to the other hosts at once.
	refresh func(context.Context) error
	publish func()
	bounds  func() rollout.Bounds
	metrics *observe.EdgeMetrics
	clock   clockwork.Clock
	logger  *zap.Logger
	wake    chan struct{}

	// reloading is held by reload, so that no older orders replace newer ones.
	reloading sync.Mutex
	// active is true once there has been an order, or a record that an earlier one left.
	active atomic.Bool

	mu sync.Mutex
	// known holds the newest record of each service that this host knows, also if a
	// restored store has lost it.
	known map[tables.ServiceID]storedRollout

	// written, leads, failing and gauges are used only by run. leads is true once this host has
	// read the records as the coordinator.
	written        map[tables.ServiceID]writtenRollout
	leads, failing bool
	gauges         []observe.Rollout
}

// writtenRollout is the last record of a service that this host has written.
type writtenRollout struct {
	order rollout.OrderID
	phase rollout.Phase
	told  told
	// at is when it was written, and phaseAt when the first one in its phase was.
	at, phaseAt time.Time
}

// connectRollouts enables rollouts if the settings name the contract.
func (p *Process) connectRollouts(status statusStore) {
	if !p.settings.Rollouts() {
		return
	}
	k := &rolloutKeeper{
		state: p.state, records: p.watcher, status: status, coordinator: p.coordinator, fallback: p.fallback,
		decides: p.isCoordinator, fresh: p.viewFresh, refresh: p.watcher.ReadHosts, publish: p.replicator.Wake, metrics: p.metrics, clock: p.clock, logger: p.logger,
		bounds: func() rollout.Bounds { return rolloutBoundsOf(p.currentSettings()) },
		wake:   make(chan struct{}, 1), known: make(map[tables.ServiceID]storedRollout), written: make(map[tables.ServiceID]writtenRollout),
	}
	p.coordinator.OnRolloutChange = k.wakeUp
	p.rollouts = k
}

func rolloutBoundsOf(s platform.Settings) rollout.Bounds {
	return rollout.Bounds{
		ExposureShare: s.Bounds.ExposeShare,
		ExposureSlack: s.Bounds.ExposeSlack,
		RollbackTime:  time.Duration(s.Bounds.RollbackMS * float64(time.Millisecond)),
	}
}

func (k *rolloutKeeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// reload passes the orders and the stored records on. It does nothing on a nil keeper.
func (k *rolloutKeeper) reload() {
	if k == nil {
		return
	}
	k.reloading.Lock()
	defer k.reloading.Unlock()
	orders, records := k.orders(), k.learn()
	if len(orders) == 0 && len(records) == 0 && len(k.stored()) == 0 && !k.active.Load() {
		return
	}
	k.active.Store(true)
	for _, c := range []rolloutScheduler{k.coordinator, k.fallback} {
		c.SetRollouts(orders, records, k.bounds())
	}
	k.wakeUp()
}

func (k *rolloutKeeper) orders() []rollout.Order {
	var out []rollout.Order
	for _, o := range k.state.Orders() {
		out = append(out, rollout.Order{
			ID: rollout.OrderID(o.Position), Service: o.Service, To: o.To, Duration: o.Duration,
		})
	}
	return out
}

// stored returns the records of rollouts in the store by service, as far as they are
// known.
func (k *rolloutKeeper) stored() map[tables.ServiceID]storedRollout {
	out := make(map[tables.ServiceID]storedRollout)
	for name, value := range k.state.Shared() {
		service, isRollout := strings.CutPrefix(name, rolloutPrefix)
		if !isRollout {
			continue
		}
		var r storedRollout
		if err := json.Unmarshal(value, &r); err != nil || string(r.Service) != service {
			event.EntryIgnored.Log(k.logger, zap.String("key", name), zap.Error(err))
			continue
		}
		out[r.Service] = r
	}
	return out
}

// learn takes up the stored records and returns the newest records that this host knows,
// of the services that have an order.
func (k *rolloutKeeper) learn() map[tables.ServiceID]rollout.Record {
	stored := k.stored()
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, r := range stored {
		if before, known := k.known[service]; known {
			r = before.merge(r)
		}
		k.known[service] = r
	}
	out := make(map[tables.ServiceID]rollout.Record, len(k.known))
	for service, r := range k.known {
		if !k.ordered(service) {
			delete(k.known, service)
			continue
		}
		out[service] = r.Record
	}
	return out
}

// run writes records and status until ctx ends. It does nothing on a nil keeper.
func (k *rolloutKeeper) run(ctx context.Context) {
	if k == nil {
		return
	}
	retry := minRolloutRetry
	for ctx.Err() == nil {
		if !k.active.Load() {
			// Without an order there is nothing to write, so the host is not woken up.
			select {
			case <-ctx.Done():
			case <-k.wake:
			}
			continue
		}
		k.updateMetrics()
		if k.step(ctx) {
			retry = minRolloutRetry
			select {
			case <-ctx.Done():
			case <-k.wake:
			case <-k.clock.After(rolloutInterval):
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(retry):
		}
		retry = min(2*retry, maxRolloutRetry)
	}
}

// step writes what the store lacks, while this host is the coordinator. It reports
// whether that succeeded.
func (k *rolloutKeeper) step(ctx context.Context) bool {
	if !k.decides() {
		k.leads = false
		return true
	}
	var failure error
	if !k.leads && k.active.Load() {
		// The coordinator before may have died before it could send its last record.
		failure = k.refresh(ctx)
		k.leads = failure == nil
	}
	for _, r := range k.coordinator.RolloutRecords(k.clock.Now()) {
		if !k.ordered(r.Service) {
			continue
		}
		if err := k.keep(ctx, r); err != nil {
			failure = err
		}
	}
	if err := k.removeOld(ctx); err != nil {
		failure = err
	}
	if failure != nil && !k.failing {
		event.RolloutNotStored.Log(k.logger, zap.Error(failure))
	}
	k.failing = failure != nil
	return failure == nil
}

// keep writes one record and then the status that follows from it: hosts that all die
// after the operator has acted on a status must find the phase in the store.
func (k *rolloutKeeper) keep(ctx context.Context, r rollout.Record) error {
	before := k.told(r)
	if !k.mayWrite(r, before) {
		return nil
	}
	if err := k.write(ctx, r, before); err != nil {
		return err
	}
	k.coordinator.ConfirmRollout(r)
	now, err := k.tell(ctx, r, before)
	if now != before {
		k.remember(r, now)
		if writeErr := k.write(ctx, r, now); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// mayWrite reports whether a record may be written now: one of another phase at once,
// others after rolloutRecordInterval. Two hosts that both believe that they are the
// coordinator would otherwise overwrite each other's records without a pause.
func (k *rolloutKeeper) mayWrite(r rollout.Record, t told) bool {
	last, known := k.written[r.Service]
	if !known || last.order != r.Order || last.phase != r.Phase || last.told != t || k.clock.Now().Sub(last.at) >= rolloutRecordInterval {
		return true
	}
	next := t.next(r.Phase, k.incarnation())
	return next != ""
}

func (k *rolloutKeeper) write(ctx context.Context, r rollout.Record, t told) error {
	value, err := json.Marshal(storedRollout{Record: r, told: t})
	if err != nil {
		return err
	}
	if err := k.records.PutShared(ctx, rolloutPrefix+string(r.Service), value); err != nil {
		return err
	}
	now := k.clock.Now()
	next := writtenRollout{order: r.Order, phase: r.Phase, told: t, at: now, phaseAt: now}
	if last := k.written[r.Service]; last.order == r.Order && last.phase == r.Phase {
		next.phaseAt = last.phaseAt
	} else {
		k.publish()
		if r.Phase == rollout.Completed {
			k.clock.AfterFunc(completedDelay, k.wakeUp)
		}
	}
	k.written[r.Service] = next
	return nil
}

// ordered reports whether the store holds an order for a service, also one that cannot be
// decoded: the order before it is in force then, and its record tells of it.
func (k *rolloutKeeper) ordered(service tables.ServiceID) bool {
	return k.state.Listed(watch.Configs, platform.RolloutKey(service))
}

// removeOld removes the records of services whose order is gone.
func (k *rolloutKeeper) removeOld(ctx context.Context) error {
	if !k.fresh() {
		return nil
	}
	for name := range k.state.Shared() {
		service, isRollout := strings.CutPrefix(name, rolloutPrefix)
		if !isRollout || k.ordered(tables.ServiceID(service)) {
			continue
		}
		if err := k.records.PutShared(ctx, name, nil); err != nil {
			return err
		}
	}
	return nil
}

// incarnation returns the incarnation of the store.
func (k *rolloutKeeper) incarnation() int64 { return k.state.Mark(watch.Configs).Incarnation }

// updateMetrics updates the metrics if they have changed.
func (k *rolloutKeeper) updateMetrics() {
	var gauges []observe.Rollout
	for _, s := range k.coordinator.RolloutStatus() {
		gauges = append(gauges, observe.Rollout{
			Service: string(s.Service), Phase: string(s.Phase), Requests: s.Requests, Exposed: s.Exposed, Bad: s.Bad,
		})
	}
	if slices.Equal(gauges, k.gauges) {
		return
	}
	k.gauges = gauges
	k.metrics.SetRollouts(gauges)
}

var _ rolloutScheduler = (*pool.Coordinator)(nil)

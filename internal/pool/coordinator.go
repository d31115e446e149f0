package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/retry"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// passInterval is the time between scheduling passes while slot requests
	// wait and nothing else triggers a pass.
	passInterval = 10 * time.Millisecond
	// minPassInterval is the minimum time from a scheduling pass to the next one
	// that an event other than the timer triggers, while slot requests wait. It
	// bounds the CPU time spent on passes under overload.
	minPassInterval = 4 * time.Millisecond
)

// View provides the configuration and the targets of the deployment.
type View interface {
	Config() *fleet.Config
	Targets() []fleet.Target
}

// Policy holds the limits that the coordinator enforces across all hosts.
type Policy struct {
	Quota quota.Bounds
	Retry retry.Budget
	// FairShares divides a pool with too little capacity fairly between the customers of a
	// tier.
	FairShares bool
}

// Coordinator allocates the slots of targets: those of all targets for all
// hosts, or, as the local fallback, a part of them for its own host. It is safe
// for concurrent use.
type Coordinator struct {
	view   View
	clock  clockwork.Clock
	logger *zap.Logger
	// share returns the fraction of quotas and retry budgets that this
	// coordinator may grant.
	share func() float64
	// slotDivisor returns the number of hosts among which each target's slots
	// are divided.
	slotDivisor func() int
	// Origins may be nil.
	Origins *Origins
	// fairShares is Policy.FairShares, for readers without the lock.
	fairShares atomic.Bool
	// OnRefusal is called for each refused slot request. It may be nil.
	OnRefusal func(Refusal)
	// HostCount returns the number of hosts of the deployment, for quotas. If it is nil, the
	// number that hosts report is used.
	HostCount func() fleet.HostCount
	// MemoryDivisor returns the number of hosts among which the memory of each target is
	// divided. If it is nil, that of the slots is used.
	MemoryDivisor func() int
	// LimitMemory is true if the requests at a target are limited by its memory. It must be
	// set before the first call of ReloadTargets.
	LimitMemory bool
	// grantor is a random number that identifies this coordinator in its grants.
	grantor uint64
	// OnRolloutChange is called when RolloutRecords has a change of a phase to store. It
	// must not block. It may be nil.
	OnRolloutChange func()

	// reloading is held by ReloadTargets, so that no older list replaces a newer one.
	reloading sync.Mutex
	mu        sync.Mutex
	scheduler *allocation.Scheduler
	buckets   *quota.Buckets
	retries   *retry.Counter
	refusals  *retry.Refusals
	waiting   map[allocation.ID]*waiter
	charges   map[allocation.ID]charge
	// lastContact is when the last slot request or reconcile message arrived.
	// takeoverAt is when this host last took over as the coordinator, as
	// determined by recordContact. usageReported holds the hosts that have
	// reported their token usage since takeoverAt.
	lastContact, takeoverAt time.Time
	usageReported           map[tables.HostID]bool
	// slotTimeReported holds the hosts that have reported the slot time of their customers
	// since takeoverAt.
	slotTimeReported map[tables.HostID]bool
	loads            loadList
	// local is true for a local fallback, which always knows the use of its only host.
	local bool
	// lastPrune is when pruneCharges last removed charges.
	lastPrune time.Time
	// lastPass is the time of the last scheduling pass. While armed is true, a
	// timer runs the next pass at nextPass.
	lastPass, nextPass time.Time
	armed              bool
	rollouts           rollouts
}

// waiter is a slot request that has not been answered.
type waiter struct {
	request slotRequestMessage
	done    chan allocation.Decision
	// sole is true if the request takes up a stream at the only version of its service.
	sole bool
}

// charge is a slot request's charge to its customer's quota.
type charge struct {
	quota.Charge
	stream origin.StreamID
	// version is that of the granted target.
	version tables.SoftwareVersion
	service tables.ServiceID
	// retriedAt is when the request was counted as a retry; zero if it was not.
	retriedAt time.Time
}

// NewCoordinator returns a coordinator. share returns the fraction of quotas
// and retry budgets that it may grant, from 0 to 1. slotDivisor returns the
// number of hosts among which each target's slots are divided.
func NewCoordinator(view View, policy Policy, random func() float64, share func() float64, slotDivisor func() int, clock clockwork.Clock, logger *zap.Logger) *Coordinator {
	scheduler := allocation.NewScheduler(random)
	scheduler.OnEjection = func(e allocation.Ejection) { logEjection(logger, e) }
	scheduler.OnShortage = func(s allocation.Shortage) { logShortage(logger, s) }
	scheduler.SetFairShares(policy.FairShares)
	scheduler.OnExcusedLoss = func(e allocation.ExcusedLoss) { logExcusedLoss(logger, e) }
	c := &Coordinator{
		view: view, clock: clock, logger: logger, share: share, slotDivisor: slotDivisor,
		grantor:       rand.Uint64(),
		scheduler:     scheduler,
		buckets:       quota.NewBuckets(policy.Quota),
		retries:       retry.NewCounter(policy.Retry),
		refusals:      retry.NewRefusals(),
		waiting:       make(map[allocation.ID]*waiter),
		charges:       make(map[allocation.ID]charge),
		usageReported: make(map[tables.HostID]bool),

		slotTimeReported: make(map[tables.HostID]bool),
	}
	c.fairShares.Store(policy.FairShares)
	return c
}

func logEjection(logger *zap.Logger, e allocation.Ejection) {
	event.TargetEjected.Log(logger, zap.String("target", string(e.Target)), zap.String("host", string(e.Host)),
		zap.Stringer("outcome", e.Outcome))
}

// SetPolicy replaces the limits.
func (c *Coordinator) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buckets.SetBounds(p.Quota)
	c.retries.SetBudget(p.Retry)
	c.scheduler.SetFairShares(p.FairShares)
	c.fairShares.Store(p.FairShares)
}

// ReloadTargets reloads the list of targets. estimates come from another coordinator
// and apply only where this one has none.
func (c *Coordinator) ReloadTargets(estimates allocation.Estimates) {
	c.reloading.Lock()
	defer c.reloading.Unlock()
	targets := c.view.Targets()
	config := c.view.Config()
	divisor := max(c.slotDivisor(), 1)
	memoryDivisor := divisor
	if c.MemoryDivisor != nil {
		memoryDivisor = max(c.MemoryDivisor(), 1)
	}
	for i := range targets {
		if config != nil {
			if slots := config.Services[targets[i].Service].Slots; slots > 0 {
				targets[i].Slots = min(targets[i].Slots, slots)
			}
		}
		targets[i].Slots = (targets[i].Slots + divisor - 1) / divisor
	}
	c.mu.Lock()
	c.scheduler.SetMemory(c.memoryOf(config, memoryDivisor))
	c.scheduler.SetTargets(targets)
	c.scheduler.ImportEstimates(estimates)
	c.setRolloutTargets(targets)
	c.mu.Unlock()
	c.schedule()
}

// Acquire blocks until a slot is granted or refused. Errors have the kind
// CustomerLimit, Overloaded, NoTarget, OriginUnknown, RetryBudget or CancelledBeforeRun.
func (c *Coordinator) Acquire(ctx context.Context, m slotRequestMessage) (grantMessage, error) {
	asked := c.clock.Now()
	c.Origins.readVersions(ctx, m, asked)
	w, err := c.enqueue(m, asked)
	for err != nil && c.mayRecover(err, asked) && m.MaxWaitMS > 0 {
		if !c.waitForReports(ctx, &m) {
			return grantMessage{}, c.cancel(m)
		}
		w, err = c.enqueue(m, asked)
	}
	if err != nil {
		return grantMessage{}, err
	}
	c.schedule()
	select {
	case d := <-w.done:
		return c.respond(m, d)
	case <-ctx.Done():
		return grantMessage{}, c.cancel(m)
	}
}

// enqueue adds the request of a message that arrived at a time to the queue.
func (c *Coordinator) enqueue(m slotRequestMessage, arrived time.Time) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.recordContact(now)
	c.recordUse(now, m.Host, m.coordinatorUse)
	share := c.quotaShare(now)
	bound := c.Origins.constraint(m, arrived)
	if bound.Kind == origin.Unknown {
		return nil, errkind.New(errkind.OriginUnknown, fmt.Sprintf("request %q resumes a stream of request %q; %s", m.Request, m.FirstAttempt, c.Origins.describe(m, arrived)))
	}
	limit := c.quotaOf(m.Customer)
	quotaCharge, wait := c.buckets.Take(now, m.Customer, limit, share, m.QuotaTokens)
	if wait > 0 {
		detail := fmt.Sprintf("customer %q: %d tokens are above its quota of %.0f a second and a burst of %.0f, of which this home gives %.2f",
			m.Customer, m.QuotaTokens, limit.TokensPerSecond, limit.Burst, share)
		return nil, errkind.NewRetry(errkind.CustomerLimit, detail, wait)
	}
	if m.Retry && !c.retries.AllowRetry(now, m.Service, c.share()) {
		c.buckets.Refund(quotaCharge)
		return nil, errkind.New(errkind.RetryBudget, fmt.Sprintf("the budget of repeats of service %q is used up", m.Service))
	}
	if !m.Retry {
		c.retries.RecordRequest(now, m.Service)
	}
	entry := charge{Charge: quotaCharge, service: m.Service, stream: m.stream()}
	if m.Retry {
		entry.retriedAt = now
	}
	c.charges[m.ID] = entry
	w := &waiter{request: m, done: make(chan allocation.Decision, 1), sole: bound.Sole}
	c.waiting[m.ID] = w
	request := m.toSlotRequest(now)
	request.Version, request.VersionBound = bound.Binding()
	request.Retried, request.RetriedAsAdvised = c.refusals.CheckRetry(now, m.Fingerprint)
	request.OverRate = c.buckets.OverRate(m.Customer)
	c.scheduler.Enqueue(request)
	return w, nil
}

func (c *Coordinator) quotaOf(id tables.CustomerID) fleet.Quota {
	config := c.view.Config()
	if config == nil {
		return fleet.Quota{}
	}
	return config.QuotaOf(id)
}

func (m slotRequestMessage) toSlotRequest(now time.Time) *allocation.SlotRequest {
	return &allocation.SlotRequest{
		ID: m.ID, Host: m.Host, Service: m.Service, Customer: m.Customer, Domain: m.Domain,
		Tier: m.Tier, Urgency: m.Urgency, PromptTokens: m.PromptTokens,
		ArrivedAt: now, FirstByteDue: now.Add(fromMS(float64(m.FirstByteBudgetMS))),
		EventGapSLO: fromMS(float64(m.EventGapSLOMS)), QueueDeadline: now.Add(fromMS(float64(m.MaxWaitMS))), Avoid: m.Avoid, Indirect: m.Indirect,
		Resumed: m.Resumed, Route: m.Route, Tokens: m.Tokens.counts(),
	}
}

// schedule runs a scheduling pass now. But if a timed pass is pending and the
// last pass was less than minPassInterval ago, schedule only makes sure that the
// timed pass runs within minPassInterval.
func (c *Coordinator) schedule() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed && c.clock.Now().Sub(c.lastPass) < minPassInterval {
		c.armTimer(minPassInterval)
		return
	}
	c.runPass()
}

// runPass answers the slot requests that can be decided now, and arms the timer
// if others still wait. The lock must be held.
func (c *Coordinator) runPass() {
	c.lastPass = c.clock.Now()
	for _, d := range c.scheduler.Schedule(c.lastPass) {
		if w := c.waiting[d.Request.ID]; w != nil {
			delete(c.waiting, d.Request.ID)
			c.recordGrant(w, d)
			w.done <- d
		}
	}
	if c.scheduler.Queued() > 0 {
		c.armTimer(passInterval)
	}
}

// recordGrant records a decision if it is a grant. The lock must be held.
func (c *Coordinator) recordGrant(w *waiter, d allocation.Decision) {
	if d.Target == "" {
		return
	}
	c.markChargeSent(d)
	if w.sole {
		event.SoleVersionTaken.Log(c.logger, zap.String("request", w.request.Request), zap.String("service", string(w.request.Service)), zap.String("version", string(d.Version)))
	}
}

// markChargeSent moves the quota charge of a granted request to the time of the
// current pass and records the version of its target. The lock must be held.
func (c *Coordinator) markChargeSent(d allocation.Decision) {
	entry, ok := c.charges[d.Request.ID]
	if !ok {
		return
	}
	entry.Charge = c.buckets.MarkSent(c.lastPass, entry.Charge)
	entry.version = d.Version
	c.charges[d.Request.ID] = entry
}

// armTimer schedules the next pass after d, unless an earlier one is scheduled.
// The lock must be held.
func (c *Coordinator) armTimer(d time.Duration) {
	at := c.clock.Now().Add(d)
	if c.armed && !at.Before(c.nextPass) {
		return
	}
	c.armed = true
	c.nextPass = at
	c.clock.AfterFunc(d, c.onTimer)
}

func (c *Coordinator) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.armed || c.clock.Now().Before(c.nextPass) {
		return
	}
	c.armed = false
	c.runPass()
}

func (c *Coordinator) respond(m slotRequestMessage, d allocation.Decision) (grantMessage, error) {
	if d.Target != "" {
		g := grantMessage{Target: d.Target, Version: &d.Version, Through: d.Through, ExpectedMS: d.ExpectedFirstByte.Sub(c.clock.Now()).Milliseconds()}
		g.Grantor = c.grantor
		g.Loads = c.loadsToTell()
		return g, nil
	}
	c.mu.Lock()
	c.returnRetry(m.ID)
	c.refund(m.ID)
	c.refusals.Record(c.clock.Now(), m.Fingerprint, d.RetryAfter)
	waiting, inUse := c.scheduler.Queued(), c.scheduler.InUse()
	c.mu.Unlock()
	c.reportRefusal(m, d)
	event.SlotRefused.Log(c.logger, zap.String("request", m.Request), zap.String("reason", string(d.Reason)), zap.Bool("surplus", d.Surplus),
		zap.String("service", string(m.Service)), zap.String("customer", string(m.Customer)), zap.Int("tier", m.Tier), zap.Int("urgency", m.Urgency),
		zap.Int("waiting", waiting), zap.Int("in_use", inUse), zap.Bool("late", d.Request.Retried), zap.Bool("returned", d.Request.RetriedAsAdvised),
		zap.Int64("aim_ms", m.FirstByteBudgetMS), zap.Duration("waited", c.clock.Now().Sub(d.Request.ArrivedAt)), zap.Duration("retry_after", d.RetryAfter))
	detail := fmt.Sprintf("service %q, tier %d: %d requests wait, %d places are in use", m.Service, m.Tier, waiting, inUse)
	if d.Reason == allocation.NoTargets {
		return grantMessage{}, errkind.NewRetry(errkind.NoTarget, detail, d.RetryAfter)
	}
	return grantMessage{}, errkind.NewRetry(errkind.Overloaded, detail, d.RetryAfter)
}

// ReleaseHost frees the slots of a host that disconnected.
func (c *Coordinator) ReleaseHost(host tables.HostID) {
	c.mu.Lock()
	c.scheduler.RemoveHost(c.clock.Now(), host)
	c.mu.Unlock()
	event.PeerStateChanged.Log(c.logger, zap.String("host", string(host)), zap.String("state", "detached"))
	c.schedule()
}

// Estimates returns the target estimates.
func (c *Coordinator) Estimates() allocation.Estimates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Estimates()
}

// SetEstimates applies the estimates of another coordinator where this one has
// none.
func (c *Coordinator) SetEstimates(estimates allocation.Estimates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.ImportEstimates(estimates)
}

package pool

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
)

// Reconcile replaces the slots recorded for a host by those that it reports. Slots
// granted shortly before are kept, because the report may be older than the grant.
// The report also tells the recent use of quotas that other coordinators granted.
func (c *Coordinator) Reconcile(m reconcileMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	held := make([]allocation.HeldSlot, 0, len(m.Open))
	for _, g := range m.Open {
		request := &allocation.SlotRequest{ID: g.ID, Host: m.Host, Service: g.Service, Customer: g.Customer, Tier: g.Tier, ArrivedAt: now, Tokens: g.Tokens.counts()}
		held = append(held, allocation.HeldSlot{Request: request, Target: g.Target})
		if g.Version != nil {
			c.Origins.begin(g.Stream, *g.Version, g.Target)
		}
	}
	c.scheduler.Reconcile(now, m.Host, held)
	if m.State != nil {
		c.scheduler.RecordHost(m.State.report())
	}
	c.pruneCharges(now)
	c.recordContact(now)
	c.recordRolloutUsage(m)
	c.stateLimits(now, m.Limits)
	c.applySlotTime(now, m)
	c.applyUse(now, m)
}

// RecordHost records what a host says of itself.
func (c *Coordinator) RecordHost(m hostMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.RecordHost(m.report())
}

func (m hostMessage) report() reach.HostReport {
	return reach.HostReport{Host: m.Host, Domain: m.Domain, Cores: m.Cores, Paths: m.Paths}
}

// pruneInterval is the minimum time between removals by pruneCharges.
const pruneInterval = time.Second

// pruneCharges removes the charges of slot requests that neither wait nor hold
// a slot: their slots were freed without a release report. The tokens still
// count against the quota. The lock must be held.
func (c *Coordinator) pruneCharges(now time.Time) {
	if now.Sub(c.lastPrune) < pruneInterval {
		return
	}
	c.lastPrune = now
	for id := range c.charges {
		if c.waiting[id] == nil && c.scheduler.TargetOf(id) == "" {
			delete(c.charges, id)
		}
	}
}

// takeoverTimeout is the time without a message from any host after which
// another host is assumed to have been the coordinator. It exceeds
// reconcileInterval, the longest time between messages of a host that uses this
// coordinator.
const takeoverTimeout = 2500 * time.Millisecond

// recordContact records that a host uses this one as the coordinator. The lock
// must be held.
func (c *Coordinator) recordContact(now time.Time) {
	if now.Sub(c.lastContact) > takeoverTimeout {
		c.takeOver(now)
	}
	c.lastContact = now
}

// takeOver forgets what is known of the use of quotas, of slot time and of the limits of
// targets, which another host may have granted meanwhile, until the hosts report it. The lock
// must be held.
func (c *Coordinator) takeOver(now time.Time) {
	c.takeoverAt = now
	if !c.local {
		c.buckets.Forget(now)
	}
	c.scheduler.ResetLimits(now)
	c.scheduler.ForgetShares()
	clear(c.usageReported)
	clear(c.slotTimeReported)
	c.takeOverRollouts(now)
}

// Resume records that this process did not run for a while. Another host may have
// been the coordinator meanwhile.
func (c *Coordinator) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.takeOver(now)
	c.lastContact = now
}

const (
	// takeoverGrace is the time after a takeover during which a quota may look
	// exhausted, or the origin of a stream unknown, only because hosts have not yet
	// reported what they know.
	takeoverGrace = time.Second
	// reportRetryInterval is the time between attempts to admit a request during
	// takeoverGrace.
	reportRetryInterval = 20 * time.Millisecond
)

// mayRecover reports whether err is a refusal during takeoverGrace for what the hosts
// are still to report: the usage of quotas, or the versions that began streams. Quotas may
// also recover while hosts change to this coordinator. asked is when the request arrived.
func (c *Coordinator) mayRecover(err error, asked time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	takenOver := now.Sub(c.takeoverAt) < takeoverGrace
	switch errkind.Of(err) {
	case errkind.CustomerLimit:
		return takenOver || now.Sub(asked) < takeoverGrace && c.buckets.Settling(now, takeoverGrace)
	case errkind.OriginUnknown:
		return takenOver
	default:
		return false
	}
}

// waitForReports waits for reportRetryInterval and subtracts it from the time
// limits of m. It returns false if ctx ends first.
func (c *Coordinator) waitForReports(ctx context.Context, m *slotRequestMessage) bool {
	select {
	case <-c.clock.After(reportRetryInterval):
	case <-ctx.Done():
		return false
	}
	m.FirstByteBudgetMS -= reportRetryInterval.Milliseconds()
	m.MaxWaitMS -= reportRetryInterval.Milliseconds()
	return true
}

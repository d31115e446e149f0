package pool

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// loadsInterval is how often the loads of customers are computed.
	loadsInterval = 100 * time.Millisecond
	// maxToldLoads bounds the customers that a grant lists, some 10 bytes each. With more, hosts
	// are told nothing and take all customers for busy.
	maxToldLoads = 64
)

// customerLoads lists customers by their load; see quota.Load. Those in neither list are idle.
type customerLoads struct {
	Busy   []tables.CustomerID `json:"b,omitempty"`
	Active []tables.CustomerID `json:"a,omitempty"`
}

// loadList holds the loads of customers as computed last; nil if they are too many to tell.
type loadList struct {
	at    time.Time
	loads *customerLoads
}

// recordUse records that a host uses this coordinator. The lock must be held.
func (c *Coordinator) recordUse(now time.Time, host tables.HostID, use coordinatorUse) {
	if c.HostCount != nil {
		c.buckets.SetHostCount(c.HostCount())
	}
	c.buckets.Contact(now, quota.Contact{Host: host, Epoch: use.Epoch, Held: fromMS(float64(use.HeldMS))})
}

// quotaShare returns the fraction of quotas that this coordinator may grant. The lock must
// be held.
func (c *Coordinator) quotaShare(now time.Time) float64 {
	return min(c.share(), c.buckets.Share(now))
}

// Leave records that a host has changed to another coordinator.
func (c *Coordinator) Leave(m leaveMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buckets.Leave(c.clock.Now(), m.Host, m.Epoch)
}

// applyUse applies what a host reports of its use of quotas. The lock must be held.
func (c *Coordinator) applyUse(now time.Time, m reconcileMessage) {
	if c.HostCount == nil && m.HostCount > 0 {
		c.buckets.SetHostCount(fleet.KnownHostCount(m.HostCount))
	}
	c.recordUse(now, m.Host, m.coordinatorUse)
	config := c.view.Config()
	if config == nil {
		return
	}
	period := fromMS(float64(m.UsageWindowMS))
	if m.Use == nil {
		c.applyTotals(now, config, m, period)
		return
	}
	if tokens, complete := m.Use.elsewhere(c.grantor); complete {
		c.buckets.ReplaceHostUse(now, config.Quotas(), c.quotaShare(now), quota.HostUse{Host: m.Host, Tokens: tokens, Period: period})
	}
}

// applyTotals applies the report of a host of the build before useReport, once after a
// takeover. The lock must be held.
func (c *Coordinator) applyTotals(now time.Time, config *fleet.Config, m reconcileMessage, period time.Duration) {
	if c.usageReported[m.Host] {
		return
	}
	c.usageReported[m.Host] = true
	c.buckets.ApplyReport(now, config.Quotas(), c.quotaShare(now), quota.UsageReport{
		Host: m.Host, Tokens: m.UsedTokens, Period: period, HostShare: fleet.KnownHostCount(m.HostCount).Share(1),
	})
}

// loadsToTell returns the loads of customers for a grant; nil if they are unknown or too
// many.
func (c *Coordinator) loadsToTell() *customerLoads {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	config := c.view.Config()
	if config == nil || now.Sub(c.loads.at) < loadsInterval {
		return c.loads.loads
	}
	busy, active := c.buckets.Loads(now, config.Quotas(), c.quotaShare(now))
	c.loads = loadList{at: now}
	if len(busy)+len(active) <= maxToldLoads {
		slices.Sort(busy)
		slices.Sort(active)
		c.loads.loads = &customerLoads{busy, active}
	}
	return c.loads.loads
}

// StartLocal records that the host of this local fallback begins to grant to itself. m is
// what the host would tell a coordinator, and load returns the load of a customer over all
// hosts.
func (c *Coordinator) StartLocal(m reconcileMessage, load func(tables.CustomerID) quota.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.local = true
	c.applyUse(now, m)
	if config := c.view.Config(); config != nil {
		c.buckets.StartLocal(now, config.Quotas(), c.quotaShare(now), load)
	}
}

// UpdateLocal records again what the host of this local fallback knows of its use, which is
// all of it however long it was idle.
func (c *Coordinator) UpdateLocal(m reconcileMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyUse(c.clock.Now(), m)
}

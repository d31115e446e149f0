package orders

import (
	"strconv"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

// weightLeasePrefix followed by a number is the name of a weight-store lease. The
// numbers start at 0, and there is one lease per allowed concurrent load.
const weightLeasePrefix = "weights/"

// weightLeasesInUse returns the names of the weight-store leases that are assigned
// to engines of this controller. The caller must hold c.mu.
func (c *Controller) weightLeasesInUse() map[string]bool {
	out := make(map[string]bool)
	for _, d := range c.domains {
		for _, e := range d.engines {
			if e.weightLease != "" {
				out[e.weightLease] = true
			}
		}
	}
	return out
}

// chooseWeightLease returns the name of the weight-store lease for an engine's
// load. It chooses a free lease if the engine has none or if another host has
// acquired the engine's lease. The result is empty if no lease is free.
func (c *Controller) chooseWeightLease(j reconcileJob) string {
	doc := c.opts.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.engine.weightLease != "" && c.leases.available(j.engine.weightLease) {
		return j.engine.weightLease
	}
	j.engine.weightLease = ""
	if doc != nil {
		j.engine.weightLease = c.unusedWeightLease(doc)
	}
	return j.engine.weightLease
}

// unusedWeightLease returns the name of a weight-store lease that is available
// and not assigned to an engine of this controller, or an empty string if there
// is none. The caller must hold c.mu.
func (c *Controller) unusedWeightLease(doc *config.Document) string {
	used := c.weightLeasesInUse()
	for slot := range doc.Limits.WeightLoads() {
		name := weightLeasePrefix + strconv.Itoa(slot)
		if !used[name] && c.leases.available(name) {
			return name
		}
	}
	return ""
}

// clearWeightLease records that an engine no longer needs its weight-store lease.
// The next tick releases the lease.
func (c *Controller) clearWeightLease(j reconcileJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.engine.weightLease = ""
}

package orders

import (
	"strconv"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

// weightLeasePrefix is followed by the number of a weight-store slot.
const weightLeasePrefix = "weights/"

// weightsInUse returns the weight-store leases of loads under way; c.mu is held.
func (c *Controller) weightsInUse() map[string]bool {
	out := make(map[string]bool)
	for _, d := range c.domains {
		for _, e := range d.engines {
			if e.weight != "" {
				out[e.weight] = true
			}
		}
	}
	return out
}

// takeWeight returns the weight-store lease of an engine's load, and chooses a
// free one when it has none or another host took it. It is empty when all are
// in use.
func (c *Controller) takeWeight(j job) string {
	doc := c.opts.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.engine.weight != "" && c.leases.available(j.engine.weight) {
		return j.engine.weight
	}
	j.engine.weight = ""
	if doc != nil {
		j.engine.weight = c.unusedWeight(doc)
	}
	return j.engine.weight
}

// unusedWeight returns a weight-store lease that is free and not in use here;
// c.mu is held.
func (c *Controller) unusedWeight(doc *config.Document) string {
	used := c.weightsInUse()
	for slot := range doc.Limits.WeightLoads() {
		name := weightLeasePrefix + strconv.Itoa(slot)
		if !used[name] && c.leases.available(name) {
			return name
		}
	}
	return ""
}

// freeWeight gives the weight-store lease of an engine back once its load has
// ended; the next tick releases it.
func (c *Controller) freeWeight(j job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.engine.weight = ""
}

package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// targetState tracks the running requests and the slots of one target.
type targetState struct {
	id      tables.TargetID
	target  *tables.Target
	running []*tables.Request
	// groups lists the groups whose requests may run on the target.
	groups []*group
	// lastScan is the index.scanSeq of the last scan that visited the target.
	lastScan uint64
	// runningAlone counts the running requests that must run alone.
	runningAlone int
	// reservedFor is the queued request that the target drains for, or nil.
	reservedFor *entry
	// runningByTier counts the running requests by tier.
	runningByTier []int
	// withheld holds, for each tier, the number of slots withheld from that
	// tier and all lower ones after requests of that tier were cancelled on
	// this target.
	withheld []float64
	// refusedAt is, by tier, when a request that could have run on this target was
	// last refused.
	refusedAt []time.Time
}

func (ts *targetState) add(r *tables.Request) {
	ts.running = append(ts.running, r)
	for len(ts.runningByTier) <= r.Tier {
		ts.runningByTier = append(ts.runningByTier, 0)
	}
	ts.runningByTier[r.Tier]++
	if r.Alone {
		ts.runningAlone++
	}
	ts.publishRunning()
}

func (ts *targetState) remove(p Policy, r *tables.Request) {
	for i, o := range ts.running {
		if o == r {
			last := len(ts.running) - 1
			ts.running[i] = ts.running[last]
			ts.running[last] = nil
			ts.running = ts.running[:last]
			ts.runningByTier[r.Tier]--
			if r.Alone {
				ts.runningAlone--
			}
			ts.adjustWithheld(p, r)
			ts.publishRunning()
			ts.markFree()
			return
		}
	}
}

// markFree adds the target to the free lists of its groups after a slot was
// released.
func (ts *targetState) markFree() {
	for _, g := range ts.groups {
		if len(g.free) > 2*len(g.targets) {
			g.refreshedAt = time.Time{}
			continue
		}
		g.free = append(g.free, ts)
	}
}

func (ts *targetState) publishRunning() {
	if ts.target != nil {
		ts.target.Running = len(ts.running)
	}
}

// hasSlot reports whether a request of tier may start on the target, whose
// concurrency limit is n. Some slots are withheld from lower tiers, so that a
// burst of higher-tier requests causes fewer cancellations.
func (ts *targetState) hasSlot(p *pass, n, tier int) bool {
	withheld := min(tier, n/p.state.Policy.WithheldDivisor) + ts.withheldSlots(tier, n)
	return len(ts.running)+withheld < n && ts.admits(p.now, tier) && !inTakeover(p.now, ts.target, tier)
}

// hasWithheldSlot reports whether a request of tier that must start now may start
// on the target. Unlike hasSlot, it withholds at most one slot from lower tiers
// in addition to those withheld after cancellations, and allows a start during a
// takeover.
func (ts *targetState) hasWithheldSlot(p *pass, n, tier int) bool {
	withheld := min(tier, n/p.state.Policy.WithheldDivisor, 1) + ts.withheldSlots(tier, n)
	return len(ts.running)+withheld < n && ts.admits(p.now, tier)
}

// runsLowerTier reports whether a request of a lower tier runs on the target.
func (ts *targetState) runsLowerTier(tier int) bool {
	for i := tier + 1; i < len(ts.runningByTier); i++ {
		if ts.runningByTier[i] > 0 {
			return true
		}
	}
	return false
}

func (ts *targetState) admits(now time.Time, tier int) bool {
	return !ts.blocksTier(now, tier) && !ts.reserved(tier)
}

// reserved reports whether a request of tier must not start because the target
// runs a request that must run alone, or drains for such a request of the same
// or a higher tier.
func (ts *targetState) reserved(tier int) bool {
	if ts.reservedFor != nil && ts.reservedFor.heapIndex < 0 {
		ts.reservedFor = nil
	}
	return ts.runningAlone > 0 || ts.reservedFor != nil && tier >= ts.reservedFor.req.Tier && len(ts.running) > 0
}

// recordRefusal records that a request of tier that could have run on the target
// was refused.
func (ts *targetState) recordRefusal(now time.Time, tier int) {
	ts.refusedAt = setTierTime(ts.refusedAt, tier, now)
}

// setTierTime sets the entry of tier in times, extending the slice as needed.
func setTierTime(times []time.Time, tier int, now time.Time) []time.Time {
	for len(times) <= tier {
		times = append(times, time.Time{})
	}
	times[tier] = now
	return times
}

// blocksTier reports whether a request of a higher tier was refused within the
// last lowerTierBlock.
func (ts *targetState) blocksTier(now time.Time, tier int) bool {
	for i := 0; i < tier && i < len(ts.refusedAt); i++ {
		if now.Sub(ts.refusedAt[i]) < lowerTierBlock {
			return true
		}
	}
	return false
}

// withheldSlots returns the number of slots withheld from tier after
// cancellations, at most half of the limit n.
func (ts *targetState) withheldSlots(tier, n int) int {
	sum := 0.0
	for i := 0; i <= tier && i < len(ts.withheld); i++ {
		sum += ts.withheld[i]
	}
	return min(int(sum), n/2)
}

// adjustWithheld withholds more slots from the tier of r if r was cancelled,
// and fewer if r ended without being cancelled.
func (ts *targetState) adjustWithheld(p Policy, r *tables.Request) {
	for len(ts.withheld) <= r.Tier {
		ts.withheld = append(ts.withheld, 0)
	}
	change := -p.RestorePerCompletion
	if r.Cancelling {
		change = p.WithholdPerCancel
	}
	ts.withheld[r.Tier] = min(max(ts.withheld[r.Tier]+change, 0), maxWithheld)
}

package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// slot is a target with its running requests.
type slot struct {
	id      tables.TargetID
	t       *tables.Target
	running []*tables.Request
	// groups are those that may start requests here.
	groups []*group
	// seen is the stamp of the last pass over free slots.
	seen uint64
	// alone counts the running requests that bear no other, and isolated is a
	// queued one that the slot is emptied for.
	alone    int
	isolated *entry
	// byTier counts the running requests by tier.
	byTier []int
	// held is, by tier, how many places are held back from it and those below
	// since its requests were cancelled here.
	held []float64
	// refused is, by tier, when a request was last refused here.
	refused []time.Time
}

func (sl *slot) add(r *tables.Request) {
	sl.running = append(sl.running, r)
	for len(sl.byTier) <= r.Tier {
		sl.byTier = append(sl.byTier, 0)
	}
	sl.byTier[r.Tier]++
	if r.Alone {
		sl.alone++
	}
	sl.count()
}

func (sl *slot) drop(p Policy, r *tables.Request) {
	for i, o := range sl.running {
		if o == r {
			last := len(sl.running) - 1
			sl.running[i] = sl.running[last]
			sl.running[last] = nil
			sl.running = sl.running[:last]
			sl.byTier[r.Tier]--
			if r.Alone {
				sl.alone--
			}
			sl.learn(p, r)
			sl.count()
			sl.freed()
			return
		}
	}
}

// freed tells the groups that a place became free.
func (sl *slot) freed() {
	for _, g := range sl.groups {
		if len(g.free) > 2*len(g.slots) {
			g.refreshed = time.Time{}
			continue
		}
		g.free = append(g.free, sl)
	}
}

func (sl *slot) count() {
	if sl.t != nil {
		sl.t.Running = len(sl.running)
	}
}

// room reports whether a request of tier may start at the slot, whose limit is
// n. Places are held
// back from lower tiers, so that a burst of higher ones cancels less.
func (sl *slot) room(p *pass, n, tier int) bool {
	held := min(tier, n/p.state.Policy.HeldBackPart) + sl.heldFrom(tier, n)
	return len(sl.running)+held < n && sl.admits(p.now, tier) && !takingOver(p.now, sl.t, tier)
}

// lastRoom reports whether a request that can wait no longer may start at the
// slot, if need be at a place held back; the last one is left to the highest
// tier, and those held back since cancels stay held.
func (sl *slot) lastRoom(p *pass, n, tier int) bool {
	held := min(tier, n/p.state.Policy.HeldBackPart, 1) + sl.heldFrom(tier, n)
	return len(sl.running)+held < n && sl.admits(p.now, tier)
}

// lowerRunning reports whether a tier below tier runs at the slot.
func (sl *slot) lowerRunning(tier int) bool {
	for i := tier + 1; i < len(sl.byTier); i++ {
		if sl.byTier[i] > 0 {
			return true
		}
	}
	return false
}

func (sl *slot) admits(now time.Time, tier int) bool {
	return !sl.floored(now, tier) && !sl.reserved(tier)
}

// reserved reports whether the slot is kept for a request that runs alone.
func (sl *slot) reserved(tier int) bool {
	if sl.isolated != nil && sl.isolated.pos < 0 {
		sl.isolated = nil
	}
	return sl.alone > 0 || sl.isolated != nil && tier >= sl.isolated.r.Tier && len(sl.running) > 0
}

// refuse notes that a request of tier was refused here.
func (sl *slot) refuse(now time.Time, tier int) {
	sl.refused = stamp(sl.refused, tier, now)
}

// stamp sets the time of a tier in a list that grows as needed.
func stamp(times []time.Time, tier int, now time.Time) []time.Time {
	for len(times) <= tier {
		times = append(times, time.Time{})
	}
	times[tier] = now
	return times
}

// floored reports whether a tier above tier was refused here a moment ago.
func (sl *slot) floored(now time.Time, tier int) bool {
	for i := 0; i < tier && i < len(sl.refused); i++ {
		if now.Sub(sl.refused[i]) < floorHold {
			return true
		}
	}
	return false
}

// heldFrom counts the places held back from tier for earlier cancels, at most
// half of the window n.
func (sl *slot) heldFrom(tier, n int) int {
	sum := 0.0
	for i := 0; i <= tier && i < len(sl.held); i++ {
		sum += sl.held[i]
	}
	return min(int(sum), n/2)
}

// learn holds more places back from a tier after a cancel, and fewer after an
// end of its own.
func (sl *slot) learn(p Policy, r *tables.Request) {
	for len(sl.held) <= r.Tier {
		sl.held = append(sl.held, 0)
	}
	change := -p.ReleasePerEnd
	if r.Cancelling {
		change = p.HoldPerCancel
	}
	sl.held[r.Tier] = min(max(sl.held[r.Tier]+change, 0), maxHeld)
}

package schedule

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

type groupKey struct {
	service tables.ServiceID
	targets uint64
	count   int
}

// group holds the queued requests that may run at the same targets.
type group struct {
	key   groupKey
	slots []*slot
	tiers []tierQueue
	// overlaps lists the groups that share a target, with itself.
	overlaps []*group
	// free holds every slot with room and may hold others; usable are those
	// with room for the tier at hand.
	free   []*slot
	usable []*slot
	// listed and listedTier say what usable was made for.
	listed     *pass
	listedTier int
	// partial is set when free holds more than usable was made from.
	partial bool
	// refreshed is when free, capacity and the speeds were read.
	refreshed time.Time
	// capacity is the sum of the windows.
	capacity int
	// prefill and gap are the mean times per prompt token and answer token of
	// the targets with full windows, in nanoseconds.
	prefill float64
	gap     float64
}

func (g *group) grow(tier int) {
	for len(g.tiers) <= tier {
		g.tiers = append(g.tiers, tierQueue{})
	}
}

func (g *group) push(e *entry) { g.tiers[e.r.Tier].push(e) }

// queued counts the queued requests of tier and above.
func (g *group) queued(tier int) int {
	n := 0
	for i := 0; i <= tier && i < len(g.tiers); i++ {
		n += g.tiers[i].count
	}
	return n
}

// refreshPeriod is how long changes of windows and speeds may go unseen; whether
// a target is open is read at each start.
const refreshPeriod = 10 * time.Millisecond

// refresh lists the free slots, sums the windows and averages the speeds.
func (g *group) refresh(now time.Time) {
	if now.Sub(g.refreshed) < refreshPeriod && !now.Before(g.refreshed) {
		return
	}
	g.refreshed = now
	g.free, g.capacity, g.prefill, g.gap = g.free[:0], 0, 0, 0
	known := 0.0
	for _, sl := range g.slots {
		if sl.t == nil || !sl.t.Services[g.key.service] {
			continue
		}
		known++
		g.prefill += float64(sl.t.Speed.Prefill(prefillSample)) / prefillSample * slowdown(sl.t)
		g.gap += float64(sl.t.Speed.Gap(window(sl.t))) * slowdown(sl.t)
		n := limit(sl.t, now)
		g.capacity += n
		if len(sl.running) < n {
			g.free = append(g.free, sl)
		}
	}
	g.prefill /= max(known, 1)
	g.gap /= max(known, 1)
}

// prefillSample is the prompt length in tokens that speeds are averaged over.
const prefillSample = 1000

// maxCandidates bounds the slots that are compared for one start.
const maxCandidates = 64

// hasFree reports whether a slot has room for tier, which must not fall within
// one Tick. What has no room for one tier has none for those below it.
func (g *group) hasFree(p *pass, tier int) bool {
	if g.listed == p && len(g.usable) > 0 && g.listedTier == tier {
		return true
	}
	if g.listed == p && len(g.usable) == 0 && !g.partial {
		return false
	}
	g.list(p, func(sl *slot, n int) bool { return sl.room(p, n, tier) })
	g.listed, g.listedTier = p, tier
	return len(g.usable) > 0
}

// list sets usable to free slots that ok permits under their limit, from a
// place that changes with every call.
func (g *group) list(p *pass, ok func(*slot, int) bool) {
	p.index.stamp++
	g.usable, g.partial = g.usable[:0], false
	full := 0
	for i := range g.free {
		sl := g.free[(i+int(p.index.stamp))%len(g.free)]
		if sl.seen == p.index.stamp {
			full++
			continue
		}
		sl.seen = p.index.stamp
		n := limit(sl.t, p.now)
		if len(sl.running) >= n {
			full++
			continue
		}
		if !ok(sl, n) {
			continue
		}
		g.usable = append(g.usable, sl)
		if len(g.usable) == maxCandidates {
			g.partial = true
			return
		}
	}
	if 2*full > len(g.free) {
		g.compact(p)
	}
}

// compact drops full and repeated slots from free.
func (g *group) compact(p *pass) {
	p.index.stamp++
	g.free = slices.DeleteFunc(g.free, func(sl *slot) bool {
		repeated := sl.seen == p.index.stamp
		sl.seen = p.index.stamp
		return repeated || len(sl.running) >= limit(sl.t, p.now)
	})
}

// took drops sl from the usable slots when it has no more room.
func (g *group) took(p *pass, sl *slot) {
	if g.listed != p || sl.room(p, limit(sl.t, p.now), g.listedTier) {
		return
	}
	if i := slices.Index(g.usable, sl); i >= 0 {
		g.usable = slices.Delete(g.usable, i, i+1)
	}
}

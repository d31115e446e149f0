package schedule

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

type groupKey struct {
	service     tables.ServiceID
	targetsHash uint64
	targetCount int
}

// group holds the queued requests of one service that may run on the same
// targets.
type group struct {
	key     groupKey
	targets []*targetState
	tiers   []tierQueue
	// overlaps lists the groups that share a target with this one, including
	// itself.
	overlaps []*group
	// free lists the targets that had a free slot at the last refresh or released
	// one since. It may contain duplicates and targets that are full by now.
	// eligible is the result of the last collectEligible, without the targets that
	// dropIfFull removed.
	free     []*targetState
	eligible []*targetState
	// eligiblePass and eligibleTier are the pass and the tier for which hasEligible
	// collected eligible. eligiblePass is nil if startOnWithheld collected it.
	eligiblePass *pass
	eligibleTier int
	// truncated is set if the last collectEligible stopped at maxCandidates.
	truncated bool
	// refreshedAt is when free, capacity and the mean times were last computed. It
	// is set to zero to force a refresh.
	refreshedAt time.Time
	// capacity is the sum of the concurrency limits of the targets.
	capacity int
	// prefillPerToken and decodePerToken are the mean times per prompt token
	// and per answer token in nanoseconds, averaged over the targets that serve
	// the service. For decodePerToken, each target is assumed to run as many
	// requests as its window allows.
	prefillPerToken float64
	decodePerToken  float64
}

func (g *group) ensureTier(tier int) {
	for len(g.tiers) <= tier {
		g.tiers = append(g.tiers, tierQueue{})
	}
}

func (g *group) push(e *entry) { g.tiers[e.req.Tier].push(e) }

// queued counts the queued requests of tier and higher tiers.
func (g *group) queued(tier int) int {
	n := 0
	for i := 0; i <= tier && i < len(g.tiers); i++ {
		n += g.tiers[i].count
	}
	return n
}

// refreshInterval is the maximum delay until changes of windows and speeds, and
// targets that become available, take effect. A target that becomes unavailable
// gets no new request from the next scan on.
const refreshInterval = 10 * time.Millisecond

// refresh recomputes the free targets, the capacity and the mean times, at most
// once per refreshInterval.
func (g *group) refresh(now time.Time) {
	if now.Sub(g.refreshedAt) < refreshInterval && !now.Before(g.refreshedAt) {
		return
	}
	g.refreshedAt = now
	g.free, g.capacity, g.prefillPerToken, g.decodePerToken = g.free[:0], 0, 0, 0
	servingTargets := 0.0
	for _, ts := range g.targets {
		if ts.target == nil || !ts.target.Services[g.key.service] {
			continue
		}
		servingTargets++
		g.prefillPerToken += float64(ts.target.Speed.Prefill(prefillSampleTokens)) / prefillSampleTokens * slowdown(ts.target)
		g.decodePerToken += float64(ts.target.Speed.TokenGap(window(ts.target))) * slowdown(ts.target)
		n := concurrencyLimit(ts.target, now)
		g.capacity += n
		if len(ts.running) < n {
			g.free = append(g.free, ts)
		}
	}
	g.prefillPerToken /= max(servingTargets, 1)
	g.decodePerToken /= max(servingTargets, 1)
}

// prefillSampleTokens is the prompt length used for the mean prefill time.
const prefillSampleTokens = 1000

// maxCandidates is the maximum number of targets that are compared for one
// start.
const maxCandidates = 64

// hasEligible reports whether a target has a slot for tier. Within one Tick,
// tiers must be tried from the highest to the lowest: a target without a slot
// for one tier has none for the tiers below it.
func (g *group) hasEligible(p *pass, tier int) bool {
	if g.eligiblePass == p && len(g.eligible) > 0 && g.eligibleTier == tier {
		return true
	}
	if g.eligiblePass == p && len(g.eligible) == 0 && !g.truncated {
		return false
	}
	g.collectEligible(p, func(ts *targetState, n int) bool { return ts.hasSlot(p, n, tier) })
	g.eligiblePass, g.eligibleTier = p, tier
	return len(g.eligible) > 0
}

// collectEligible sets eligible to the first maxCandidates free targets for which
// accepts returns true; accepts receives a target and its concurrency limit. The
// scan starts at a different target in every call, to spread the load.
func (g *group) collectEligible(p *pass, accepts func(*targetState, int) bool) {
	p.index.scanSeq++
	g.eligible, g.truncated = g.eligible[:0], false
	full := 0
	for i := range g.free {
		ts := g.free[(i+int(p.index.scanSeq))%len(g.free)]
		if ts.lastScan == p.index.scanSeq {
			full++
			continue
		}
		ts.lastScan = p.index.scanSeq
		n := concurrencyLimit(ts.target, p.now)
		if len(ts.running) >= n {
			full++
			continue
		}
		if !accepts(ts, n) {
			continue
		}
		g.eligible = append(g.eligible, ts)
		if len(g.eligible) == maxCandidates {
			g.truncated = true
			return
		}
	}
	if 2*full > len(g.free) {
		g.compact(p)
	}
}

// compact removes duplicates from free, and targets without a free slot.
func (g *group) compact(p *pass) {
	p.index.scanSeq++
	g.free = slices.DeleteFunc(g.free, func(ts *targetState) bool {
		duplicate := ts.lastScan == p.index.scanSeq
		ts.lastScan = p.index.scanSeq
		return duplicate || len(ts.running) >= concurrencyLimit(ts.target, p.now)
	})
}

// dropIfFull removes ts from eligible if it has no slot left for eligibleTier.
func (g *group) dropIfFull(p *pass, ts *targetState) {
	if g.eligiblePass != p || ts.hasSlot(p, concurrencyLimit(ts.target, p.now), g.eligibleTier) {
		return
	}
	if i := slices.Index(g.eligible, ts); i >= 0 {
		g.eligible = slices.Delete(g.eligible, i, i+1)
	}
}

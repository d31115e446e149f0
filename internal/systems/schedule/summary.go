package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Summary describes each owned target for the gates.
func Summary(now time.Time, s *State) []tables.PoolSummary {
	s.index.sync(now, s)
	var out []tables.PoolSummary
	s.Targets.All(func(t *tables.Target) {
		if t.Owned {
			out = append(out, s.index.summary(now, s, t))
		}
	})
	return out
}

func (x *index) summary(now time.Time, s *State, t *tables.Target) tables.PoolSummary {
	sl := x.slot(s, t.ID)
	sum := tables.PoolSummary{
		Target:        t.ID,
		Free:          limit(t, now) - len(sl.running),
		RunningByTier: append([]int(nil), sl.byTier...),
		Straggler:     t.Straggler,
		Slowdown:      slowdown(t),
		Held:          s.Prefixes.Shared(t.ID),
	}
	for _, g := range sl.groups {
		sum.QueuedByTier = addQueued(sum.QueuedByTier, g)
		wait := g.wait(len(g.tiers) - 1)
		sum.WaitMillis = max(sum.WaitMillis, int(wait.Milliseconds()))
	}
	return sum
}

func addQueued(counts []int, g *group) []int {
	for tier := range g.tiers {
		if len(counts) <= tier {
			counts = append(counts, 0)
		}
		counts[tier] += g.tiers[tier].count
	}
	return counts
}

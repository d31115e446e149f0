package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Summary returns a summary of each owned target, for the gates.
func Summary(now time.Time, s *State) []tables.TargetSummary {
	s.index.sync(now, s)
	var summaries []tables.TargetSummary
	s.Targets.Each(func(t *tables.Target) {
		if t.Owned {
			summaries = append(summaries, s.index.summary(now, s, t))
		}
	})
	return summaries
}

func (idx *index) summary(now time.Time, s *State, t *tables.Target) tables.TargetSummary {
	ts := idx.target(s, t.ID)
	sum := tables.TargetSummary{
		Target:         t.ID,
		Free:           concurrencyLimit(t, now) - len(ts.running),
		RunningByTier:  append([]int(nil), ts.runningByTier...),
		Straggler:      t.Straggler,
		Slowdown:       slowdown(t),
		CachedPrefixes: s.Prefixes.SharedHashes(t.ID),
	}
	for _, g := range ts.groups {
		sum.QueuedByTier = addQueuedByTier(sum.QueuedByTier, g)
		wait := g.expectedWait(len(g.tiers) - 1)
		sum.WaitMillis = max(sum.WaitMillis, int(wait.Milliseconds()))
	}
	return sum
}

func addQueuedByTier(counts []int, g *group) []int {
	for tier := range g.tiers {
		if len(counts) <= tier {
			counts = append(counts, 0)
		}
		counts[tier] += g.tiers[tier].count
	}
	return counts
}

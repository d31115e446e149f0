package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// AllowRefusal reports whether a gate may refuse a request of tier for lack of
// capacity: no request of a lower tier runs or is queued on those of the targets
// that this host owns. If so, it also blocks lower tiers on these targets for
// lowerTierBlock, as a refusal by this host does, because the gate queries the
// other owners at the same time.
func (s *State) AllowRefusal(now time.Time, tier int, ids []tables.TargetID) bool {
	s.index.sync(now, s)
	owned := s.ownedTargets(ids)
	for _, ts := range owned {
		if ts.runsLowerTier(tier) || ts.queuesLowerTier(tier) {
			return false
		}
	}
	for _, ts := range owned {
		ts.recordRefusal(now, tier)
		s.index.lastRefused = now
	}
	return true
}

func (s *State) ownedTargets(ids []tables.TargetID) []*targetState {
	var owned []*targetState
	for _, id := range ids {
		if t := s.Targets.Get(id); t != nil && t.Owned {
			owned = append(owned, s.index.target(s, id))
		}
	}
	return owned
}

// queuesLowerTier reports whether a request of a lower tier is queued for the
// target.
func (ts *targetState) queuesLowerTier(tier int) bool {
	for _, g := range ts.groups {
		if g.queued(len(g.tiers)-1) > g.queued(tier) {
			return true
		}
	}
	return false
}

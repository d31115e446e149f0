package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// GiveUp reports whether a request of tier may be refused for want of room as
// far as these targets are concerned: no tier below it runs or queues at those
// that are owned here. Then it keeps lower tiers off them for a moment, as a
// refusal of its own does, since other owners are asked at the same time.
func (s *State) GiveUp(now time.Time, tier int, ids []tables.TargetID) bool {
	s.index.sync(now, s)
	owned := s.ownedSlots(ids)
	for _, sl := range owned {
		if sl.lowerRunning(tier) || sl.lowerQueued(tier) {
			return false
		}
	}
	for _, sl := range owned {
		sl.refuse(now, tier)
		s.index.lastRefused = now
	}
	return true
}

func (s *State) ownedSlots(ids []tables.TargetID) []*slot {
	var owned []*slot
	for _, id := range ids {
		if t := s.Targets.Get(id); t != nil && t.Owned {
			owned = append(owned, s.index.slot(s, id))
		}
	}
	return owned
}

// lowerQueued reports whether a request of a tier below tier waits for the
// slot.
func (sl *slot) lowerQueued(tier int) bool {
	for _, g := range sl.groups {
		if g.queued(len(g.tiers)-1) > g.queued(tier) {
			return true
		}
	}
	return false
}

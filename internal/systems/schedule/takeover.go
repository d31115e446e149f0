package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// takeoverStep is the time for which a new owner keeps a target from each tier
// longer than from the tier above it. It covers the time in which hosts learn
// of a lost owner one after another, and one sweep of a gate.
const takeoverStep = time.Second

// takingOver reports whether t changed its owner so lately that a request of a
// tier above tier may not have found the new one.
func takingOver(now time.Time, t *tables.Target, tier int) bool {
	return !t.Gained.IsZero() && now.Before(t.Gained.Add(time.Duration(tier)*takeoverStep))
}

// Accepts reports whether the owner of the target may queue a request of tier
// for it. After a takeover lower tiers wait at their gates, so that none of
// them runs or queues while a higher one has not found the owner; those that
// can take the place of a lower tier are let in.
func (s *State) Accepts(now time.Time, id tables.TargetID, tier int) bool {
	t := s.Targets.Get(id)
	if t == nil || !t.Owned {
		return false
	}
	return !takingOver(now, t, tier) || s.index.slot(s, id).lowerRunning(tier)
}

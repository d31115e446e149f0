package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// A request of tier n waits n times takeoverTierDelay after a takeover; tier 0 is the
// highest. The delay covers the time until all hosts have detected the loss of the
// previous owner and a gate has queried all owners once.
const takeoverTierDelay = time.Second

// inTakeover reports whether t changed owners so recently that requests of
// tiers above tier may not have reached the new owner yet.
func inTakeover(now time.Time, t *tables.Target, tier int) bool {
	return !t.TakenOverAt.IsZero() && now.Before(t.TakenOverAt.Add(time.Duration(tier)*takeoverTierDelay))
}

// Accepts reports whether this host owns the target and may queue a request of
// tier for it. After a takeover, lower tiers wait at their gates, so that none
// of them runs or is queued before requests of higher tiers have reached the
// new owner. A request that can displace a running request of a lower tier is
// accepted at once.
func (s *State) Accepts(now time.Time, id tables.TargetID, tier int) bool {
	t := s.Targets.Get(id)
	if t == nil || !t.Owned {
		return false
	}
	return !inTakeover(now, t, tier) || s.index.target(s, id).runsLowerTier(tier)
}

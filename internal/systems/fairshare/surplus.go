package fairshare

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// order returns the tiers, the highest first.
func (s *Shares) order() []int { return slices.Sorted(maps.Keys(s.tiers)) }

// Rooms tells in one scheduling pass which requests are beyond the shares of their
// customers.
type Rooms struct {
	shares *Shares
	now    time.Time
	left   map[roomKey]float64
}

type roomKey struct {
	tier     int
	customer tables.CustomerID
}

// Rooms begins a scheduling pass.
func (s *Shares) Rooms(now time.Time) *Rooms {
	return &Rooms{shares: s, now: now, left: make(map[roomKey]float64)}
}

// Surplus returns how far a queued request is beyond the share of its customer, in steps
// of surplusStep; zero means within it. inForce is false if the tier needs no shares or the
// request has no account. Requests must be passed in the order in which they
// would be granted without shares: earlier ones take up the room.
func (r *Rooms) Surplus(q Request) (steps int, inForce bool) {
	t := r.shares.tiers[q.Tier]
	if t == nil || q.Customer == "" || t.level == unbounded {
		return 0, false
	}
	a := t.customers[q.Customer]
	if a == nil {
		return 0, false
	}
	key := roomKey{q.Tier, q.Customer}
	left, known := r.left[key]
	if !known {
		a.used.advance(r.now)
		left = t.level - a.used.total
	}
	r.left[key] = left - r.shares.durations.estimate(q.Kind)
	if left > 0 {
		return 0, true
	}
	return 1 + int(min(-left/max(surplusStep*t.level, negligible), maxSteps)), true
}

const (
	// surplusStep is the resolution of the order of requests beyond their customers' shares,
	// as a fraction of the share. Those that are beyond it by less come first, so that a
	// share that was computed too small is corrected.
	surplusStep = 0.1
	// maxSteps bounds the number of steps.
	maxSteps = 1000
)

// RetryAfter returns when the share of the customer of a refused surplus request has room
// for it again, after what was promised to requests refused before. It promises the room.
func (s *Shares) RetryAfter(now time.Time, q Request) time.Duration {
	t := s.tier(q.Tier)
	a := t.account(q.Customer)
	if a == nil || t.level == unbounded {
		return MinRetryAfter
	}
	estimate := s.durations.estimate(q.Kind)
	earliest := now.Add(max(a.used.untilBelow(now, t.level), MinRetryAfter))
	if a.promisedUntil.Before(earliest) {
		a.promisedUntil = earliest
	}
	latest := now.Add(MaxRetryAfter)
	if a.promisedUntil.After(latest) {
		a.promisedUntil = latest
	}
	wait := a.promisedUntil.Sub(now)
	perSecond := max(t.level, negligible) / Window.Seconds()
	a.promisedUntil = a.promisedUntil.Add(time.Duration(min(estimate/perSecond, MaxRetryAfter.Seconds()) * float64(time.Second)))
	return wait
}

package allocation

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/fairshare"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Shortage is the begin or the end of a time with too little capacity for a service.
type Shortage struct {
	Service tables.ServiceID
	// Begun is false at the end.
	Begun bool
	// Pool is the state that led to the change.
	fairshare.Pool
}

// SetFairShares sets whether customers of a tier get fair shares of a pool that has too
// little capacity. Without them, requests are served in order of urgency only.
func (sched *Scheduler) SetFairShares(enabled bool) {
	if enabled != sched.fairShares {
		sched.ForgetShares()
	}
	sched.fairShares = enabled
}

// ForgetShares discards what is known of the use of slot time by customers, since another
// scheduler may have granted slots.
func (sched *Scheduler) ForgetShares() {
	for _, s := range sched.services {
		s.shares.Forget()
		for _, r := range s.queue {
			r.counted, r.surplus, r.covered = false, 0, false
		}
	}
}

// ImportUse records slot time that another scheduler has granted to a customer within the
// last fairshare.Window.
func (sched *Scheduler) ImportUse(now time.Time, service tables.ServiceID, customer tables.CustomerID, tier int, used time.Duration) {
	if s := sched.services[service]; s != nil && sched.fairShares {
		s.shares.Import(now, fairshare.Request{Tier: tier, Customer: customer}, used)
	}
}

// shareRequest returns what fair shares need to know of the request.
func (r *SlotRequest) shareRequest() fairshare.Request {
	return fairshare.Request{Tier: r.Tier, Customer: r.Customer, Kind: fairshare.KindOf(r.Urgency, r.PromptTokens)}
}

// sortQueue orders the queue of a service. While there is too little capacity it determines
// which requests are beyond the shares of their customers.
func (sched *Scheduler) sortQueue(now time.Time, s *service) {
	compare := func(a, b *SlotRequest) int { return compareRequests(now, a, b) }
	for _, r := range s.queue {
		r.surplus, r.covered = 0, false
	}
	slices.SortStableFunc(s.queue, compare)
	if !sched.fairShares {
		return
	}
	s.countDemand(now)
	if s.shares.Short() && s.markSurplus(now) {
		slices.SortStableFunc(s.queue, compare)
	}
}

// countDemand counts the requests that were queued since the last pass.
func (s *service) countDemand(now time.Time) {
	for _, r := range s.queue {
		if !r.counted {
			r.counted = true
			s.shares.Ask(now, r.shareRequest())
		}
	}
}

// markSurplus marks the queued requests that are beyond the shares of their customers and
// those that are covered by them, and reports whether there are any. A stream that has begun
// is neither. Requests that return at the advised time take up the room first, since it was
// promised to them.
func (s *service) markSurplus(now time.Time) bool {
	rooms := s.shares.Rooms(now)
	marked := false
	for _, returned := range []bool{true, false} {
		for _, r := range s.queue {
			if r.RetriedAsAdvised == returned {
				marked = r.markSurplus(rooms) || marked
			}
		}
	}
	return marked
}

// markSurplus marks one request, and reports whether shares apply to it.
func (r *SlotRequest) markSurplus(rooms *fairshare.Rooms) bool {
	steps, inForce := rooms.Surplus(r.shareRequest())
	if !r.Resumed {
		r.surplus, r.covered = steps, inForce && steps == 0
	}
	return inForce
}

// waitingSeconds returns the expected slot time of the requests that compete for slots.
func (s *service) waitingSeconds(now time.Time, fairShares bool) float64 {
	if !fairShares {
		return 0
	}
	sum := 0.0
	for _, r := range s.queue {
		if s.hasTargetFor(now, r) {
			sum += s.shares.Estimate(r.shareRequest().Kind)
		}
	}
	return sum
}

// observePool tells the shares of a service the state of its pool after a pass.
func (sched *Scheduler) observePool(now time.Time, name tables.ServiceID, s *service) {
	if !sched.fairShares || s.waiting <= 0 && !s.shares.Short() && !s.shares.Due(now) {
		return
	}
	pool := fairshare.Pool{Waiting: s.waiting}
	s.waiting = 0
	for _, t := range s.targets {
		if t.usable(now) && s.competes(now, t) {
			pool.Capacity += t.limit.slots(now, t.capacity(s.retries.grantDuration()), s.retries.grantDuration())
			pool.InUse += t.inUse
		}
	}
	wasShort := s.shares.Short()
	s.shares.Observe(now, pool)
	if short := s.shares.Short(); short != wasShort && sched.OnShortage != nil {
		sched.OnShortage(Shortage{name, short, pool})
	}
}

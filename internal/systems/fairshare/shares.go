// Package fairshare divides the slot time of a service's pool between the customers of a
// tier while there is too little of it. The load that it addresses is one customer that
// sends several times its usual requests: its surplus is to be refused, and not the
// requests of others.
//
// The shares are max-min fair: a customer that asks for less than its share gets all, and
// what it leaves is divided between the others. They are computed from the demand in a
// sliding window, so an idle share is lent at once. The package uses no clock and does no
// I/O.
package fairshare

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// levelInterval is the time between computations of the levels. It bounds the CPU time
	// with hundreds of customers and a scheduling pass every few milliseconds.
	levelInterval = 50 * time.Millisecond
	// maxCustomers bounds the customers of a tier that are accounted for. Requests of
	// further ones have no surplus.
	maxCustomers = 4096
	// MinRetryAfter is the shortest wait that is advised to the caller of a surplus request.
	MinRetryAfter = 400 * time.Millisecond
	// MaxRetryAfter is the longest. With 4 s, callers came back before their customer's surge
	// was over and more of them were refused again; longer waits gained nothing.
	MaxRetryAfter = 8 * time.Second
)

// Shares accounts for the slot time of the customers of one service. Requests without a
// customer have no surplus; what they use is not divided. It is not safe for concurrent
// use.
type Shares struct {
	durations durations
	shortage  shortage
	tiers     map[int]*tier
	// levelsAt is when the levels were last computed.
	levelsAt time.Time
	// occupancy is the slot time that the pool yields in a second, as last observed.
	occupancy float64
	// epoch counts the calls of Forget, from 1.
	epoch int
}

// tier holds the customers of a tier.
type tier struct {
	customers map[tables.CustomerID]*account
	// anonymous is the use of requests without a customer.
	anonymous window
	// level is the slot time, in seconds, that each customer may use in a window.
	level float64
}

// account is what a customer asks for and uses within the window.
type account struct {
	demand, used window
	// promisedUntil is the time until which the share is promised to refused requests.
	promisedUntil time.Time
}

// Request is what the shares need to know of a request.
type Request struct {
	Tier     int
	Customer tables.CustomerID
	Kind     Kind
}

// Charge is the slot time that a grant was charged. The zero value is none.
type Charge struct {
	request  Request
	interval int64
	seconds  float64
	// epoch is that of the shares at the time of the charge. adopted is true if another
	// scheduler granted the slot.
	epoch   int
	adopted bool
}

// New returns shares without any demand.
func New() *Shares {
	return &Shares{durations: newDurations(), tiers: make(map[int]*tier), epoch: 1}
}

func (s *Shares) tier(number int) *tier {
	t := s.tiers[number]
	if t == nil {
		t = &tier{customers: make(map[tables.CustomerID]*account), level: unbounded}
		s.tiers[number] = t
	}
	return t
}

// account returns the account of a customer, or nil if it has none.
func (t *tier) account(id tables.CustomerID) *account {
	a := t.customers[id]
	if a == nil && id != "" && len(t.customers) < maxCustomers {
		a = &account{}
		t.customers[id] = a
	}
	return a
}

// Ask records that a request was queued.
func (s *Shares) Ask(now time.Time, r Request) {
	if a := s.tier(r.Tier).account(r.Customer); a != nil {
		a.demand.advance(now)
		a.demand.add(intervalAt(now), s.durations.estimate(r.Kind))
	}
}

// Grant charges the estimated slot time of a request that is granted.
func (s *Shares) Grant(now time.Time, r Request) Charge {
	return s.charge(now, r, s.durations.estimate(r.Kind))
}

// Adopt charges a request that another scheduler granted, of which half the mean slot time
// is assumed to remain.
func (s *Shares) Adopt(now time.Time, r Request) Charge {
	c := s.charge(now, r, s.durations.mean()/2)
	c.adopted = true
	return c
}

func (s *Shares) charge(now time.Time, r Request, seconds float64) Charge {
	w := s.usedBy(r)
	w.advance(now)
	c := Charge{request: r, interval: intervalAt(now), seconds: seconds, epoch: s.epoch}
	w.add(c.interval, seconds)
	return c
}

// usedBy returns the window that a request is charged to.
func (s *Shares) usedBy(r Request) *window {
	t := s.tier(r.Tier)
	if a := t.account(r.Customer); a != nil {
		return &a.used
	}
	return &t.anonymous
}

// Release corrects a charge by the time for which the slot was held. learn is false if
// that time says nothing about other requests of its kind.
func (s *Shares) Release(now time.Time, c Charge, held time.Duration, learn bool) {
	if c.epoch == s.epoch {
		w := s.usedBy(c.request)
		w.advance(now)
		w.add(c.interval, held.Seconds()-c.seconds)
	}
	if learn && c.epoch > 0 && !c.adopted {
		s.durations.observe(c.request.Kind, held.Seconds())
	}
}

// Estimate returns the expected slot time of a request, in seconds.
func (s *Shares) Estimate(k Kind) float64 { return s.durations.estimate(k) }

// Pool is the state of a pool after a scheduling pass.
type Pool struct {
	// Capacity is the number of requests that the pool can run at once. InUse is the number
	// of slots in use.
	Capacity, InUse int
	// Waiting is the expected slot time of the requests that compete for slots and got none,
	// in seconds.
	Waiting float64
}

// Due reports whether the levels are to be computed again. Without waiting requests and
// without a shortage, Observe needs to be called only then.
func (s *Shares) Due(now time.Time) bool { return now.Sub(s.levelsAt) >= levelInterval }

// Observe records the state of the pool after a scheduling pass.
func (s *Shares) Observe(now time.Time, p Pool) {
	capacity := float64(max(p.Capacity, 1))
	s.shortage.observe(now, time.Duration(p.Waiting/capacity*float64(time.Second)))
	s.observeOccupancy(p)
	if s.Due(now) {
		s.levelsAt = now
		s.computeLevels(now)
	}
}

// headroom is the fraction of the slot time that is divided into shares. The rest goes to
// whoever is least beyond its share. With 0.95, requests within their shares wait for one
// another, and in the simulation of a surge half of the least urgent ones were late; with
// 0.85 a fifth.
const headroom = 0.85

const (
	// occupancyWeight is the weight of a pass in the occupancy of a pool with waiting
	// requests. A pass takes place every few milliseconds.
	occupancyWeight = 0.02
	// minOccupancy bounds the occupancy from below, as a fraction of the capacity: it is low
	// after targets were added.
	minOccupancy = 0.5
)

// observeOccupancy updates the slot time that the pool yields. Slots stay empty although
// requests wait if, for example, a prompt would delay running streams for too long.
func (s *Shares) observeOccupancy(p Pool) {
	capacity := float64(p.Capacity)
	if !s.shortage.active || s.occupancy <= 0 {
		s.occupancy = capacity
		return
	}
	s.occupancy += occupancyWeight * (float64(p.InUse) - s.occupancy)
	s.occupancy = min(max(s.occupancy, minOccupancy*capacity), capacity)
}

// Short reports whether there is too little capacity.
func (s *Shares) Short() bool { return s.shortage.active }

// computeLevels computes the level of each tier. A tier gets what higher ones leave.
func (s *Shares) computeLevels(now time.Time) {
	capacity := headroom * s.occupancy * Window.Seconds()
	for _, number := range s.order() {
		t := s.tiers[number]
		used, demands := t.prune(now)
		t.level = unbounded
		if len(demands) > 1 {
			t.level = levelOf(demands, capacity-t.anonymous.total)
		}
		capacity -= used
		if len(t.customers) == 0 && t.anonymous.total <= 0 {
			delete(s.tiers, number)
		}
	}
}

// prune removes idle customers. It returns what all have used and the demands of the
// others.
func (t *tier) prune(now time.Time) (used float64, demands []float64) {
	t.anonymous.advance(now)
	used = t.anonymous.total
	for id, a := range t.customers {
		a.demand.advance(now)
		a.used.advance(now)
		used += a.used.total
		switch {
		case a.demand.total > negligible:
			demands = append(demands, a.demand.total)
		case a.used.total <= negligible && now.After(a.promisedUntil):
			delete(t.customers, id)
		}
	}
	return used, demands
}

// negligible is a slot time, in seconds, below which a sum counts as zero.
const negligible = 1e-6

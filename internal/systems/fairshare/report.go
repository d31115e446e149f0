package fairshare

import "time"

// Import records use that another scheduler has granted within the last window, as a
// host reports it. The customer has asked for at least as much.
func (s *Shares) Import(now time.Time, r Request, used time.Duration) {
	seconds := min(max(used, 0).Seconds(), maxReported.Seconds())
	a := s.tier(r.Tier).account(r.Customer)
	if a == nil {
		return
	}
	a.used.advance(now)
	a.demand.advance(now)
	for number := intervalAt(now) - intervals + 1; number <= intervalAt(now); number++ {
		a.used.add(number, seconds/float64(intervals))
		a.demand.add(number, seconds/float64(intervals))
	}
}

// maxReported bounds the use that one host may report for a customer.
const maxReported = 1000 * Window

// Forget discards demand and use, which another scheduler may have changed meanwhile.
// Estimates are kept.
func (s *Shares) Forget() {
	s.epoch++
	clear(s.tiers)
	s.levelsAt = time.Time{}
	s.occupancy = 0
}

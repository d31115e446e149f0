package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/fairshare"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxSlotTimeReports bounds the entries in a reconcile message, which goes out once a second.
// An entry has some 45 bytes; there may be 580 customers, but few use much through one host.
const maxSlotTimeReports = 16

// slotTimeReport is the slot time that a customer has used of a service.
type slotTimeReport struct {
	Service  tables.ServiceID  `json:"s"`
	Customer tables.CustomerID `json:"c"`
	Tier     int               `json:"t,omitempty"`
	MS       int64             `json:"ms"`
}

// slotTimes records how long this host held slots for customers that it has released within
// the last fairshare.Window. The zero value is empty.
type slotTimes struct {
	released []releasedSlot
}

type releasedSlot struct {
	grant openGrant
	at    time.Time
}

// add records the release of a slot. Those of requests without a customer are not counted.
func (s *slotTimes) add(now time.Time, g openGrant) {
	s.prune(now)
	if g.Customer != "" {
		s.released = append(s.released, releasedSlot{g, now})
	}
}

// prune removes the slots that were released before the window, in order of release.
func (s *slotTimes) prune(now time.Time) {
	expired := 0
	for expired < len(s.released) && now.Sub(s.released[expired].at) >= fairshare.Window {
		expired++
	}
	s.released = s.released[expired:]
}

// reports returns the slot time by customer, the most first: that of released slots and of
// those still open.
func (s *slotTimes) reports(now time.Time, open map[allocation.ID]openGrant) []slotTimeReport {
	s.prune(now)
	type key struct {
		service  tables.ServiceID
		customer tables.CustomerID
		tier     int
	}
	sums := make(map[key]time.Duration)
	count := func(g openGrant, until time.Time) {
		sums[key{g.Service, g.Customer, g.Tier}] += min(max(until.Sub(g.grantedAt), 0), fairshare.Window)
	}
	for _, r := range s.released {
		count(r.grant, r.at)
	}
	for _, g := range open {
		if g.Customer != "" {
			count(g, now)
		}
	}
	var out []slotTimeReport
	for k, sum := range sums {
		if ms := sum.Milliseconds(); ms > 0 {
			out = append(out, slotTimeReport{k.service, k.customer, k.tier, ms})
		}
	}
	slices.SortFunc(out, func(a, b slotTimeReport) int {
		return cmp.Or(cmp.Compare(b.MS, a.MS), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer), a.Tier-b.Tier)
	})
	return out[:min(len(out), maxSlotTimeReports)]
}

// applySlotTime records the slot time that other coordinators have granted, as a host first
// reports it after a takeover. The lock must be held.
func (c *Coordinator) applySlotTime(now time.Time, m reconcileMessage) {
	if c.slotTimeReported[m.Host] {
		return
	}
	c.slotTimeReported[m.Host] = true
	for _, r := range m.SlotTime[:min(len(m.SlotTime), maxSlotTimeReports)] {
		c.scheduler.ImportUse(now, r.Service, r.Customer, r.Tier, fromMS(float64(r.MS)))
	}
}

package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// DefaultMaxQueuedPerTarget bounds the queue in front of one target.
	DefaultMaxQueuedPerTarget = 64
	// floorHold keeps lower tiers off the targets that refused a request,
	// while its gate asks the other owners.
	floorHold = 250 * time.Millisecond
	// preemptAgain is the wait before a second request is cancelled for the
	// same queued one.
	preemptAgain = 2 * time.Second
	// rescueMargin is how long before its latest start a request gets a place
	// by cancelling a lower tier.
	rescueMargin = 300 * time.Millisecond
)

// estimate sets the expected work and latest start of e.
func (e *entry) estimate(now time.Time) {
	var work, first time.Duration
	n := 0
	for _, sl := range e.group.slots {
		if sl.t == nil {
			continue
		}
		batch := window(sl.t)
		work += finishTime(sl.t, e.r, 0, batch)
		first += firstTokenTime(sl.t, e.r, batch)
		n++
	}
	if n > 0 {
		work /= time.Duration(n)
		first /= time.Duration(n)
	}
	e.work = work
	e.startBy = latestStart(now, e.r, work, first)
}

// noDeadline is the slack of a request without deadlines.
const noDeadline = time.Hour

func latestStart(now time.Time, r *tables.Request, work, first time.Duration) time.Time {
	by := now.Add(noDeadline)
	if !r.Due.IsZero() && r.Due.Add(-work).Before(by) {
		by = r.Due.Add(-work)
	}
	if !r.FirstTokenDue.IsZero() && r.FirstTokenDue.Add(-first).Before(by) {
		by = r.FirstTokenDue.Add(-first)
	}
	return by
}

// wait returns the expected wait of a new request of tier in g.
func (g *group) wait(tier int) time.Duration {
	if g.capacity == 0 {
		return 0
	}
	var work time.Duration
	for _, o := range g.overlaps {
		for i := 0; i <= tier && i < len(o.tiers); i++ {
			work += o.tiers[i].work
		}
	}
	return work / time.Duration(g.capacity)
}

// lower reports whether a tier below tier runs or queues at a target of g.
func (g *group) lower(tier int) bool {
	return g.lowerQueued(tier) || g.lowerRunning(tier)
}

func (g *group) lowerQueued(tier int) bool {
	for _, o := range g.overlaps {
		for i := tier + 1; i < len(o.tiers); i++ {
			if o.tiers[i].count > 0 {
				return true
			}
		}
	}
	return false
}

func (g *group) lowerRunning(tier int) bool {
	for _, sl := range g.slots {
		for i := tier + 1; i < len(sl.byTier); i++ {
			if sl.byTier[i] > 0 {
				return true
			}
		}
	}
	return false
}

// admit refuses new requests that could not be finished in time, so that their
// gates can ask other owners at once.
func (p *pass) admit() {
	for _, e := range p.index.arrived {
		if e.pos < 0 || e.r.State != tables.Queued {
			continue
		}
		if p.floored(e) {
			p.shed(e, errkind.Overloaded)
			continue
		}
		if !e.startBy.Before(p.now.Add(e.group.wait(e.r.Tier))) {
			continue
		}
		p.relieve(e)
	}
	clear(p.index.arrived)
	p.index.arrived = p.index.arrived[:0]
}

// floored reports whether a target of e has just refused a higher tier.
func (p *pass) floored(e *entry) bool {
	for _, sl := range e.group.slots {
		if sl.floored(p.now, e.r.Tier) {
			return true
		}
	}
	return false
}

// rescue finds a place for queue heads whose latest start has come.
func (p *pass) rescue() {
	for tier := range p.index.tiers {
		for _, g := range p.index.groups {
			if tier >= len(g.tiers) || g.tiers[tier].count == 0 {
				continue
			}
			for _, q := range g.tiers[tier].customers {
				p.rescueHead(q)
			}
		}
	}
}

func (p *pass) rescueHead(q *customerQueue) {
	for e := q.head(); e != nil; e = q.head() {
		if e.startBy.After(p.now.Add(rescueMargin)) {
			return
		}
		if !p.relieve(e) {
			return
		}
	}
}

// relieve cancels or displaces a lower tier for e, or refuses e when there is
// none. It reports whether e left the queue.
func (p *pass) relieve(e *entry) bool {
	tier := e.r.Tier
	if e.group.lower(tier) {
		if p.now.Sub(e.preempted) >= preemptAgain {
			p.preempt(e)
		}
		return false
	}
	if e.startBy.After(p.now) && e.group.wait(tier) < e.startBy.Sub(p.now) {
		return false
	}
	p.refuse(e)
	return true
}

// preempt cancels the running lower-tier request that loses the least work.
func (p *pass) preempt(e *entry) {
	var victim *tables.Request
	for _, sl := range e.group.slots {
		if limit(sl.t, p.now) == 0 {
			continue
		}
		for _, r := range sl.running {
			if r.Tier <= e.r.Tier || r.NonIdempotent || r.Cancelling {
				continue
			}
			if victim == nil || p.cheaper(r, victim) {
				victim = r
			}
		}
	}
	if victim == nil {
		return
	}
	e.preempted = p.now
	victim.Cancelling = true
	p.out = append(p.out, tables.Decision{Action: tables.Cancel, Request: victim.ID, Target: victim.Target, Kind: errkind.Preempted})
}

// cheaper reports whether cancelling a is better than cancelling b: the lower
// tier first, then the least time spent.
func (p *pass) cheaper(a, b *tables.Request) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	if !a.Started.Equal(b.Started) {
		return a.Started.After(b.Started)
	}
	return a.ID < b.ID
}

// refuse sheds e, below which no tier is left.
func (p *pass) refuse(e *entry) {
	for _, sl := range e.group.slots {
		if !p.now.Before(sl.floorUntil) || e.r.Tier < sl.floor {
			sl.floor = e.r.Tier
		}
		sl.floorUntil = p.now.Add(floorHold)
	}
	kind := errkind.Overloaded
	switch {
	case e.group.capacity == 0:
		kind = errkind.NoTarget
	case e.group.wait(e.r.Tier) == 0:
		kind = errkind.DeadlineUnmeetable
	}
	p.shed(e, kind)
}

func (p *pass) shed(e *entry, kind errkind.Kind) {
	wait := e.group.wait(e.r.Tier)
	p.index.dequeue(e)
	p.out = append(p.out, tables.Decision{Action: tables.Shed, Request: e.r.ID, Kind: kind, RetryAfter: wait})
}

// bound displaces the lowest tier while the queue is too long.
func (p *pass) bound() {
	per := p.state.MaxQueuedPerTarget
	if per <= 0 {
		per = DefaultMaxQueuedPerTarget
	}
	for len(p.index.entries) > per*max(len(p.index.slots), 1) {
		p.shed(p.lowest(), errkind.Displaced)
	}
}

// lowest returns a queued request of the lowest tier, of the customer with the
// most service.
func (p *pass) lowest() *entry {
	for tier := p.index.tiers - 1; tier >= 0; tier-- {
		var worst *customerQueue
		for _, g := range p.index.groups {
			if tier >= len(g.tiers) {
				continue
			}
			for _, q := range g.tiers[tier].customers {
				if q.Len() > 0 && (worst == nil || p.index.served(tier, q.customer) > p.index.served(tier, worst.customer)) {
					worst = q
				}
			}
		}
		if worst != nil {
			return worst.entries[worst.Len()-1]
		}
	}
	return nil
}

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
	// fastestFactor is the speed of the fastest over that of the mean target.
	fastestFactor = 2
	// rescueMargin is how long before its latest start a request gets a place
	// by cancelling a lower tier.
	rescueMargin = 100 * time.Millisecond
)

// estimate sets the expected work and latest start of e.
func (e *entry) estimate(now time.Time, policy Policy) {
	r := e.r
	first := time.Duration(float64(r.PromptTokens)*e.group.prefill + e.group.gap)
	work := first + time.Duration(float64(r.PredictedTokens)*e.group.gap)
	if r.Plain {
		first, work = plainServiceTime, plainServiceTime
	}
	e.work = work
	e.startBy = latestStart(now, e.r, work, first)
	e.longBy = latestStart(now, e.r, time.Duration(policy.LongFactor*float64(work)), first)
	e.second = second(now, e.startBy)
	e.hopeless = now.Add(noDeadline)
	if !e.r.Due.IsZero() {
		e.hopeless = e.r.Due.Add(-work / fastestFactor)
	}
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

// waitOf returns the expected wait of e: for all queued work of higher tiers,
// and for that of its own tier that must start no later.
func (g *group) waitOf(now time.Time, e *entry) time.Duration {
	if g.capacity == 0 {
		return 0
	}
	var work time.Duration
	for _, o := range g.overlaps {
		for i := 0; i < e.r.Tier && i < len(o.tiers); i++ {
			work += o.tiers[i].work
		}
		if e.r.Tier < len(o.tiers) {
			work += o.tiers[e.r.Tier].workBefore(now, e.startBy)
		}
	}
	return work / time.Duration(g.capacity)
}

// lowerRunning reports whether a tier below tier runs at a target of g.
func (g *group) lowerRunning(tier int) bool {
	for _, sl := range g.slots {
		if sl.lowerRunning(tier) {
			return true
		}
	}
	return false
}

// cancelling counts the running requests that are about to leave a target of g.
func (g *group) cancelling() int {
	n := 0
	for _, sl := range g.slots {
		for _, r := range sl.running {
			if r.Cancelling {
				n++
			}
		}
	}
	return n
}

// queuedAhead counts the queued requests of tier and above that share a target
// with g.
func (g *group) queuedAhead(tier int) int {
	n := 0
	for _, o := range g.overlaps {
		n += o.queued(tier)
	}
	return n
}

// admit refuses new requests that would wait too long, so that their gates can
// ask other owners in time. Those that a lower tier can make room for stay;
// rescue sees to them when they must start.
func (p *pass) admit() {
	for _, e := range p.index.arrived {
		if e.pos < 0 {
			continue
		}
		if p.floored(e) {
			p.refuse(e)
			continue
		}
		if p.pressed(e) && !e.group.lowerRunning(e.r.Tier) {
			p.relieve(e)
		}
	}
	clear(p.index.arrived)
	p.index.arrived = p.index.arrived[:0]
}

// floored reports whether a target of e has just refused a higher tier.
func (p *pass) floored(e *entry) bool {
	if p.now.Sub(p.index.lastRefused) >= floorHold {
		return false
	}
	for _, sl := range e.group.slots {
		if sl.floored(p.now, e.r.Tier) {
			return true
		}
	}
	return false
}

// pressed reports whether e is expected to start later than it must.
func (p *pass) pressed(e *entry) bool {
	return e.startBy.Before(p.now.Add(max(rescueMargin, e.group.waitOf(p.now, e))))
}

// rescue finds a place for queue heads whose latest start is near.
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
		if e.startBy.After(p.now.Add(rescueMargin)) || !p.relieve(e) {
			return
		}
	}
}

// relieve starts e at a place held back or cancels the work of a lower tier for
// it. When no lower tier runs, it displaces those that queue and refuses e. It reports whether e left the queue.
func (p *pass) relieve(e *entry) bool {
	if p.squeeze(e) {
		return true
	}
	if e.group.lowerRunning(e.r.Tier) {
		if e.group.cancelling() < e.group.queuedAhead(e.r.Tier) {
			p.preempt(e)
		}
		return false
	}
	p.displace(e)
	p.refuse(e)
	return true
}

// squeeze starts e at a place that was held back, if there is one.
func (p *pass) squeeze(e *entry) bool {
	g := e.group
	g.listed = nil
	g.list(p, func(sl *slot, n int) bool { return sl.lastRoom(p, n, e.r.Tier) })
	if best, _ := p.best(g, e.r); best == nil {
		return false
	}
	p.run(g, e)
	return true
}

// displace sheds the queued requests of lower tiers that share a target with e.
func (p *pass) displace(e *entry) {
	for _, g := range e.group.overlaps {
		for tier := e.r.Tier + 1; tier < len(g.tiers); tier++ {
			for _, q := range g.tiers[tier].customers {
				for q.head() != nil {
					p.shed(q.head(), errkind.Displaced)
				}
			}
		}
	}
}

// preempt cancels the running lower-tier request that loses the least work. One
// at a target that is closed to new work goes only when there is no other: it
// gives no place, but nothing of a higher tier is refused while it runs.
func (p *pass) preempt(e *entry) {
	victim := p.victim(e, true)
	if victim == nil {
		victim = p.victim(e, false)
	}
	if victim == nil {
		return
	}
	victim.Cancelling = true
	p.out = append(p.out, tables.Decision{Action: tables.Cancel, Request: victim.ID, Target: victim.Target, Kind: errkind.Preempted})
}

// victim returns the cheapest request to cancel for e at the targets that are
// open to new work, or at those that are not; nil when there is none.
func (p *pass) victim(e *entry, open bool) *tables.Request {
	var victim *tables.Request
	for _, sl := range e.group.slots {
		if open != (limit(sl.t, p.now) > 0) {
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
	return victim
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
	kind := errkind.Overloaded
	switch {
	case e.group.capacity == 0:
		kind = errkind.NoTarget
	case e.group.wait(e.r.Tier) == 0:
		kind = errkind.DeadlineUnmeetable
	}
	p.refuseAs(e, kind)
}

// refuseAs sheds e and keeps lower tiers off its targets for a moment.
func (p *pass) refuseAs(e *entry, kind errkind.Kind) {
	p.index.lastRefused = p.now
	for _, sl := range e.group.slots {
		sl.refuse(p.now, e.r.Tier)
	}
	p.shed(e, kind)
}

func (p *pass) shed(e *entry, kind errkind.Kind) {
	wait := e.group.wait(e.r.Tier)
	p.index.dequeue(e)
	p.out = append(p.out, tables.Decision{Action: tables.Shed, Request: e.r.ID, Kind: kind, RetryAfter: wait})
}

// bound displaces the lowest tier while the queue is too long. While a tier
// below it still runs, that is cancelled instead.
func (p *pass) bound() {
	per := p.state.MaxQueuedPerTarget
	if per <= 0 {
		per = DefaultMaxQueuedPerTarget
	}
	for len(p.index.entries) > per*max(len(p.index.slots), 1) {
		e := p.lowest()
		if e.group.lowerRunning(e.r.Tier) {
			if e.group.cancelling() < e.group.queuedAhead(e.r.Tier) {
				p.preempt(e)
			}
			return
		}
		p.refuseAs(e, errkind.Displaced)
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

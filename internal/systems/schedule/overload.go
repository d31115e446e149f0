package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// DefaultMaxQueuedPerTarget is the default limit on queued requests per target.
	DefaultMaxQueuedPerTarget = 64
	// lowerTierBlock is how long lower tiers are kept off the targets of a
	// refused request, while the gate queries the other owners.
	lowerTierBlock = 250 * time.Millisecond
	// fastestFactor is the assumed speed of the fastest target relative to the
	// mean.
	fastestFactor = 2
	// startMargin is how long before its latest start a queued request may use a
	// withheld slot or cancel a request of a lower tier. A new request may use a
	// withheld slot earlier; see admit.
	startMargin = 100 * time.Millisecond
)

// estimate sets the expected work of e and the times derived from it.
func (e *entry) estimate(now time.Time, policy Policy) {
	r := e.req
	firstToken := time.Duration(float64(r.PromptTokens)*e.group.prefillPerToken + e.group.decodePerToken)
	work := firstToken + time.Duration(float64(r.PredictedTokens)*e.group.decodePerToken)
	if r.PlainService {
		firstToken, work = plainServiceTime, plainServiceTime
	}
	e.work = work
	e.startBy = latestStart(now, e.req, work, firstToken)
	e.longStartBy = latestStart(now, e.req, time.Duration(policy.LongAnswerFactor*float64(work)), firstToken)
	e.startSecond = ringSecond(now, e.startBy)
	e.infeasibleAt = now.Add(noDeadlineSlack)
	if !e.req.Due.IsZero() {
		e.infeasibleAt = e.req.Due.Add(-work / fastestFactor)
	}
}

// noDeadlineSlack is the longest time from the arrival of a request to its latest
// start. It applies to requests without a deadline or with a distant one.
const noDeadlineSlack = time.Hour

func latestStart(now time.Time, r *tables.Request, work, firstToken time.Duration) time.Time {
	latest := now.Add(noDeadlineSlack)
	if !r.Due.IsZero() && r.Due.Add(-work).Before(latest) {
		latest = r.Due.Add(-work)
	}
	if !r.FirstTokenDue.IsZero() && r.FirstTokenDue.Add(-firstToken).Before(latest) {
		latest = r.FirstTokenDue.Add(-firstToken)
	}
	return latest
}

// expectedWait returns the expected queueing time of a new request of tier in
// g, or zero if g has no capacity.
func (g *group) expectedWait(tier int) time.Duration {
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

// expectedWaitOf returns the expected queueing time of e, or zero if g has no
// capacity. It counts all queued work of higher tiers and, of e's tier, the work
// that workBefore returns.
func (g *group) expectedWaitOf(now time.Time, e *entry) time.Duration {
	if g.capacity == 0 {
		return 0
	}
	var work time.Duration
	for _, o := range g.overlaps {
		for i := 0; i < e.req.Tier && i < len(o.tiers); i++ {
			work += o.tiers[i].work
		}
		if e.req.Tier < len(o.tiers) {
			work += o.tiers[e.req.Tier].workBefore(now, e.startBy)
		}
	}
	return work / time.Duration(g.capacity)
}

// runsLowerTier reports whether a request of a lower tier runs on a target of
// g.
func (g *group) runsLowerTier(tier int) bool {
	for _, ts := range g.targets {
		if ts.runsLowerTier(tier) {
			return true
		}
	}
	return false
}

// cancelling counts the running requests on the targets of g that are being
// cancelled.
func (g *group) cancelling() int {
	n := 0
	for _, ts := range g.targets {
		for _, r := range ts.running {
			if r.Cancelling {
				n++
			}
		}
	}
	return n
}

// queuedAhead counts the queued requests of tier and higher tiers that share a
// target with g.
func (g *group) queuedAhead(tier int) int {
	n := 0
	for _, o := range g.overlaps {
		n += o.queued(tier)
	}
	return n
}

// admit examines new requests. It refuses a request if one of its targets blocks
// the request's tier after a refusal of a higher tier. It starts a request that
// would wait too long on a withheld slot or else refuses it, early enough for the
// gate to try other owners. While a request of a lower tier runs on one of its
// targets, the new request stays queued instead; makeRoomForDue handles it when
// its latest start is near.
func (p *pass) admit() {
	for _, e := range p.index.arrived {
		if e.heapIndex < 0 {
			continue
		}
		if p.blocked(e) {
			p.refuse(e)
			continue
		}
		if p.atRisk(e) && !e.group.runsLowerTier(e.req.Tier) {
			p.makeRoom(e)
		}
	}
	clear(p.index.arrived)
	p.index.arrived = p.index.arrived[:0]
}

// blocked reports whether, within the last lowerTierBlock, a request of a higher
// tier was refused that could have run on a target of e.
func (p *pass) blocked(e *entry) bool {
	if p.now.Sub(p.index.lastRefused) >= lowerTierBlock {
		return false
	}
	for _, ts := range e.group.targets {
		if ts.blocksTier(p.now, e.req.Tier) {
			return true
		}
	}
	return false
}

// atRisk reports whether e is expected to start too late to meet its deadlines
// or must start within startMargin.
func (p *pass) atRisk(e *entry) bool {
	return e.startBy.Before(p.now.Add(max(startMargin, e.group.expectedWaitOf(p.now, e))))
}

// makeRoomForDue makes room for queued requests that must start within
// startMargin.
func (p *pass) makeRoomForDue() {
	for tier := range p.index.tiers {
		for _, g := range p.index.groups {
			if tier >= len(g.tiers) || g.tiers[tier].count == 0 {
				continue
			}
			for _, q := range g.tiers[tier].customers {
				p.makeRoomForHead(q)
			}
		}
	}
}

func (p *pass) makeRoomForHead(q *customerQueue) {
	for e := q.head(); e != nil; e = q.head() {
		if e.startBy.After(p.now.Add(startMargin)) || !p.makeRoom(e) {
			return
		}
	}
}

// makeRoom starts e on a withheld slot if there is one. Otherwise, if requests of
// a lower tier run on the targets of e, makeRoom cancels one of them, unless
// enough cancellations are under way. If none runs, makeRoom sheds the queued
// requests of lower tiers and refuses e. It reports whether e left the queue.
func (p *pass) makeRoom(e *entry) bool {
	if p.startOnWithheld(e) {
		return true
	}
	if e.group.runsLowerTier(e.req.Tier) {
		if e.group.cancelling() < e.group.queuedAhead(e.req.Tier) {
			p.preempt(e)
		}
		return false
	}
	p.displaceLowerTiers(e)
	p.refuse(e)
	return true
}

// startOnWithheld starts e on a withheld slot and reports whether there was such
// a slot.
func (p *pass) startOnWithheld(e *entry) bool {
	g := e.group
	g.eligiblePass = nil
	g.collectEligible(p, func(ts *targetState, n int) bool { return ts.hasWithheldSlot(p, n, e.req.Tier) })
	if best, _ := p.bestTarget(g, e.req); best == nil {
		return false
	}
	p.startEntry(g, e)
	return true
}

// displaceLowerTiers sheds the queued requests of lower tiers that share a
// target with e.
func (p *pass) displaceLowerTiers(e *entry) {
	for _, g := range e.group.overlaps {
		for tier := e.req.Tier + 1; tier < len(g.tiers); tier++ {
			for _, q := range g.tiers[tier].customers {
				for q.head() != nil {
					p.shed(q.head(), errkind.Displaced)
				}
			}
		}
	}
}

// preempt cancels the running request of a lower tier that is cheapest to cancel
// for e. Requests on targets closed to new work are cancelled only if there is no
// other. Such a cancellation frees no slot, but no request of a higher tier may be
// refused while a lower one runs.
func (p *pass) preempt(e *entry) {
	victim := p.victim(e, true)
	if victim == nil {
		victim = p.victim(e, false)
	}
	if victim == nil {
		return
	}
	victim.Cancelling = true
	p.decisions = append(p.decisions, tables.Decision{Action: tables.Cancel, Request: victim.ID, Target: victim.Target, Kind: errkind.Preempted})
}

// victim returns the running request that is cheapest to cancel for e, or nil.
// If open is set, it considers only open targets, otherwise only closed ones; see
// concurrencyLimit. It leaves out non-idempotent requests.
func (p *pass) victim(e *entry, open bool) *tables.Request {
	var victim *tables.Request
	for _, ts := range e.group.targets {
		if open != (concurrencyLimit(ts.target, p.now) > 0) {
			continue
		}
		for _, r := range ts.running {
			if r.Tier <= e.req.Tier || r.NonIdempotent || r.Cancelling {
				continue
			}
			if victim == nil || p.cheaperToCancel(r, victim) {
				victim = r
			}
		}
	}
	return victim
}

// cheaperToCancel reports whether cancelling a costs less than cancelling b: a is
// of a lower tier or, within a tier, was started later. The request ID breaks ties.
func (p *pass) cheaperToCancel(a, b *tables.Request) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	if !a.Started.Equal(b.Started) {
		return a.Started.After(b.Started)
	}
	return a.ID < b.ID
}

// refuse sheds e with the error kind that gives the reason, and blocks lower
// tiers on its targets.
func (p *pass) refuse(e *entry) {
	kind := errkind.Overloaded
	switch {
	case e.group.capacity == 0:
		kind = errkind.NoTarget
	case e.group.expectedWait(e.req.Tier) == 0:
		kind = errkind.DeadlineUnmeetable
	}
	p.refuseWithKind(e, kind)
}

// refuseWithKind sheds e and blocks lower tiers on its targets for
// lowerTierBlock.
func (p *pass) refuseWithKind(e *entry, kind errkind.Kind) {
	p.index.lastRefused = p.now
	for _, ts := range e.group.targets {
		ts.recordRefusal(p.now, e.req.Tier)
	}
	p.shed(e, kind)
}

func (p *pass) shed(e *entry, kind errkind.Kind) {
	wait := e.group.expectedWait(e.req.Tier)
	p.index.dequeue(e)
	p.decisions = append(p.decisions, tables.Decision{Action: tables.Shed, Request: e.req.ID, Kind: kind, RetryAfter: wait})
}

// boundQueue sheds requests of the lowest queued tier while the queue is too
// long. If a request of a still lower tier runs on a target of the request to be
// shed, boundQueue stops shedding. It then cancels one such running request, if any
// may be cancelled, but only while fewer cancellations are under way on these targets
// than requests are queued ahead.
func (p *pass) boundQueue() {
	perTarget := p.state.MaxQueuedPerTarget
	if perTarget <= 0 {
		perTarget = DefaultMaxQueuedPerTarget
	}
	for len(p.index.entries) > perTarget*max(len(p.index.targets), 1) {
		e := p.lowestPriority()
		if e.group.runsLowerTier(e.req.Tier) {
			if e.group.cancelling() < e.group.queuedAhead(e.req.Tier) {
				p.preempt(e)
			}
			return
		}
		p.refuseWithKind(e, errkind.Displaced)
	}
}

// lowestPriority returns a request of the lowest tier that has queued requests,
// from the customer with the highest usage in that tier, or nil.
func (p *pass) lowestPriority() *entry {
	for tier := p.index.tiers - 1; tier >= 0; tier-- {
		var worst *customerQueue
		for _, g := range p.index.groups {
			if tier >= len(g.tiers) {
				continue
			}
			for _, q := range g.tiers[tier].customers {
				if q.Len() > 0 && (worst == nil || p.index.customerUsage(tier, q.customer) > p.index.customerUsage(tier, worst.customer)) {
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

package allocation

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// firstByteSLOShare limits the estimated time to the first byte, as a
	// fraction of the time until it is due. The rest is a margin for errors of
	// the estimate.
	firstByteSLOShare = 0.85
	// eventGapSLOShare limits the expected event gap, as a fraction of the
	// event-gap SLO.
	eventGapSLOShare = 0.9
	// crossDomainCost is added to the cost of a target in another failure domain.
	crossDomainCost = 15 * time.Millisecond
	// indirectCost is added to the cost of a target to which the host has lost its path.
	indirectCost = 30 * time.Millisecond
	// prefillChunkTokens is the number of prompt tokens that an engine processes
	// between two decode steps of its running streams.
	prefillChunkTokens = 2048
	// tokensPerEvent is the assumed number of tokens in an event of a stream.
	tokensPerEvent = 8
	// maxLatePerSlot is the maximum number of late requests in the queue per slot
	// of the usable targets of the service. One is always allowed.
	maxLatePerSlot = 0.5
	// noTargetsRetryAfter is the Retry-After if the service has no targets.
	noTargetsRetryAfter = time.Second
	// returnWait is how long a resumed request waits beyond its queue deadline for an ejected
	// target that returns by then. A request that has left a silent target ends its wait
	// at about the time at which the ejection of that target does.
	returnWait = 50 * time.Millisecond
)

// Schedule runs a scheduling pass over all queues. It returns a decision for each
// request that it grants or refuses; the others stay queued.
func (sched *Scheduler) Schedule(now time.Time) []Decision {
	var out []Decision
	for name, s := range sched.services {
		if len(s.queue) > 0 {
			out = sched.scheduleService(now, s, out)
		}
		sched.observePool(now, name, s)
	}
	return out
}

func (sched *Scheduler) scheduleService(now time.Time, s *service, out []Decision) []Decision {
	sched.sortQueue(now, s)
	free := s.freeTargets(now, sched.settledAt)
	s.keepClaims(now)
	var unplaced unplaceable
	var unplacedBySet unplaceableBySet
	waiting := s.queue[:0]
	for _, r := range s.queue {
		var d Decision
		var decided bool
		if s.rules == nil {
			d, decided = sched.decide(now, s, r, free, &unplaced)
		} else {
			d, decided = sched.decideByRules(now, s, r, free, &unplacedBySet)
		}
		if decided {
			out = append(out, d)
			free = s.filterFree(now, sched.settledAt, free)
			continue
		}
		waiting = append(waiting, r)
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	s.waiting = s.waitingSeconds(now, sched.fairShares)
	return sched.trimLate(now, s, out)
}

// freeTargets returns the usable targets with spare capacity.
func (s *service) freeTargets(now, settledAt time.Time) []*target {
	out := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		if t.usable(now) && s.hasRoom(now, settledAt, t) {
			out = append(out, t)
		}
	}
	return out
}

func (s *service) filterFree(now, settledAt time.Time, targets []*target) []*target {
	return slices.DeleteFunc(targets, func(t *target) bool { return !s.hasRoom(now, settledAt, t) })
}

// hasRoom reports whether a target has a slot and allows another request by what it says
// of itself. Before settledAt hosts may hold slots that are not known here.
func (s *service) hasRoom(now, settledAt time.Time, t *target) bool {
	if t.inUse >= t.capacity(s.retries.grantDuration()) || !t.limit.allows(now) {
		return false
	}
	maxRejections, brittle := s.brittleLimit(now, t)
	return !brittle || t.brittle.allows(now, settledAt, maxRejections, t.Slots, t.inUse)
}

// compareRequests orders the queue. Late requests come last, except those that are covered
// by the share of their customer. Among the last ones, those retried after the advised wait
// go first. Further keys are tier, how far the request is beyond the share of its customer,
// whether it is late, urgency, whether the stream has begun, whether the customer is within
// its rate, and the time at which the first byte is due.
func compareRequests(now time.Time, a, b *SlotRequest) int {
	aLate, bLate := a.late(now), b.late(now)
	aLast, bLast := aLate && !a.covered, bLate && !b.covered
	switch {
	case aLast != bLast && aLast:
		return 1
	case aLast != bLast:
		return -1
	case aLast && a.RetriedAsAdvised != b.RetriedAsAdvised && a.RetriedAsAdvised:
		return -1
	case aLast && a.RetriedAsAdvised != b.RetriedAsAdvised:
		return 1
	case a.Tier != b.Tier:
		return a.Tier - b.Tier
	case a.surplus != b.surplus:
		return a.surplus - b.surplus
	case aLate != bLate && aLate:
		return 1
	case aLate != bLate:
		return -1
	case a.Urgency != b.Urgency:
		return a.Urgency - b.Urgency
	case a.Resumed != b.Resumed && a.Resumed:
		return -1
	case a.Resumed != b.Resumed:
		return 1
	case a.OverRate != b.OverRate && a.OverRate:
		return 1
	case a.OverRate != b.OverRate:
		return -1
	default:
		return a.FirstByteDue.Compare(b.FirstByteDue)
	}
}

// unplaceable holds the requests that got no target in this pass: the last one that was
// neither late, resumed nor bound to a version, the last one of each of these, and the
// last one of each kind of bound ones. Those that avoid targets are held apart, unless
// they are resumed or bound. Requests that are no easier to place (see covers) are skipped
// without evaluating the targets. This keeps a pass over a long queue cheap.
type unplaceable struct {
	onTime, late, resumed        *SlotRequest
	onTimeAvoiding, lateAvoiding *SlotRequest
	bound                        map[boundClass]*SlotRequest
}

// boundClass is what must be equal in bound requests that covers compares.
type boundClass struct {
	late, resumed bool
	version       tables.SoftwareVersion
}

func (r *SlotRequest) boundClass(now time.Time) boundClass {
	return boundClass{late: r.late(now), resumed: r.Resumed, version: r.Version}
}

// stored returns the stored request of the kind of r; nil if there is none.
func (p *unplaceable) stored(now time.Time, r *SlotRequest) *SlotRequest {
	switch {
	case r.VersionBound:
		return p.bound[r.boundClass(now)]
	case r.Resumed:
		return p.resumed
	case r.late(now):
		return p.late
	default:
		return p.onTime
	}
}

// storedAvoiding returns the stored request of the kind of r that avoids targets; nil if
// there is none.
func (p *unplaceable) storedAvoiding(now time.Time, r *SlotRequest) *SlotRequest {
	switch {
	case r.VersionBound || r.Resumed:
		return nil
	case r.late(now):
		return p.lateAvoiding
	default:
		return p.onTimeAvoiding
	}
}

// covers reports whether r is no easier to place than a stored request of its kind.
func (p *unplaceable) covers(now time.Time, r *SlotRequest) bool {
	return noEasier(now, r, p.stored(now, r)) || len(r.Avoid) > 0 && noEasier(now, r, p.storedAvoiding(now, r))
}

// noEasier reports whether r is no easier to place than stored, a request of its kind or
// nil. That is so if the prompt of r is at least as long, r avoids all targets that stored
// avoids and, for an r that is neither late nor resumed, its first byte is due no later.
// For a resumed or bound r, its event-gap SLO must not be longer either.
func noEasier(now time.Time, r, stored *SlotRequest) bool {
	switch {
	case stored == nil || r.PromptTokens < stored.PromptTokens:
		return false
	case (r.Resumed || r.VersionBound) && hasLongerEventGap(r, stored):
		return false
	case !r.Resumed && !r.late(now) && r.FirstByteDue.After(stored.FirstByteDue):
		return false
	default:
		return !slices.ContainsFunc(stored.Avoid, func(id tables.TargetID) bool { return !slices.Contains(r.Avoid, id) })
	}
}

// hasLongerEventGap reports whether a allows longer event gaps than b.
func hasLongerEventGap(a, b *SlotRequest) bool {
	return b.EventGapSLO > 0 && (a.EventGapSLO <= 0 || a.EventGapSLO > b.EventGapSLO)
}

// add stores r. A resumed or bound request that avoids targets is not stored.
func (p *unplaceable) add(now time.Time, r *SlotRequest) {
	avoiding := len(r.Avoid) > 0
	switch {
	case avoiding && (r.VersionBound || r.Resumed):
	case r.VersionBound:
		if p.bound == nil {
			p.bound = make(map[boundClass]*SlotRequest)
		}
		p.bound[r.boundClass(now)] = r
	case r.Resumed:
		p.resumed = r
	case avoiding && r.late(now):
		p.lateAvoiding = r
	case avoiding:
		p.onTimeAvoiding = r
	case r.late(now):
		p.late = r
	default:
		p.onTime = r
	}
}

func (sched *Scheduler) decide(now time.Time, s *service, r *SlotRequest, free []*target, unplaced *unplaceable) (Decision, bool) {
	if len(s.targets) == 0 {
		return Decision{Request: r, Reason: NoTargets, RetryAfter: noTargetsRetryAfter}, true
	}
	if best, expected := sched.place(now, s, r, free, unplaced); best != nil {
		return sched.grant(now, s, r, best, expected), true
	}
	if s.refusalDue(now, r) {
		return sched.refuse(now, s, r), true
	}
	return Decision{}, false
}

// refusalDue reports whether a request without a target is to be refused. The refusal of a resumed
// one breaks a stream off, so that it waits returnWait longer for a target whose ejection ends
// by then.
func (s *service) refusalDue(now time.Time, r *SlotRequest) bool {
	if now.Before(r.QueueDeadline) {
		return false
	}
	last := r.QueueDeadline.Add(returnWait)
	return !r.Resumed || !now.Before(last) || !s.returnsBy(now, last, r)
}

// returnsBy reports whether the ejection of a target that the request accepts ends by a time.
func (s *service) returnsBy(now, last time.Time, r *SlotRequest) bool {
	for _, t := range s.targets {
		listed := !t.removed && !t.Leaving
		if listed && r.accepts(t) && t.ejected(now) && !t.ejected(last) && s.allows(now, r, t) {
			return true
		}
	}
	return false
}

// place returns the target to grant now and the expected time to the first byte; nil if the
// request has to wait.
func (sched *Scheduler) place(now time.Time, s *service, r *SlotRequest, free []*target, unplaced *unplaceable) (*target, time.Duration) {
	unreached := sched.senders.Unreached(now, r.Host)
	if len(free) == 0 || len(unreached) == 0 && unplaced.covers(now, r) {
		return nil, 0
	}
	best, expected := s.bestTarget(now, r, free, hostPaths{sched.senders, unreached})
	if best != nil && s.worthGranting(now, r, best, expected) {
		return best, expected
	}
	switch {
	case best == nil && s.lacksMemory(r, free):
		s.claim(now, r)
	case len(unreached) == 0:
		unplaced.add(now, r)
	}
	return nil, 0
}

func (sched *Scheduler) refuse(now time.Time, s *service, r *SlotRequest) Decision {
	if r.surplus > 0 {
		return Decision{Request: r, Reason: TooLate, RetryAfter: s.shares.RetryAfter(now, r.shareRequest()), Surplus: true}
	}
	return Decision{Request: r, Reason: TooLate, RetryAfter: s.retries.nextRetryAfter(now, sched.Random())}
}

// trimLate refuses late requests from the end of the queue until at most
// maxLate of them remain. Requests for which there is no target, since they avoid all or
// are bound to a version that has none, do not count: they compete for no slot, and wait
// until their queue deadline.
func (sched *Scheduler) trimLate(now time.Time, s *service, out []Decision) []Decision {
	excess := -s.maxLate(now)
	for _, r := range s.queue {
		if s.trimmable(now, r) {
			excess++
		}
	}
	for i := len(s.queue) - 1; i >= 0 && excess > 0; i-- {
		if r := s.queue[i]; s.trimmable(now, r) {
			out = append(out, sched.refuse(now, s, r))
			s.queue = slices.Delete(s.queue, i, i+1)
			excess--
		}
	}
	return out
}

// trimmable reports whether the request is late and competes for slots.
func (s *service) trimmable(now time.Time, r *SlotRequest) bool {
	return r.late(now) && s.hasTargetFor(now, r)
}

// hasTargetFor reports whether a target that the request accepts is listed and not
// leaving.
func (s *service) hasTargetFor(now time.Time, r *SlotRequest) bool {
	if s.rules == nil && !r.VersionBound && len(r.Avoid) < len(s.targets) {
		return true
	}
	for _, t := range s.targets {
		if r.accepts(t) && !t.removed && !t.Leaving && s.allows(now, r, t) {
			return true
		}
	}
	return false
}

// maxLate returns the number of late requests that may be queued.
func (s *service) maxLate(now time.Time) int {
	slots := 0
	for _, t := range s.targets {
		if t.usable(now) && s.competes(now, t) {
			slots += t.limit.slots(now, t.Slots, s.retries.grantDuration())
		}
	}
	return max(int(maxLatePerSlot*float64(slots)), 1)
}

// worthGranting reports whether to grant the target now rather than wait. It always is
// for a resumed request, whose caller waits in the middle of a stream. One beyond the share
// of its customer leaves places that wait at a target to those within their shares, which
// would be late behind it. For others, a grant is worthwhile if the first byte is expected in
// time with a margin and the request was not refused before. Otherwise, it is only if the
// target has no other prompt to process and one of these holds: the target is idle,
// the request cannot meet its SLO there, or the request was refused before.
func (s *service) worthGranting(now time.Time, r *SlotRequest, t *target, expected time.Duration) bool {
	if r.Resumed {
		return true
	}
	if r.surplus > 0 && t.inUse >= t.Slots {
		return false
	}
	remaining := r.FirstByteDue.Sub(now)
	if !r.Retried && float64(expected) <= firstByteSLOShare*float64(remaining) {
		return true
	}
	if len(t.prefilling) > 0 {
		return false
	}
	// The target processes no other prompt, so a request that misses its SLO anyway
	// gains nothing by waiting for it. A request that meets its SLO, but without the
	// margin, waits until a target is idle or offers the margin.
	return r.Retried || expected >= remaining || t.inUse == 0
}

// hostPaths is what is known of the paths of the host of a request.
type hostPaths struct {
	senders *reach.Senders
	// unreached lists targets that the host has just failed to connect to.
	unreached []tables.TargetID
}

// bestTarget returns the free target with the lowest expected time to the first
// byte plus the cost of crossing failure domains. It also returns that expected
// time. It returns nil if the request accepts no target or all would break the
// event-gap SLO of the request.
func (s *service) bestTarget(now time.Time, r *SlotRequest, free []*target, paths hostPaths) (*target, time.Duration) {
	var best *target
	var bestCost, bestExpected time.Duration
	for _, t := range free {
		if !r.accepts(t) || slices.Contains(paths.unreached, t.ID) {
			continue
		}
		expected := s.expectedFirstByte(now, r, t)
		if !s.meetsEventGapSLO(now, r, t) || !s.mayHave(t, r) {
			continue
		}
		cost := expected
		if t.Domain != r.Domain {
			cost += crossDomainCost
		}
		if !paths.senders.Reaches(r.Host, t.Target) || slices.Contains(r.Indirect, t.ID) {
			cost += indirectCost
		}
		if best == nil || cost < bestCost || (cost == bestCost && t.ID < best.ID) {
			best, bestCost, bestExpected = t, cost, expected
		}
	}
	return best, bestExpected
}

// expectedFirstByte returns the estimated time to the first byte at a target.
func (s *service) expectedFirstByte(now time.Time, r *SlotRequest, t *target) time.Duration {
	expected := t.backlog(now) + t.slowdown.Scale(s.latency.FirstByte(r.PromptTokens))
	if t.inUse >= t.Slots {
		expected += s.retries.grantDuration() / time.Duration(t.Slots)
	}
	return expected
}

// meetsEventGapSLO reports whether the event gap of the running streams of a
// target stays within eventGapSLOShare of the event-gap SLO of the request while
// the target processes the prompt of the request. The running streams are assumed
// to have the same SLO.
func (s *service) meetsEventGapSLO(now time.Time, r *SlotRequest, t *target) bool {
	if r.EventGapSLO <= 0 || t.inUse == 0 {
		return true
	}
	prefill := t.backlog(now) + t.slowdown.Scale(s.latency.Prefill(r.PromptTokens))
	maxDelay := t.slowdown.Scale(tokensPerEvent * s.latency.Prefill(prefillChunkTokens))
	gap := t.slowdown.Scale(s.eventGap.Mean()) + min(prefill, maxDelay)
	return float64(gap) <= eventGapSLOShare*float64(r.EventGapSLO)
}

func (sched *Scheduler) grant(now time.Time, s *service, r *SlotRequest, chosen *target, expected time.Duration) Decision {
	g := &grant{request: r, target: chosen, grantedAt: now, baseline: chosen.slowdown.Unscale(expected), queued: chosen.inUse >= chosen.Slots}
	if sched.fairShares {
		g.charge = s.shares.Grant(now, r.shareRequest())
	}
	sched.grants[r.ID] = g
	s.dropClaim(r.ID)
	s.takeMemory(now, g)
	chosen.admit(now, g, chosen.slowdown.Scale(s.latency.Prefill(r.PromptTokens)))
	through := sched.senders.Relays(now, chosen.Target, r.Host, r.Domain)
	if len(through) > 0 && !sched.senders.Reaches(r.Host, chosen.Target) {
		g.through = through[0]
		sched.senders.BeginRelay(g.through)
	}
	return Decision{Request: r, Target: chosen.ID, Version: chosen.Version, ExpectedFirstByte: now.Add(expected), Through: through}
}

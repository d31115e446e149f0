package place

import (
	"slices"
	"time"
)

const (
	// aimShare of the time to the aim may pass until the expected first byte;
	// the rest covers what the estimate misses.
	aimShare = 0.85
	// gapShare is the same for pauses between events.
	gapShare = 0.9
	// crossing is what a target of another failure domain costs, as time.
	crossing = 15 * time.Millisecond
	// chunkTokens is the number of prompt tokens that engines read between two
	// steps of their running streams.
	chunkTokens = 2048
	// tokensPerEvent is assumed for streams.
	tokensPerEvent = 8
	// lateShare of the slots of a service may be waited for by late asks.
	lateShare = 0.5
	// noTargetRetry is advised when a service has no target.
	noTargetRetry = time.Second
)

// Step gives places to queued asks and refuses those that wait in vain.
func (t *Table) Step(now time.Time) []Decision {
	var out []Decision
	for _, s := range t.services {
		if len(s.queue) > 0 {
			out = t.stepService(now, s, out)
		}
	}
	return out
}

func (t *Table) stepService(now time.Time, s *service, out []Decision) []Decision {
	slices.SortStableFunc(s.queue, func(a, b *Ask) int { return order(now, a, b) })
	free := s.free(now)
	var without placeless
	kept := s.queue[:0]
	for _, a := range s.queue {
		d, decided := t.decide(now, s, a, free, &without)
		if decided {
			out = append(out, d)
			free = s.stillFree(free)
			continue
		}
		kept = append(kept, a)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return t.shorten(now, s, out)
}

// free returns the targets that could take a request.
func (s *service) free(now time.Time) []*target {
	out := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		if t.usable(now) && t.open < t.places(s.line.mean()) {
			out = append(out, t)
		}
	}
	return out
}

func (s *service) stillFree(targets []*target) []*target {
	return slices.DeleteFunc(targets, func(t *target) bool { return t.open >= t.places(s.line.mean()) })
}

// order sorts asks that can still be in time before late ones, then by tier
// and urgency, those of customers within their rate first, and by aim. Of the late ones, those that have come back go first.
func order(now time.Time, a, b *Ask) int {
	aLate, bLate := a.late(now), b.late(now)
	switch {
	case aLate != bLate && aLate:
		return 1
	case aLate != bLate:
		return -1
	case aLate && a.Returned != b.Returned && a.Returned:
		return -1
	case aLate && a.Returned != b.Returned:
		return 1
	case a.Tier != b.Tier:
		return a.Tier - b.Tier
	case a.Urgency != b.Urgency:
		return a.Urgency - b.Urgency
	case a.Above != b.Above && a.Above:
		return 1
	case a.Above != b.Above:
		return -1
	default:
		return a.AimAt.Compare(b.AimAt)
	}
}

// placeless remembers an ask that found no place in this step, one that can be
// in time and one that is late, so that those that need more of a target are
// not rated at all. This keeps a long queue cheap.
type placeless struct {
	inTime, late *Ask
}

// covers reports whether an ask needs no less of a target than one that found
// no place.
func (p *placeless) covers(now time.Time, a *Ask) bool {
	if a.late(now) {
		return p.late != nil && a.Prompt >= p.late.Prompt
	}
	return p.inTime != nil && a.Prompt >= p.inTime.Prompt && !a.AimAt.After(p.inTime.AimAt)
}

func (p *placeless) add(now time.Time, a *Ask) {
	if a.late(now) {
		p.late = a
		return
	}
	p.inTime = a
}

func (t *Table) decide(now time.Time, s *service, a *Ask, free []*target, without *placeless) (Decision, bool) {
	if len(s.targets) == 0 {
		return Decision{Ask: a, Reason: NoTargets, RetryAfter: noTargetRetry}, true
	}
	if len(free) > 0 && !without.covers(now, a) {
		best, expected := s.best(now, a, free)
		if best != nil && s.timely(now, a, best, expected) {
			return t.grant(now, s, a, best, expected), true
		}
		without.add(now, a)
	}
	if !now.Before(a.HoldUntil) {
		return t.refuse(now, s, a), true
	}
	return Decision{}, false
}

func (t *Table) refuse(now time.Time, s *service, a *Ask) Decision {
	return Decision{Ask: a, Reason: TooLate, RetryAfter: s.line.next(now, t.Random())}
}

// shorten refuses the last of the late asks beyond what can soon be served.
func (t *Table) shorten(now time.Time, s *service, out []Decision) []Decision {
	late := 0
	for _, a := range s.queue {
		if a.late(now) {
			late++
		}
	}
	for excess := late - s.lateRoom(now); excess > 0; excess-- {
		last := len(s.queue) - 1
		out = append(out, t.refuse(now, s, s.queue[last]))
		s.queue[last] = nil
		s.queue = s.queue[:last]
	}
	return out
}

// lateRoom is the number of late asks that may wait.
func (s *service) lateRoom(now time.Time) int {
	slots := 0
	for _, t := range s.targets {
		if t.usable(now) {
			slots += t.Slots
		}
	}
	return max(int(lateShare*float64(slots)), 1)
}

// timely reports whether a grant now is worth its place: the first byte comes
// within the aim, or the target has nothing else to read and time is over.
func (s *service) timely(now time.Time, a *Ask, t *target, expected time.Duration) bool {
	left := a.AimAt.Sub(now)
	if !a.Late && float64(expected) <= aimShare*float64(left) {
		return true
	}
	if len(t.reading) > 0 {
		return false
	}
	// No target could do it sooner by reading alone, so waiting gains nothing.
	return a.Late || expected >= left || t.open == 0
}

// best returns the free target where the first byte is expected soonest.
func (s *service) best(now time.Time, a *Ask, free []*target) (*target, time.Duration) {
	var best *target
	var bestCost, bestExpected time.Duration
	for _, t := range free {
		if slices.Contains(a.Avoid, t.ID) {
			continue
		}
		expected := s.expected(now, a, t)
		if !s.sparesStreams(now, a, t) {
			continue
		}
		cost := expected
		if t.Domain != a.Domain {
			cost += crossing
		}
		if best == nil || cost < bestCost || (cost == bestCost && t.ID < best.ID) {
			best, bestCost, bestExpected = t, cost, expected
		}
	}
	return best, bestExpected
}

// expected is the time to the first byte of an ask at a target.
func (s *service) expected(now time.Time, a *Ask, t *target) time.Duration {
	expected := t.backlog(now) + t.speed.Scale(s.shape.First(a.Prompt))
	if t.open >= t.Slots {
		expected += s.line.mean() / time.Duration(t.Slots)
	}
	return expected
}

// sparesStreams reports whether the streams beside keep their pauses while the
// prompt of an ask is read.
func (s *service) sparesStreams(now time.Time, a *Ask, t *target) bool {
	if a.GapAim <= 0 || t.open == 0 {
		return true
	}
	reading := t.backlog(now) + t.speed.Scale(s.shape.Reading(a.Prompt))
	most := t.speed.Scale(tokensPerEvent * s.shape.Reading(chunkTokens))
	pause := t.speed.Scale(s.gap.Mean()) + min(reading, most)
	return float64(pause) <= gapShare*float64(a.GapAim)
}

func (t *Table) grant(now time.Time, s *service, a *Ask, row *target, expected time.Duration) Decision {
	g := &grant{ask: a, target: row, at: now, unscaled: row.speed.Unscale(expected)}
	t.grants[a.ID] = g
	row.admit(now, g, row.speed.Scale(s.shape.Reading(a.Prompt)))
	return Decision{Ask: a, Target: row.ID, Expected: now.Add(expected)}
}

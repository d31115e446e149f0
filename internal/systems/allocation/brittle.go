package allocation

import (
	"slices"
	"time"
)

const (
	// brittleMargin is the number of slots of a brittle target that stay free, for what the
	// target still works on although its slot was released.
	brittleMargin = 1
	// rejectionWindow is the time in which a brittle target counts the requests that it
	// turns away, with a margin for the delay of the reports.
	rejectionWindow = 1200 * time.Millisecond
	// raiseInterval is the time without a rejection after which the bound of a brittle
	// target rises by one.
	raiseInterval = time.Second
	// lingerTime is how long a brittle target may work on a request whose connection has
	// broken, and cancelTime how long on one that was cancelled.
	lingerTime = 2 * time.Second
	cancelTime = 150 * time.Millisecond
	// settlingTime is the time after a takeover within which hosts may hold slots that are
	// not known here. The hosts report theirs each second.
	settlingTime = 1200 * time.Millisecond
	// brittleLifetime is how long a target is brittle that has not said so again.
	brittleLifetime = 10 * time.Second
)

// brittleness bounds the requests at a target that falls over if it has to turn more than
// a number of requests away in a second. The zero value bounds nothing.
type brittleness struct {
	statedAt time.Time
	// stated is whether the target has said that it is brittle, or that it is not any more.
	stated  bool
	brittle bool
	// maxRejections is the number of requests that it may turn away in a second, as far as
	// this scheduler may use it.
	maxRejections float64
	// reduction is by how much the target takes less than its slots, as rejections show.
	// raisedAt is when it was last changed.
	reduction int
	raisedAt  time.Time
	// rejections are the times of the latest rejections.
	rejections []time.Time
	// lingering are the times until which requests whose slots were released may still be
	// at the target.
	lingering []time.Time
	// settling is the number of grants since the last takeover, up to settlingTime after it.
	settling int
}

// state applies a statement unless a later one is known.
func (b *brittleness) state(s LimitStatement, share float64) {
	if b.stated && !s.At.After(b.statedAt) {
		return
	}
	b.statedAt, b.stated, b.brittle = s.At, true, s.Brittle
	b.maxRejections = float64(s.MaxRejections) * share
}

// applies reports whether the target itself says that it is brittle.
func (b *brittleness) applies(now time.Time) bool {
	return b.brittle && now.Sub(b.statedAt) < brittleLifetime
}

// recordOutcome takes account of a request that has ended. inUse is the number of slots
// that remain in use.
func (b *brittleness) recordOutcome(now time.Time, outcome Outcome, slots, inUse int) {
	b.prune(now)
	switch outcome {
	case NotRun:
		b.rejections = append(b.rejections, now)
		b.reduction = max(b.reduction, min(slots-inUse, slots-1))
		b.raisedAt = now
	case ConnectionLost, Silent:
		b.lingering = append(b.lingering, now.Add(lingerTime))
	case Abandoned:
		b.lingering = append(b.lingering, now.Add(cancelTime))
	}
}

// prune forgets what has passed.
func (b *brittleness) prune(now time.Time) {
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	b.lingering = slices.DeleteFunc(b.lingering, func(until time.Time) bool { return !now.Before(until) })
	if steps := int(now.Sub(b.raisedAt) / raiseInterval); b.reduction > 0 && steps > 0 {
		b.reduction = max(b.reduction-steps, 0)
		b.raisedAt = b.raisedAt.Add(time.Duration(steps) * raiseInterval)
	}
}

// allows reports whether a brittle target with a number of slots, of which inUse are in
// use, may be granted to another request. maxRejections is what applies to the target.
func (b *brittleness) allows(now, settledAt time.Time, maxRejections float64, slots, inUse int) bool {
	b.prune(now)
	tolerated := int(maxRejections / 2)
	if len(b.rejections) > tolerated {
		return false
	}
	if now.Before(settledAt) && b.settling >= tolerated {
		return false
	}
	return inUse+len(b.lingering) < slots-brittleMargin-b.reduction || inUse+len(b.lingering) == 0 && len(b.rejections) == 0
}

// brittleLimit returns how many requests a target may turn away in a second. It returns
// false if the target is not brittle. All targets of a service become brittle at once: one
// that has said nothing yet is taken to be what another one says.
func (s *service) brittleLimit(now time.Time, t *target) (maxRejections float64, brittle bool) {
	if t.brittle.stated {
		return t.brittle.maxRejections, t.brittle.applies(now)
	}
	if !s.everBrittle {
		return 0, false
	}
	for _, other := range s.targets {
		if other.brittle.applies(now) {
			return other.brittle.maxRejections, true
		}
	}
	return 0, false
}

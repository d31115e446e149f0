package allocation

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// minLimit is the smallest number of requests a second that a limited target gets.
	// Without any request it could not say that its limit has changed.
	minLimit = 0.2
	// usedShare is the share of a limit that is used. For a short time two coordinators may
	// grant it, each for some of the hosts, without knowing of each other.
	usedShare = 0.7
	// limitBurst is the number of requests that a limited target may get at once after a
	// pause.
	limitBurst = 1
	// limitLifetime is how long a limit applies that the target has not named again.
	limitLifetime = time.Minute
)

// LimitStatement is what an answer of a target says of its own limit, and of being brittle.
type LimitStatement struct {
	Target tables.TargetID
	// TargetStart tells the starts of the target apart, in Unix milliseconds.
	TargetStart int64
	// Limited is true if the target takes PerSecond requests a second from all hosts
	// together. If it is false, the target names no limit.
	Limited   bool
	PerSecond float64
	// Brittle is true if the target falls over when it has to turn more than MaxRejections
	// requests away in a second.
	Brittle       bool
	MaxRejections int
	// At is when the answer arrived if it says either, and otherwise when the request
	// was sent: an answer to an earlier request lifts nothing.
	At time.Time
}

// rateLimit holds back the requests to a target that has named a limit. The zero value
// holds back none.
type rateLimit struct {
	statedAt  time.Time
	limited   bool
	perSecond float64
	// tokens is the number of requests that may be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// state applies a statement unless a later one is known.
func (l *rateLimit) state(now time.Time, s LimitStatement) {
	if !s.At.After(l.statedAt) {
		return
	}
	l.refill(now)
	if !l.limited {
		l.tokens = 0
	}
	l.statedAt, l.limited, l.perSecond = s.At, s.Limited, s.PerSecond
}

// refill adds the tokens since the last refill.
func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.perSecond, limitBurst)
		l.refilledAt = now
	}
}

// applies reports whether requests are held back at all.
func (l *rateLimit) applies(now time.Time) bool {
	return l.limited && now.Sub(l.statedAt) < limitLifetime
}

// allows reports whether a request may be sent now.
func (l *rateLimit) allows(now time.Time) bool {
	if !l.applies(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// take counts a request that is sent now.
func (l *rateLimit) take(now time.Time) {
	if l.applies(now) {
		l.tokens--
	}
}

// giveBack takes off a request that was not sent.
func (l *rateLimit) giveBack() { l.tokens = min(l.tokens+1, limitBurst) }

// slots returns how many of the slots the limit keeps in use if requests last for a time.
func (l *rateLimit) slots(now time.Time, slots int, meanDuration time.Duration) int {
	if !l.applies(now) || meanDuration <= 0 {
		return slots
	}
	return int(math.Min(float64(slots), math.Ceil(l.perSecond*meanDuration.Seconds())))
}

// StateLimit applies what an answer of a target says of its own limit. share is the
// fraction of the limit that this scheduler may use.
func (sched *Scheduler) StateLimit(now time.Time, s LimitStatement, share float64) {
	s.PerSecond = max(usedShare*s.PerSecond, minLimit) * share
	for _, svc := range sched.services {
		if t := svc.targets[s.Target]; t != nil && t.StartedAt.UnixMilli() == s.TargetStart {
			t.limit.state(now, s)
			t.brittle.state(s, share)
			svc.everBrittle = svc.everBrittle || s.Brittle
		}
	}
}

// ResetLimits forgets what limited targets have not used of late: another scheduler may
// have granted it.
func (sched *Scheduler) ResetLimits(now time.Time) {
	sched.settledAt = now.Add(settlingTime)
	for _, s := range sched.services {
		for _, t := range s.targets {
			t.limit.tokens, t.limit.refilledAt = min(t.limit.tokens, 0), now
			t.brittle.settling = 0
		}
	}
}

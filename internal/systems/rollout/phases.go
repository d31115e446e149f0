package rollout

import (
	"math"
	"time"
)

const (
	// stepTime is the time of each step of the shift.
	stepTime = 300 * time.Millisecond
	// minShiftTime is the least time that all steps take when the deadline is close.
	minShiftTime = 3 * minStepTime
	minStepTime  = 100 * time.Millisecond
	// shiftMargin is the time for the steps before all requests are shifted, and statusMargin
	// that for the store and the status at the end.
	shiftMargin  = time.Second
	statusMargin = 500 * time.Millisecond
	// nearDeadline is the time before the deadline at which a verdict is due.
	nearDeadline = 300 * time.Millisecond
	// settleTime is how long all requests are shifted before the version is completed, so
	// that a fault under the whole load shows.
	settleTime = 700 * time.Millisecond
	// verdictPause is the time after a takeover before the end of an order for lack of
	// evidence. A verdict of the coordinator before may still be on its way.
	verdictPause = 500 * time.Millisecond
	// testInterval is the time between two evaluations of the evidence, which is costly for
	// many targets and routes.
	testInterval = 150 * time.Millisecond
	// minObservedShare is the share of the duration that must have passed before the shift.
	minObservedShare = 0.5
)

const (
	// wantedAnswers is the number of responses of the new version that suffice, and
	// minAnswers that for a service with little traffic, of which answeredShare of the
	// possible exposure suffices.
	wantedAnswers = 100
	minAnswers    = 10
	answeredShare = 0.7
	// wantedOnRoute is the number of responses on each route that carries at least
	// busyRouteShare of the requests. A route with a tenth of them in the long run may have
	// less during an order.
	wantedOnRoute  = 30
	busyRouteShare = 0.07
	// maxShiftDoubt is the log-likelihood ratio above which a version is too doubtful for the
	// shift to begin, and maxStepDoubt that above which no further step is taken. The first
	// step brings much evidence within the exposure bound.
	maxShiftDoubt = 4
	maxStepDoubt  = 2.5
)

// steps are the percentages of new requests that are shifted one after another.
var steps = []int{25, 50, allPercent}

// Step is a change of the phase or of the percentage.
type Step struct {
	Status
	// Finding is the evidence against the version, the strongest one.
	Finding Finding
	// Slowdown is the median of the new targets relative to the old ones; zero if too few
	// responses tell it.
	Slowdown float64
	// CrashedTargets counts new targets that crashed lately.
	CrashedTargets int
}

// Advance takes the decisions that are due. oldInUse is the number of slots in use at
// targets of old versions. It returns whether the phase or the percentage changed.
func (c *Controller) Advance(now time.Time, oldInUse int) (Step, bool) {
	if c.restricted || c.phase.Ended() || now.Before(c.pausedUntil.Add(verdictPause-takeoverPause)) {
		return Step{}, false
	}
	c.evidence.roll(now)
	if now.Sub(c.testedAt) >= testInterval {
		c.recent, c.all = c.evidence.findings()
		c.testedAt = now
	}
	recent, all := c.recent, c.all
	step := Step{Finding: all}
	if recent.bad() || recent.Score > all.Score {
		step.Finding = recent
	}
	step.CrashedTargets, _, _, _ = c.crashes(now)
	step.Slowdown = c.evidence.speeds.slowdown()
	before, percent := c.phase, c.percent
	if reason := c.fault(now, step.Slowdown, recent, all); reason != "" {
		c.enter(now, RolledBack, reason)
	} else {
		c.progress(now, oldInUse, max(recent.Doubt, all.Doubt))
	}
	if c.phase == before && c.percent == percent {
		return Step{}, false
	}
	step.Status = Status{
		Record: c.newRecord(), Percent: c.percent, Stored: c.stored,
		OldAnswers: c.evidence.oldTotal, NewAnswers: c.evidence.newTotal, Score: step.Finding.Score,
	}
	return step, true
}

// fault returns why the version is bad; empty if it isn't known to be.
func (c *Controller) fault(now time.Time, slowdown float64, recent, all Finding) Reason {
	switch {
	case recent.bad(), all.bad():
		return BadAnswers
	case slowdown > slowMedian && c.share >= 1:
		// Beside another coordinator the load of the targets is not known, so that what is
		// expected of them is wrong for the few canary targets.
		return Slow
	case c.crashing(now):
		return Crashes
	default:
		return ""
	}
}

// progress moves a version that is not known to be bad towards its end.
func (c *Controller) progress(now time.Time, oldInUse int, doubt float64) {
	late := !now.Before(c.deadline().Add(-nearDeadline - statusMargin))
	near := !now.Before(c.deadline().Add(-nearDeadline))
	switch {
	case len(c.old) == 0 && c.hasNoOld(now) && (near || c.observedEnough(now)):
		c.enter(now, Completed, NoOldTargets)
	case near && c.percent == allPercent:
		c.enter(now, Completed, DeadlineNear)
	case near:
		c.enter(now, RolledBack, Unproven)
	case c.phase == Observing:
		if c.exposing(now) && c.mayShift(now, doubt) {
			c.enter(now, Shifting, "")
		}
	case c.percent == allPercent:
		if oldInUse == 0 && now.Sub(c.steppedAt) >= settleTime && (doubt < 0 || late) {
			c.enter(now, Completed, Drained)
		}
	case c.stored && c.exposing(now) && c.percent == 0:
		c.takeStep(now)
	case c.stored && c.exposing(now) && doubt < maxStepDoubt:
		c.takeStep(now)
	}
}

// takeStep raises the percentage when the time of the last step is over. The steps are
// shorter if the deadline is so close that all requests would not be shifted by then.
func (c *Controller) takeStep(now time.Time) {
	next := 0
	for steps[next] <= c.percent {
		next++
	}
	left := c.deadline().Add(-nearDeadline).Sub(now)
	length := max(min(stepTime, left/time.Duration(len(steps)-next+1)), 0)
	if c.percent > 0 && now.Sub(c.steppedAt) < length {
		return
	}
	c.percent = steps[next]
	c.steppedAt = now
}

func (c *Controller) observedEnough(now time.Time) bool {
	return now.Sub(c.begun) >= time.Duration(minObservedShare*float64(c.order.Duration))
}

// mayShift reports whether the shift is due and the evidence suffices.
func (c *Controller) mayShift(now time.Time, doubt float64) bool {
	begin := c.deadline().Add(-c.drainTime() - shiftMargin - statusMargin)
	last := c.deadline().Add(-nearDeadline - minShiftTime)
	due := !now.Before(begin) && !now.After(last) && c.observedEnough(now)
	return due && doubt < maxShiftDoubt && c.proven()
}

// proven reports whether there are enough responses of the new version, in all and on each
// busy route.
func (c *Controller) proven() bool {
	answers, granted, goal := 0, 0, 0.0
	for _, n := range c.evidence.warm {
		answers += n
	}
	for route, n := range c.exposure.granted {
		granted += n
		goal += c.exposure.goal[route]
	}
	if float64(answers) < min(wantedAnswers, max(minAnswers, answeredShare*goal)) {
		return false
	}
	for route, n := range c.exposure.granted {
		busy := float64(n) >= busyRouteShare*float64(granted)
		wanted := math.Floor(min(wantedOnRoute, answeredShare*c.exposure.goal[route]))
		if busy && float64(c.evidence.warm[route]) < wanted {
			return false
		}
	}
	return true
}

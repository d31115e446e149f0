package place

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/pace"
)

const (
	// firstEjection is how long a target rests after a broken connection; each
	// further one doubles it up to maxEjection.
	firstEjection = 300 * time.Millisecond
	maxEjection   = 4 * time.Second
	// replacedRest is how long a target rests whose address another one has; its
	// entry is gone or renewed before that.
	replacedRest = 10 * time.Second
	// failingShare of the answers, after failingAfter of them, rests a target.
	failingShare = 0.5
	failingAfter = 6
	// failureWeight is that of a new answer in the share of failures.
	failureWeight = 0.15
	// turnaround is the time from the end of a request at a target until the next
	// one that the home sends there arrives.
	turnaround = 10 * time.Millisecond
	// maxSpareShare bounds the requests beyond the slots of a target, as a part
	// of these.
	maxSpareShare = 3
	// unknownSlots bounds the requests at a target that has answered none yet.
	unknownSlots = 2
)

// target is one copy of a service with what is in use there.
type target struct {
	fleet.Target
	speed pace.Speed
	// open counts the places in use.
	open int
	// reading holds the grants whose first byte is still to come.
	reading map[ID]*grant
	// readUntil is when the target will have read the prompts it was given.
	readUntil time.Time
	// breaks counts broken connections in a row.
	breaks       int
	ejectedUntil time.Time
	// failures is the recent share of failed answers of the target.
	failures float64
	answers  int
	// gone targets are kept while places there are in use.
	gone bool
}

// grant is a place in use.
type grant struct {
	ask    *Ask
	target *target
	at     time.Time
	// unscaled is the time to the first byte that was foreseen for a target of
	// speed 1; zero when another home gave the place.
	unscaled time.Duration
	// alone is true when no other prompt was being read.
	alone bool
}

func newTarget(t fleet.Target) *target {
	return &target{Target: t, reading: make(map[ID]*grant)}
}

// places is the number of requests that the target may have at once, when a
// request takes a mean time there. It gets a few more than it serves, which
// wait there for the next end: a slot would otherwise stay empty while the home
// hears of the end and the next request travels.
func (t *target) places(mean time.Duration) int {
	if !t.speed.Known() {
		return min(unknownSlots, t.Slots)
	}
	if mean <= 0 {
		return t.Slots
	}
	spare := math.Ceil(float64(t.Slots) * float64(turnaround) / float64(mean))
	return t.Slots + min(int(spare), t.Slots/maxSpareShare)
}

// usable reports whether a new request may go to the target.
func (t *target) usable(now time.Time) bool {
	return !t.gone && !t.Leaving && !now.Before(t.ejectedUntil)
}

// backlog is the time until the prompts given to the target are read.
func (t *target) backlog(now time.Time) time.Duration {
	return max(t.readUntil.Sub(now), 0)
}

func (t *target) admit(now time.Time, g *grant, reading time.Duration) {
	t.open++
	g.alone = len(t.reading) == 0
	t.reading[g.ask.ID] = g
	t.readUntil = now.Add(t.backlog(now) + reading)
}

// firstByte notes that the prompt of g was read; prompts are read in order, so
// those that came later are still to be read.
func (t *target) firstByte(now time.Time, g *grant, shape *pace.Shape) {
	delete(t.reading, g.ask.ID)
	left := time.Duration(0)
	for _, other := range t.reading {
		left += t.speed.Scale(shape.Reading(other.ask.Prompt))
	}
	t.readUntil = now.Add(left)
}

func (t *target) release(now time.Time, g *grant, outcome Outcome, shape *pace.Shape) {
	t.open--
	if _, unread := t.reading[g.ask.ID]; unread {
		t.firstByte(now, g, shape)
	}
	switch outcome {
	case Broken:
		t.broke(now)
	case Replaced:
		t.ejectedUntil = now.Add(replacedRest)
	case Good:
		t.answered(now, 0)
	case Failed, NotRun:
		t.answered(now, 1)
	case Left, Unused:
	}
}

func (t *target) broke(now time.Time) {
	rest := min(firstEjection<<min(t.breaks, 8), maxEjection)
	t.breaks++
	t.ejectedUntil = now.Add(rest)
}

func (t *target) answered(now time.Time, failure float64) {
	t.breaks = 0
	t.answers++
	t.failures += failureWeight * (failure - t.failures)
	if t.failures > failingShare && t.answers >= failingAfter {
		t.ejectedUntil = now.Add(firstEjection)
		t.answers = 0
		t.failures = failingShare / 2
	}
}

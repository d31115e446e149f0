package allocation_test

import (
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const limitedPerSecond = 4.3

// limitWorld is a scheduler with targets and more slot requests than they can take.
type limitWorld struct {
	*allocation.Scheduler
	now    time.Time
	nextID allocation.ID
	grants map[tables.TargetID][]time.Time
}

var limitStart = time.Unix(1_700_000_000, 0)

func newLimitWorld(targets ...tables.TargetID) *limitWorld {
	w := &limitWorld{Scheduler: allocation.NewScheduler(func() float64 { return 0 }), now: limitStart, grants: make(map[tables.TargetID][]time.Time)}
	w.setTargets(limitStart, targets...)
	return w
}

func (w *limitWorld) setTargets(startedAt time.Time, targets ...tables.TargetID) {
	var list []fleet.Target
	for _, id := range targets {
		list = append(list, fleet.Target{ID: id, Service: "s", Address: string(id), Slots: 8, StartedAt: startedAt})
	}
	w.SetTargets(list)
}

// state makes a target of a start name a limit, or none, at a time.
func (w *limitWorld) state(at time.Time, startedAt time.Time, limited bool, perSecond, share float64) {
	w.StateLimit(w.now, allocation.LimitStatement{Target: "t", TargetStart: startedAt.UnixMilli(), Limited: limited, PerSecond: perSecond, At: at}, share)
}

// play lets requests wait all the time, and ends each at once with an outcome.
func (w *limitWorld) play(length time.Duration, outcome allocation.Outcome) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for w.Queued() < 20 {
			w.nextID++
			w.Enqueue(&allocation.SlotRequest{ID: w.nextID, Service: "s", ArrivedAt: w.now, FirstByteDue: w.now.Add(time.Second), QueueDeadline: w.now.Add(time.Minute)})
		}
		for _, d := range w.Schedule(w.now) {
			if d.Target != "" {
				w.grants[d.Target] = append(w.grants[d.Target], w.now)
				w.RecordFirstByte(w.now, d.Request.ID, time.Millisecond)
				w.Release(w.now, d.Request.ID, outcome)
			}
		}
	}
}

// grantedIn returns the number of grants of a target in a window that begins at a time.
func (w *limitWorld) grantedIn(id tables.TargetID, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range w.grants[id] {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func TestLimitedTargetIsGrantedWhatItTakes(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond, share float64
		least, most      int
	}{
		"fraction":               {limitedPerSecond, 1, 10, 18},
		"a third, as a fallback": {limitedPerSecond, 1. / 3, 3, 6},
		"zero":                   {0, 1, 1, 2},
		"huge":                   {1e6, 1, 400, 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLimitWorld("t", "other")
			w.state(limitStart.Add(time.Millisecond), limitStart, true, c.perSecond, c.share)
			w.play(20*time.Second, allocation.Succeeded)
			for from := time.Duration(0); from < 16*time.Second; from += 500 * time.Millisecond {
				if n := w.grantedIn("t", limitStart.Add(from), 4*time.Second); n > c.most {
					t.Errorf("%d grants in the 4 s from %s, at most %d expected", n, from, c.most)
				}
			}
			if n := w.grantedIn("t", limitStart.Add(12*time.Second), 8*time.Second); n < c.least {
				t.Errorf("%d grants in the last 8 s, at least %d expected", n, c.least)
			}
		})
	}
}

func TestLimitEndsWithALaterAnswerThatNamesNone(t *testing.T) {
	named := limitStart.Add(100 * time.Millisecond)
	for name, c := range map[string]struct {
		at     time.Time
		start  time.Time
		lifted bool
	}{
		"sent after the limit was named":  {named.Add(time.Millisecond), limitStart, true},
		"sent before the limit was named": {named.Add(-time.Millisecond), limitStart, false},
		"of another start":                {named.Add(time.Millisecond), limitStart.Add(time.Hour), false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLimitWorld("t")
			w.state(named, limitStart, true, limitedPerSecond, 1)
			w.play(2*time.Second, allocation.Succeeded)
			w.state(c.at, c.start, false, 0, 1)
			w.grants = make(map[tables.TargetID][]time.Time)
			w.play(2*time.Second, allocation.Succeeded)
			if lifted := len(w.grants["t"]) > 50; lifted != c.lifted {
				t.Errorf("%d grants in 2 s, lifted %v expected", len(w.grants["t"]), c.lifted)
			}
		})
	}
}

func TestLimitEndsWithTheStartOfTheTargetAndWithTime(t *testing.T) {
	for name, end := range map[string]func(w *limitWorld){
		"another start": func(w *limitWorld) { w.setTargets(limitStart.Add(time.Hour), "t") },
		"not named again for long": func(w *limitWorld) {
			w.now = w.now.Add(2 * time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLimitWorld("t")
			w.state(limitStart, limitStart, true, limitedPerSecond, 1)
			w.play(time.Second, allocation.Succeeded)
			end(w)
			w.grants = make(map[tables.TargetID][]time.Time)
			w.play(2*time.Second, allocation.Succeeded)
			if len(w.grants["t"]) < 50 {
				t.Errorf("%d grants in 2 s", len(w.grants["t"]))
			}
		})
	}
}

func TestNewCoordinatorGrantsNothingForThePauseOfALimitedTarget(t *testing.T) {
	w := newLimitWorld("t")
	w.state(limitStart, limitStart, true, limitedPerSecond, 1)
	w.now = w.now.Add(5 * time.Second)
	w.ResetLimits(w.now)
	w.play(100*time.Millisecond, allocation.Succeeded)
	if len(w.grants["t"]) > 0 {
		t.Errorf("%d grants at once", len(w.grants["t"]))
	}
}

func TestUnusedGrantDoesNotCountAgainstALimit(t *testing.T) {
	w := newLimitWorld("t")
	w.state(limitStart, limitStart, true, limitedPerSecond, 1)
	w.now = w.now.Add(time.Second)
	w.play(100*time.Millisecond, allocation.Unused)
	if len(w.grants["t"]) < 5 {
		t.Errorf("%d grants that were given back in 0.1 s", len(w.grants["t"]))
	}
}

// Package model runs the claim and settle systems of several hosts against a
// model of the log and of targets, in virtual time and from a seed. Hosts
// pause, crash and restart, messages and answers get lost, appends take effect
// late, and the log has outages and forgets. Check states what must hold in
// every history.
package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the time at which every history begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim is the event queue and the source of randomness of one history.
type sim struct {
	rng   *rand.Rand
	time  time.Time
	order uint64
	queue events
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 1)), time: epoch}
}

// after runs f when d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.time.Add(max(d, 0)), order: s.order, run: f})
}

// run works off the events until end.
func (s *sim) run(end time.Time) {
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.time = e.at
		e.run()
	}
}

// chance is true with probability p.
func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// between returns a duration in [low, high).
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// delay returns the time of one message, which is sometimes long.
func (s *sim) delay() time.Duration {
	if s.chance(0.05) {
		return s.between(100*time.Millisecond, 2*time.Second)
	}
	return s.between(time.Millisecond, 10*time.Millisecond)
}

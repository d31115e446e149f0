// Package model tests the claim system, the resolution of unknown outcomes and
// streamed answers with simulated hosts, a simulated log and simulated targets. A
// history is one simulation in virtual time, determined by its seed. In a history,
// hosts pause, crash and restart, messages and their replies are lost, appends take
// effect late, and the log has outages and drops old records. At the end of a
// history, the guarantees of the system are checked.
package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim is the event queue, the virtual clock and the random number generator of one
// simulation.
type sim struct {
	rng     *rand.Rand
	now     time.Time
	lastSeq uint64
	queue   eventQueue
}

// event is a function to call at a virtual time. Events with equal times run in the
// order of seq.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
}

// after schedules f to run after d. A negative d counts as zero.
func (s *sim) after(d time.Duration, f func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), seq: s.lastSeq, run: f})
}

// run runs the scheduled events in order of their time, up to but not including end.
func (s *sim) run(end time.Time) {
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// chance returns true with probability p.
func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// between returns a random duration in [low, high).
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// messageDelay returns a random delivery time of a message: 1 to 10 ms, and in one of
// 20 messages 100 ms to 2 s.
func (s *sim) messageDelay() time.Duration {
	if s.chance(0.05) {
		return s.between(100*time.Millisecond, 2*time.Second)
	}
	return s.between(time.Millisecond, 10*time.Millisecond)
}

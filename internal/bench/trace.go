package bench

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// trace follows what runs and queues where, apart from the policy, and counts
// inversions: a request was refused, or expired before it started, while a
// lower tier ran or queued at a target that fits it.
type trace struct {
	sim        *sim
	active     map[tables.TargetID]*[3]int
	places     map[*job][]tables.TargetID
	started    map[*job]bool
	inversions int
	// waiting are the jobs that have not started.
	waiting map[*job]bool
	// slowStarts are the starts at the straggler out of starts since it is one.
	starts, slowStarts int
}

// longWait is the wait from which a job counts as overtaken when a lower tier
// starts on a target that fits it.
const longWait = time.Second

func newTrace(s *sim) *trace {
	t := &trace{sim: s, active: make(map[tables.TargetID]*[3]int), places: make(map[*job][]tables.TargetID), started: make(map[*job]bool), waiting: make(map[*job]bool)}
	for _, e := range s.engines {
		t.active[e.id] = new([3]int)
	}
	return t
}

// queue notes that j waits for one of the targets.
func (t *trace) queue(j *job, targets []tables.TargetID) {
	t.leave(j)
	t.places[j] = targets
	for _, id := range targets {
		t.active[id][j.tier]++
	}
}

// start notes that j was sent to a target.
func (t *trace) start(j *job, id tables.TargetID) {
	t.queue(j, []tables.TargetID{id})
	t.started[j] = true
	delete(t.waiting, j)
	t.overtake(j, id)
	if !j.class.plain && t.sim.now > t.sim.share(stragglerAt) {
		t.starts++
		if t.sim.engine(id).slow > 1 {
			t.slowStarts++
		}
	}
}

// overtake marks the jobs that have waited long while j, of a lower tier, starts
// on a target that fits them.
func (t *trace) overtake(j *job, id tables.TargetID) {
	for k := range t.waiting {
		if k.tier < j.tier && t.sim.now-k.arrived > longWait && t.sim.engine(id).fits(k.class.service) {
			k.overtaken = true
		}
	}
}

// leave notes that j neither waits nor runs.
func (t *trace) leave(j *job) {
	for _, id := range t.places[j] {
		t.active[id][j.tier]--
	}
	delete(t.places, j)
}

// ended checks the end of j.
func (t *trace) ended(j *job, how ending) {
	t.leave(j)
	delete(t.waiting, j)
	refused := how == endShed || how == endExpired && !t.started[j]
	delete(t.started, j)
	if refused && t.lowerActive(j) {
		t.inversions++
	}
}

func (t *trace) lowerActive(j *job) bool {
	for _, e := range t.sim.engines {
		if !e.fits(j.class.service) {
			continue
		}
		for _, n := range t.active[e.id][j.tier+1:] {
			if n > 0 {
				return true
			}
		}
	}
	return false
}

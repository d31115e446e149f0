package bench

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// trace tracks where jobs are queued and running, independently of the policy, and
// counts inversions. An inversion is a job that was shed, or that expired before it was
// sent to an engine, while a job of a lower tier was queued or running at a target that
// serves the first job.
type trace struct {
	sim *sim
	// active counts the queued and running jobs by target and tier.
	active map[tables.TargetID]*[3]int
	// targets holds the targets that each job is queued for or sent to.
	targets    map[*job][]tables.TargetID
	started    map[*job]bool
	inversions int
	// waiting holds the open jobs that were not sent to an engine yet.
	waiting map[*job]bool
	// starts counts the model jobs sent to engines after the straggler became slow;
	// stragglerStarts counts those that were sent to the straggler.
	starts, stragglerStarts int
}

// overtakenWait is how long a job must have waited to count as overtaken when a job of
// a lower tier is sent to a target that serves the waiting job.
const overtakenWait = time.Second

func newTrace(s *sim) *trace {
	t := &trace{sim: s, active: make(map[tables.TargetID]*[3]int), targets: make(map[*job][]tables.TargetID), started: make(map[*job]bool), waiting: make(map[*job]bool)}
	for _, e := range s.engines {
		t.active[e.id] = new([3]int)
	}
	return t
}

// enqueue records that j is queued for one of targets.
func (t *trace) enqueue(j *job, targets []tables.TargetID) {
	t.remove(j)
	t.targets[j] = targets
	for _, id := range targets {
		t.active[id][j.tier]++
	}
}

// start records that j was sent to a target.
func (t *trace) start(j *job, id tables.TargetID) {
	t.enqueue(j, []tables.TargetID{id})
	t.started[j] = true
	delete(t.waiting, j)
	t.markOvertaken(j, id)
	if !j.class.plain && t.sim.now > t.sim.fractionOfRun(stragglerAt) {
		t.starts++
		if t.sim.engine(id).slowdown > 1 {
			t.stragglerStarts++
		}
	}
}

// markOvertaken marks the waiting jobs of higher tiers that j overtakes when it is sent
// to target id.
func (t *trace) markOvertaken(j *job, id tables.TargetID) {
	for waiting := range t.waiting {
		if waiting.tier < j.tier && t.sim.now-waiting.arrivedAt > overtakenWait && t.sim.engine(id).serves(waiting.class.service) {
			waiting.overtaken = true
		}
	}
}

// remove records that j is neither queued nor running at a target.
func (t *trace) remove(j *job) {
	for _, id := range t.targets[j] {
		t.active[id][j.tier]--
	}
	delete(t.targets, j)
}

// end records the end of j and counts it if it is an inversion.
func (t *trace) end(j *job, how ending) {
	t.remove(j)
	delete(t.waiting, j)
	refused := how == endShed || how == endExpired && !t.started[j]
	delete(t.started, j)
	if refused && t.lowerTierActive(j) {
		t.inversions++
	}
}

// lowerTierActive reports whether a job of a lower tier than that of j is queued or
// running at a target that serves j.
func (t *trace) lowerTierActive(j *job) bool {
	for _, e := range t.sim.engines {
		if !e.serves(j.class.service) {
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

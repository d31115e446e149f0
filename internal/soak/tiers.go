package soak

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// shedKinds are refusals that give way to other requests.
var shedKinds = map[errkind.Kind]bool{errkind.Overloaded: true, errkind.Displaced: true, errkind.Preempted: true}

// waitMargin is left out at both ends of a wait, for the time that messages
// take.
const waitMargin = 500 * time.Millisecond

// modelCall is what the caller of a model request saw.
type modelCall struct {
	name                   string
	rank                   int
	kind                   errkind.Kind
	sent, firstByte, ended time.Time
}

// modelRun is one run of a model request at its target.
type modelRun struct {
	name           string
	rank           int
	started, ended time.Time
}

// modelCalls returns the calls of the model service and their runs.
func (r *run) modelCalls() ([]modelCall, []modelRun) {
	runs := r.h.Runs()
	seen := make(map[tables.RequestID]bool)
	var calls []modelCall
	var ran []modelRun
	for _, c := range r.h.Calls() {
		if c.Request.Operation != "" {
			continue
		}
		result := c.Result()
		rank := rankOf(c.Request.Tier)
		calls = append(calls, modelCall{c.Request.Name, rank, result.Kind, result.Sent, result.FirstByte, result.Ended})
		if run := runs[result.ID]; run.Runs > 0 && !seen[result.ID] {
			seen[result.ID] = true
			ran = append(ran, modelRun{c.Request.Name, rank, run.Started, run.Ended})
		}
	}
	return calls, ran
}

func rankOf(tier string) int {
	for rank, t := range tiers {
		if t.name == tier {
			return rank
		}
	}
	return len(tiers)
}

// inversions finds shed requests while a model request of a lower tier ran all
// the time from the sending to the refusal.
func inversions(calls []modelCall, runs []modelRun) []string {
	var found []string
	for _, c := range calls {
		if !shedKinds[c.kind] {
			continue
		}
		for _, other := range runs {
			covers := other.started.Before(c.sent) && other.ended.After(c.ended)
			if covers && other.rank > c.rank {
				found = append(found, fmt.Sprintf("%s of tier %d was told %s while %s of tier %d ran", c.name, c.rank, c.kind, other.name, other.rank))
				break
			}
		}
	}
	return found
}

// overtakes counts the runs of lower tiers that started while c waited.
func overtakes(c modelCall, runs []modelRun) int {
	from, to := c.sent.Add(waitMargin), c.firstByte.Add(-waitMargin)
	n := 0
	for _, other := range runs {
		if other.rank > c.rank && other.started.After(from) && other.started.Before(to) {
			n++
		}
	}
	return n
}

func (r *run) checkTiers() {
	calls, runs := r.modelCalls()
	for _, detail := range inversions(calls, runs) {
		r.violate(PromiseTiers, "%s", detail)
	}
}

// countOvertaken returns by rank how many calls waited while a request of a
// lower tier started, at whichever target.
func (r *run) countOvertaken() map[int]int {
	calls, runs := r.modelCalls()
	counts := make(map[int]int)
	for _, c := range calls {
		if !c.firstByte.IsZero() && overtakes(c, runs) > 0 {
			counts[c.rank]++
		}
	}
	return counts
}

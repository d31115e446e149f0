package soak

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// sheddingKinds holds the error kinds of requests that were shed in favor of other
// requests.
var sheddingKinds = map[errkind.Kind]bool{errkind.Overloaded: true, errkind.Displaced: true, errkind.Preempted: true}

// waitMargin is excluded at the start and at the end of a wait, to allow for the
// transmission time of messages.
const waitMargin = 500 * time.Millisecond

// modelCall is a model request as observed by its caller. A lower rank means a
// higher tier. firstByte is zero if no byte was received.
type modelCall struct {
	name                   string
	rank                   int
	errKind                errkind.Kind
	sent, firstByte, ended time.Time
}

// modelRun is the latest run of a model request at a target. ended is zero while it
// is running.
type modelRun struct {
	name           string
	rank           int
	started, ended time.Time
}

// modelCalls returns the calls to the model service, and one run for each request
// that ran.
func (r *run) modelCalls() ([]modelCall, []modelRun) {
	runs := r.h.Runs()
	recorded := make(map[tables.RequestID]bool)
	var calls []modelCall
	var modelRuns []modelRun
	for _, c := range r.h.Calls() {
		if c.Request.Operation != "" {
			continue
		}
		result := c.Result()
		rank := rankOf(c.Request.Tier)
		calls = append(calls, modelCall{c.Request.Name, rank, result.Kind, result.Sent, result.FirstByte, result.Ended})
		if run := runs[result.ID]; run.Runs > 0 && !recorded[result.ID] {
			recorded[result.ID] = true
			modelRuns = append(modelRuns, modelRun{c.Request.Name, rank, run.Started, run.Ended})
		}
	}
	return calls, modelRuns
}

// rankOf returns the rank of a tier: 0 for the highest tier, len(tiers) for an
// unknown one.
func rankOf(tier string) int {
	for rank, t := range tiers {
		if t.name == tier {
			return rank
		}
	}
	return len(tiers)
}

// priorityInversions returns a description of each call that was shed while a model
// request of a lower tier was running from before the call was sent until after it
// ended.
func priorityInversions(calls []modelCall, runs []modelRun) []string {
	var found []string
	for _, c := range calls {
		if !sheddingKinds[c.errKind] {
			continue
		}
		for _, other := range runs {
			covers := other.started.Before(c.sent) && other.ended.After(c.ended)
			if covers && other.rank > c.rank {
				found = append(found, fmt.Sprintf("%s of tier %d was refused with %s while %s of tier %d was running", c.name, c.rank, c.errKind, other.name, other.rank))
				break
			}
		}
	}
	return found
}

// countOvertakes counts the runs of lower tiers that started while c waited for its
// first byte.
func countOvertakes(c modelCall, runs []modelRun) int {
	from, to := c.sent.Add(waitMargin), c.firstByte.Add(-waitMargin)
	n := 0
	for _, other := range runs {
		if other.rank > c.rank && other.started.After(from) && other.started.Before(to) {
			n++
		}
	}
	return n
}

// checkTiers adds a violation for each priority inversion.
func (r *run) checkTiers() {
	calls, runs := r.modelCalls()
	for _, detail := range priorityInversions(calls, runs) {
		r.addViolation(GuaranteeTierOrder, "%s", detail)
	}
}

// countOvertaken returns, by rank, how many calls waited for their first byte while
// a request of a lower tier started at any target.
func (r *run) countOvertaken() map[int]int {
	calls, runs := r.modelCalls()
	counts := make(map[int]int)
	for _, c := range calls {
		if !c.firstByte.IsZero() && countOvertakes(c, runs) > 0 {
			counts[c.rank]++
		}
	}
	return counts
}

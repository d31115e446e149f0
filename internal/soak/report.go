package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// Result holds the results of a soak.
type Result struct {
	Elapsed time.Duration
	// Tiers counts calls by tier. Kinds counts the calls without a complete answer
	// by error kind.
	Tiers []TierCount
	Kinds map[errkind.Kind]int
	// Slowest holds the call with the longest duration for each error kind.
	// errkind.None includes the calls with a complete answer.
	Slowest map[errkind.Kind]SlowCall
	// Requests is the number of distinct request IDs that the targets recorded.
	// Dispatches and Runs are the targets' own counts.
	Requests   int
	Dispatches int
	Runs       int
	Appends    int
	Shutdowns  int
	// Faults describes the steps of the plan in order of start time, one line each.
	Faults []string
	// Violations lists the violated guarantees.
	Violations []harness.Violation
}

// SlowCall describes a slow call. Duration is the time from sending to completion.
type SlowCall struct {
	Name     string
	Duration time.Duration
}

// TierCount counts the calls of one tier.
type TierCount struct {
	Tier     string
	Sent     int
	Complete int
	NotRun   int
	// Overtaken counts the calls that waited for their first byte while a request
	// of a lower tier started at any target.
	Overtaken int
	// FirstByte is the histogram of times to first byte, in microseconds.
	FirstByte *hdrhistogram.Histogram
}

const (
	maxFirstByteMicros = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// guarantees lists the checked guarantees in the order of the report.
var guarantees = []string{
	harness.GuaranteeOneDispatch, harness.GuaranteeOneRun, harness.GuaranteeNotRun, harness.GuaranteeRan, harness.GuaranteeCorrectAnswer,
	GuaranteeCompletion, GuaranteeLookup, GuaranteeTierOrder, GuaranteeVersionOrder, GuaranteeLeavingTarget, GuaranteeShutdown, GuaranteePoisonRequest,
}

func (r *run) newResult() *Result {
	r.checkTiers()
	r.checkLeaving()
	r.checkPoison()
	out := &Result{
		Elapsed:    time.Since(r.start),
		Kinds:      make(map[errkind.Kind]int),
		Slowest:    make(map[errkind.Kind]SlowCall),
		Appends:    r.h.Log.Appends(),
		Shutdowns:  r.shutdowns,
		Faults:     r.faultLines(),
		Violations: append(r.h.Audit(), r.violations...),
	}
	for _, run := range r.h.Runs() {
		out.Requests++
		out.Dispatches += run.Dispatches
		out.Runs += run.Runs
	}
	out.countCalls(r.h.Calls())
	for rank, n := range r.countOvertaken() {
		out.Tiers[rank].Overtaken = n
	}
	return out
}

func (r *run) faultLines() []string {
	lines := make([]string, 0, len(r.steps))
	for _, s := range r.steps {
		at := time.Duration(s.startShare * float64(r.opts.Duration))
		lines = append(lines, fmt.Sprintf("%v %s", at.Round(time.Millisecond), s.name))
	}
	return lines
}

func (r *Result) countCalls(calls []*harness.Call) {
	byTier := make(map[string]*TierCount)
	for _, t := range tiers {
		byTier[t.name] = &TierCount{Tier: t.name, FirstByte: hdrhistogram.New(1, maxFirstByteMicros, significantFigures)}
	}
	for _, c := range calls {
		result := c.Result()
		if !result.Complete {
			r.Kinds[result.Kind]++
		}
		if duration := result.Ended.Sub(result.Sent); duration > r.Slowest[result.Kind].Duration {
			r.Slowest[result.Kind] = SlowCall{c.Request.Name + " " + string(result.ID), duration}
		}
		byTier[c.Request.Tier].count(result)
	}
	for _, t := range tiers {
		r.Tiers = append(r.Tiers, *byTier[t.name])
	}
}

func (t *TierCount) count(r harness.Result) {
	t.Sent++
	if r.Complete {
		t.Complete++
	}
	if r.Ran == errkind.RanNo {
		t.NotRun++
	}
	if !r.FirstByte.IsZero() {
		_ = t.FirstByte.RecordValue(r.FirstByte.Sub(r.Sent).Microseconds())
	}
}

// OK reports whether no guarantee was violated.
func (r *Result) OK() bool { return len(r.Violations) == 0 }

// Write writes the report as tables, followed by the faults, the violations and
// the totals.
func (r *Result) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "tier\tsent\tcomplete\tnot run\tovertaken\tfirst byte p50\tp99\n")
	for _, t := range r.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%v\t%v\n", t.Tier, t.Sent, t.Complete, t.NotRun, t.Overtaken, percentile(t.FirstByte, 50), percentile(t.FirstByte, 99))
	}
	fmt.Fprintf(table, "\noutcome without complete answer\tcalls\tlongest\n")
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		long := r.Slowest[k]
		fmt.Fprintf(table, "%s\t%d\t%v %s\n", k, r.Kinds[k], long.Duration.Round(time.Millisecond), long.Name)
	}
	fmt.Fprintf(table, "\nguarantee\tviolations\n")
	for _, guarantee := range guarantees {
		fmt.Fprintf(table, "%s\t%d\n", guarantee, r.countViolations(guarantee))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, line := range r.Faults {
		fmt.Fprintf(w, "fault %s\n", line)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "VIOLATION %s\n", v)
	}
	_, err := fmt.Fprintf(w, "\nelapsed=%v identities=%d dispatches=%d runs=%d appends=%d planned_stops=%d violations=%d\n",
		r.Elapsed.Round(time.Millisecond), r.Requests, r.Dispatches, r.Runs, r.Appends, r.Shutdowns, len(r.Violations))
	return err
}

func (r *Result) countViolations(guarantee string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Guarantee == guarantee {
			n++
		}
	}
	return n
}

func percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
}

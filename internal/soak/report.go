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

// Outcome is what a soak found.
type Outcome struct {
	Elapsed time.Duration
	// Tiers and Kinds count calls.
	Tiers []TierCount
	Kinds map[errkind.Kind]int
	// Longest are the calls that took longest to their end, by the kind of it.
	// errkind.None stands for whole answers.
	Longest map[errkind.Kind]LongCall
	// Dispatches, Runs and Identities are the targets' own counts.
	Identities int
	Dispatches int
	Runs       int
	Appends    int
	Stops      int
	// Faults are the steps of the plan in order of time, each a line.
	Faults []string
	// Violations are the broken promises.
	Violations []harness.Violation
}

// LongCall is a call that took long to its end.
type LongCall struct {
	Name     string
	Duration time.Duration
}

// TierCount counts the calls of one tier.
type TierCount struct {
	Tier   string
	Sent   int
	Whole  int
	NotRun int
	// Overtaken calls waited for their first byte while a request of a lower
	// tier started at some target.
	Overtaken int
	// FirstByte is the histogram of times to the first byte in microseconds.
	FirstByte *hdrhistogram.Histogram
}

const (
	maxFirstByteMicros = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// promises are the rows of the table.
var promises = []string{
	harness.PromiseOneDispatch, harness.PromiseOneRun, harness.PromiseNotRun, harness.PromiseRan, harness.PromiseOwnAnswer,
	PromiseEnds, PromiseLookup, PromiseTiers, PromiseVersions, PromiseLeaving, PromiseStops, PromisePoison,
}

func (r *run) report() *Outcome {
	r.checkTiers()
	r.checkLeaving()
	r.checkPoison()
	out := &Outcome{
		Elapsed:    time.Since(r.start),
		Kinds:      make(map[errkind.Kind]int),
		Longest:    make(map[errkind.Kind]LongCall),
		Appends:    r.h.Log.Appends(),
		Stops:      r.plannedStops,
		Faults:     r.faultLines(),
		Violations: append(r.h.Audit(), r.violations...),
	}
	for _, run := range r.h.Runs() {
		out.Identities++
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
		at := time.Duration(s.at * float64(r.opts.Duration))
		lines = append(lines, fmt.Sprintf("%v %s", at.Round(time.Millisecond), s.name))
	}
	return lines
}

func (o *Outcome) countCalls(calls []*harness.Call) {
	byTier := make(map[string]*TierCount)
	for _, t := range tiers {
		byTier[t.name] = &TierCount{Tier: t.name, FirstByte: hdrhistogram.New(1, maxFirstByteMicros, significantFigures)}
	}
	for _, c := range calls {
		result := c.Result()
		if !result.Whole {
			o.Kinds[result.Kind]++
		}
		if took := result.Ended.Sub(result.Sent); took > o.Longest[result.Kind].Duration {
			o.Longest[result.Kind] = LongCall{c.Request.Name + " " + string(result.ID), took}
		}
		byTier[c.Request.Tier].count(result)
	}
	for _, t := range tiers {
		o.Tiers = append(o.Tiers, *byTier[t.name])
	}
}

func (t *TierCount) count(r harness.Result) {
	t.Sent++
	if r.Whole {
		t.Whole++
	}
	if r.Ran == errkind.RanNo {
		t.NotRun++
	}
	if !r.FirstByte.IsZero() {
		_ = t.FirstByte.RecordValue(r.FirstByte.Sub(r.Sent).Microseconds())
	}
}

// OK reports whether every promise held.
func (o *Outcome) OK() bool { return len(o.Violations) == 0 }

// Write writes the outcome as tables.
func (o *Outcome) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "tier\tsent\twhole\tnot run\tovertaken\tfirst byte p50\tp99\n")
	for _, t := range o.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%v\t%v\n", t.Tier, t.Sent, t.Whole, t.NotRun, t.Overtaken, quantile(t.FirstByte, 50), quantile(t.FirstByte, 99))
	}
	fmt.Fprintf(table, "\nend without a whole answer\tcalls\tlongest\n")
	for _, k := range slices.Sorted(maps.Keys(o.Kinds)) {
		long := o.Longest[k]
		fmt.Fprintf(table, "%s\t%d\t%v %s\n", k, o.Kinds[k], long.Duration.Round(time.Millisecond), long.Name)
	}
	fmt.Fprintf(table, "\npromise\tviolations\n")
	for _, promise := range promises {
		fmt.Fprintf(table, "%s\t%d\n", promise, o.count(promise))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, line := range o.Faults {
		fmt.Fprintf(w, "fault %s\n", line)
	}
	for _, v := range o.Violations {
		fmt.Fprintf(w, "VIOLATION %s\n", v)
	}
	_, err := fmt.Fprintf(w, "\nelapsed=%v identities=%d dispatches=%d runs=%d appends=%d planned_stops=%d violations=%d\n",
		o.Elapsed.Round(time.Millisecond), o.Identities, o.Dispatches, o.Runs, o.Appends, o.Stops, len(o.Violations))
	return err
}

func (o *Outcome) count(promise string) int {
	n := 0
	for _, v := range o.Violations {
		if v.Promise == promise {
			n++
		}
	}
	return n
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
}

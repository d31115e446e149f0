package bench

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Runs selects the runs of a report: every combination of a profile, a policy, a load
// and a seed.
type Runs struct {
	Profiles []string
	Policies []string
	// Loads are the offered loads as multiples of the capacity of the engines.
	Loads []float64
	// Seeds is the number of seeds; they start at 1.
	Seeds int
	// Length is the virtual time during which the requests of one run arrive.
	Length time.Duration
	// Workers is the number of concurrent runs.
	Workers int
}

// RunAll executes all runs and returns their results, ordered by the positions of the
// profile, load, policy and seed in r. If runs fail, the error is that of one
// of them.
func RunAll(r Runs) ([]Result, error) {
	type outcome struct {
		index  int
		result Result
		err    error
	}
	var runs []func() (Result, error)
	for _, profile := range r.Profiles {
		for _, load := range r.Loads {
			for _, policy := range r.Policies {
				for seed := 1; seed <= r.Seeds; seed++ {
					runs = append(runs, func() (Result, error) { return Run(profile, policy, load, uint64(seed), r.Length) })
				}
			}
		}
	}
	next := make(chan int, len(runs))
	for i := range runs {
		next <- i
	}
	close(next)
	done := make(chan outcome)
	for range max(r.Workers, 1) {
		go func() {
			for i := range next {
				result, err := runs[i]()
				done <- outcome{i, result, err}
			}
		}()
	}
	results := make([]Result, len(runs))
	var firstErr error
	for range runs {
		o := <-done
		results[o.index] = o.result
		if o.err != nil && firstErr == nil {
			firstErr = o.err
		}
	}
	return results, firstErr
}

// WriteTable writes one row per profile, load, policy and tier, and one for the plain
// services. Values are medians over the seeds, some with their range.
func WriteTable(w io.Writer, results []Result) {
	fmt.Fprintf(w, "%-9s %4s %-24s %-5s %-22s %-8s %9s %9s %6s %9s %22s %22s %10s %9s %9s %9s\n",
		"profile", "load", "policy", "tier", "goodput [range]", "lost", "ttft p95", "gap p95", "shed", "cancelled", "wasted [range]", "work [range]", "inversions", "overtaken", "least", "straggler")
	for _, group := range bySeed(results) {
		first := group[0]
		for i := range first.rows() {
			tier := func(f func(TierResult) float64) []float64 {
				return collect(group, func(r Result) float64 { return f(r.rows()[i]) })
			}
			fmt.Fprintf(w, "%-9s %4.1f %-24s %-5s %-22s %-8.4f %9s %9s %6.0f %9.0f %22s %22s %10.0f %9.0f %9.4f %9.4f\n",
				first.Profile, first.Load, first.Policy, rowName(first, i),
				medianAndRange(tier(TierResult.Goodput)), median(tier(TierResult.FailedShare)),
				millis(median(tier(func(t TierResult) float64 { return float64(t.FirstTokenP95) }))),
				millis(median(tier(func(t TierResult) float64 { return float64(t.TokenGapP95) }))),
				median(tier(func(t TierResult) float64 { return float64(t.Shed) })),
				median(tier(func(t TierResult) float64 { return float64(t.Cancelled) })),
				medianAndRange(collect(group, Result.WastedShare)),
				medianAndRange(collect(group, func(r Result) float64 { return r.Utilization })),
				median(collect(group, func(r Result) float64 { return float64(r.Inversions) })),
				median(tier(func(t TierResult) float64 { return float64(t.Overtaken) })),
				median(tier(func(t TierResult) float64 { return t.MinCustomerGoodput })),
				median(collect(group, func(r Result) float64 { return r.StragglerStartShare })))
		}
	}
}

// rows returns the results of the tiers, followed by those of the plain services.
func (r Result) rows() []TierResult { return append(slices.Clone(r.Tiers), r.Plain) }

func rowName(r Result, i int) string {
	if i == len(r.Tiers) {
		return "plain"
	}
	return strconv.Itoa(i)
}

func millis(ns float64) string { return strconv.Itoa(int(ns/float64(time.Millisecond))) + "ms" }

// collect returns the values of f for a group of results, sorted.
func collect(group []Result, f func(Result) float64) []float64 {
	out := make([]float64, len(group))
	for i, r := range group {
		out[i] = f(r)
	}
	slices.Sort(out)
	return out
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

func medianAndRange(sorted []float64) string {
	return fmt.Sprintf("%.4f [%.4f-%.4f]", median(sorted), sorted[0], sorted[len(sorted)-1])
}

// bySeed groups adjacent results that have the same profile, load and policy.
func bySeed(results []Result) [][]Result {
	var out [][]Result
	for _, r := range results {
		last := len(out) - 1
		if last >= 0 && compareRuns(out[last][0], r) == 0 {
			out[last] = append(out[last], r)
			continue
		}
		out = append(out, []Result{r})
	}
	return out
}

func compareRuns(a, b Result) int {
	return cmp.Or(strings.Compare(a.Profile, b.Profile), cmp.Compare(a.Load, b.Load), strings.Compare(a.Policy, b.Policy))
}

// WriteLines writes one machine-readable line per run and tier, without the plain services.
func WriteLines(w io.Writer, results []Result) {
	for _, r := range results {
		for _, t := range r.Tiers {
			fmt.Fprintf(w, "bench profile=%s load=%.1f seed=%d policy=%s tier=%d goodput=%.4f wasted=%.4f inversions=%d lost=%.4f work=%.4f overtaken=%d least=%.4f straggler=%.4f\n",
				r.Profile, r.Load, r.Seed, r.Policy, t.Tier, t.Goodput(), r.WastedShare(), r.Inversions, t.FailedShare(), r.Utilization, t.Overtaken, t.MinCustomerGoodput, r.StragglerStartShare)
		}
	}
}

// WriteCSV writes a header and, for each run, one record per tier and one for the plain
// services.
func WriteCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	records := [][]string{{"profile", "load", "seed", "policy", "tier", "offered", "goodput", "shed", "cancelled", "expired", "late", "failed",
		"ttft_p95_ms", "gap_p95_ms", "prefill_tokens", "wasted_prefill_tokens", "work", "inversions",
		"overtaken", "least_customer_goodput", "straggler_starts"}}
	for _, r := range results {
		for i, t := range r.rows() {
			records = append(records, csvRecord(r, rowName(r, i), t))
		}
	}
	return out.WriteAll(records)
}

func csvRecord(r Result, row string, t TierResult) []string {
	return []string{r.Profile, fmt.Sprint(r.Load), fmt.Sprint(r.Seed), r.Policy, row, fmt.Sprint(t.Offered), fmt.Sprintf("%.4f", t.Goodput()),
		fmt.Sprint(t.Shed), fmt.Sprint(t.Cancelled), fmt.Sprint(t.Expired), fmt.Sprint(t.Late), fmt.Sprint(t.Failed),
		fmt.Sprint(t.FirstTokenP95.Milliseconds()), fmt.Sprint(t.TokenGapP95.Milliseconds()),
		fmt.Sprint(r.PrefillTokens), fmt.Sprint(r.WastedPrefill), fmt.Sprintf("%.4f", r.Utilization), fmt.Sprint(r.Inversions),
		fmt.Sprint(t.Overtaken), fmt.Sprintf("%.4f", t.MinCustomerGoodput), fmt.Sprintf("%.4f", r.StragglerStartShare)}
}

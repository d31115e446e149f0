package model

import (
	"fmt"
	"reflect"

	"golang.org/x/sync/errgroup"
)

// Result is the sum of the results of several histories.
type Result struct {
	Histories uint64
	Count     Count
	// FailedHistories is the number of histories with at least one violation.
	FailedHistories int
	// Violations holds at most maxViolations violations, each with the seed of its history.
	Violations []string
}

// maxViolations is the maximum number of violations that a Result holds.
const maxViolations = 20

// RunFunc simulates the history of a seed. It returns the event counts and the
// violations of guarantees. Run and RunStreams are of this type.
type RunFunc func(seed uint64, rules Rules) (Count, []string)

// RunMany simulates n histories with consecutive seeds from firstSeed on, in the
// given number of goroutines.
func RunMany(run RunFunc, firstSeed, n uint64, workers int, rules Rules) Result {
	results := make([]Result, workers)
	var g errgroup.Group
	for i := range results {
		g.Go(func() error {
			for seed := firstSeed + uint64(i); seed < firstSeed+n; seed += uint64(workers) {
				c, violations := run(seed, rules)
				results[i].add(Result{Histories: 1, Count: c, FailedHistories: min(1, len(violations)), Violations: prefixSeed(seed, violations)})
			}
			return nil
		})
	}
	_ = g.Wait()
	var total Result
	for _, r := range results {
		total.add(r)
	}
	return total
}

// FirstViolation simulates up to n histories with consecutive seeds from firstSeed
// on. It returns the violations of the first history that has any, or nil.
func FirstViolation(run RunFunc, firstSeed, n uint64, rules Rules) []string {
	for seed := firstSeed; seed < firstSeed+n; seed++ {
		if _, violations := run(seed, rules); len(violations) > 0 {
			return prefixSeed(seed, violations)
		}
	}
	return nil
}

// prefixSeed puts the seed in front of each violation.
func prefixSeed(seed uint64, violations []string) []string {
	lines := make([]string, 0, len(violations))
	for _, v := range violations {
		lines = append(lines, fmt.Sprintf("seed %d: %s", seed, v))
	}
	return lines
}

// add adds the counters and violations of other.
func (r *Result) add(other Result) {
	r.Histories += other.Histories
	r.FailedHistories += other.FailedHistories
	r.Violations = append(r.Violations, other.Violations...)
	r.Violations = r.Violations[:min(len(r.Violations), maxViolations)]
	r.Count.add(other.Count)
}

// add adds every counter of other.
func (c *Count) add(other Count) {
	total, added := reflect.ValueOf(c).Elem(), reflect.ValueOf(other)
	for i := range total.NumField() {
		field := total.Field(i)
		if field.Kind() != reflect.Map {
			field.SetInt(field.Int() + added.Field(i).Int())
			continue
		}
		if field.IsNil() {
			field.Set(reflect.MakeMap(field.Type()))
		}
		for _, key := range added.Field(i).MapKeys() {
			n := added.Field(i).MapIndex(key).Int()
			if old := field.MapIndex(key); old.IsValid() {
				n += old.Int()
			}
			field.SetMapIndex(key, reflect.ValueOf(int(n)))
		}
	}
}

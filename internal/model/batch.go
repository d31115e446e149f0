package model

import (
	"fmt"
	"reflect"

	"golang.org/x/sync/errgroup"
)

// Result sums up many histories.
type Result struct {
	Histories uint64
	Count     Count
	// Broken counts the histories that broke a promise.
	Broken int
	// Failures are the first of them, each with its seed.
	Failures []string
}

const maxFailures = 20

// Play plays the history of a seed, as Run does.
type Play func(seed uint64, rules Rules) (Count, []string)

// RunMany plays n histories from the seed first on, with workers at once.
func RunMany(play Play, first, n uint64, workers int, rules Rules) Result {
	results := make([]Result, workers)
	var g errgroup.Group
	for i := range results {
		g.Go(func() error {
			for seed := first + uint64(i); seed < first+n; seed += uint64(workers) {
				c, failures := play(seed, rules)
				results[i].add(Result{Histories: 1, Count: c, Broken: min(1, len(failures)), Failures: withSeed(seed, failures)})
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

// FirstBroken plays up to n histories from the seed first on, until one breaks a
// promise, and returns what it broke.
func FirstBroken(play Play, first, n uint64, rules Rules) []string {
	for seed := first; seed < first+n; seed++ {
		if _, failures := play(seed, rules); len(failures) > 0 {
			return withSeed(seed, failures)
		}
	}
	return nil
}

func withSeed(seed uint64, failures []string) []string {
	out := make([]string, 0, len(failures))
	for _, f := range failures {
		out = append(out, fmt.Sprintf("seed %d: %s", seed, f))
	}
	return out
}

func (r *Result) add(other Result) {
	r.Histories += other.Histories
	r.Broken += other.Broken
	r.Failures = append(r.Failures, other.Failures...)
	r.Failures = r.Failures[:min(len(r.Failures), maxFailures)]
	r.Count.add(other.Count)
}

// add adds every counter of other.
func (c *Count) add(other Count) {
	sum, more := reflect.ValueOf(c).Elem(), reflect.ValueOf(other)
	for i := range sum.NumField() {
		field := sum.Field(i)
		if field.Kind() != reflect.Map {
			field.SetInt(field.Int() + more.Field(i).Int())
			continue
		}
		if field.IsNil() {
			field.Set(reflect.MakeMap(field.Type()))
		}
		for _, key := range more.Field(i).MapKeys() {
			n := more.Field(i).MapIndex(key).Int()
			if old := field.MapIndex(key); old.IsValid() {
				n += old.Int()
			}
			field.SetMapIndex(key, reflect.ValueOf(int(n)))
		}
	}
}

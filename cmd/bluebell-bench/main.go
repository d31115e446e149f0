// Command bluebell-bench compares scheduling policies in virtual time.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/bench"
)

// gcPercent is the garbage collection target percentage. A high value uses more
// memory but saves time, because runs allocate many short-lived objects.
const gcPercent = 400

// options holds the values of the command-line flags.
type options struct {
	profiles, policies, loads string
	seeds, workers            int
	length                    time.Duration
	csv, plots                string
}

func main() {
	o := options{profiles: "workshop,grants", policies: strings.Join(bench.Policies, ","), loads: "0.7,1.0,1.5,2.0",
		seeds: 3, workers: runtime.GOMAXPROCS(0), length: 150 * time.Second}
	flaggy.SetName("bluebell-bench")
	flaggy.SetDescription("Compares scheduling policies in virtual time.")
	flaggy.String(&o.profiles, "", "profiles", "comma-separated list of workload profiles")
	flaggy.String(&o.policies, "", "policies", "comma-separated list of policies")
	flaggy.String(&o.loads, "", "loads", "comma-separated list of ratios of offered load to capacity")
	flaggy.Int(&o.seeds, "", "seeds", "number of random seeds")
	flaggy.Int(&o.workers, "", "workers", "number of concurrent runs")
	flaggy.Duration(&o.length, "", "length", "virtual time during which requests arrive in one run")
	flaggy.String(&o.csv, "", "csv", "file to write the results to, as CSV")
	flaggy.String(&o.plots, "", "plots", "directory to write the plots to")
	flaggy.Parse()
	debug.SetGCPercent(gcPercent)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	loads, err := parseLoads(o.loads)
	if err != nil {
		return err
	}
	if o.seeds < 1 {
		return fmt.Errorf("number of seeds %d is not positive", o.seeds)
	}
	results, err := bench.RunAll(bench.Runs{Profiles: strings.Split(o.profiles, ","), Policies: strings.Split(o.policies, ","),
		Loads: loads, Seeds: o.seeds, Length: o.length, Workers: o.workers})
	if err != nil {
		return err
	}
	bench.WriteTable(os.Stdout, results)
	if err := writeCSV(o.csv, results); err != nil {
		return err
	}
	if o.plots != "" {
		if err := os.MkdirAll(o.plots, 0o755); err != nil {
			return fmt.Errorf("create plot directory: %w", err)
		}
		if err := bench.WritePlots(o.plots, results); err != nil {
			return err
		}
	}
	bench.WriteLines(os.Stdout, results)
	return nil
}

func parseLoads(list string) ([]float64, error) {
	var out []float64
	for _, field := range strings.Split(list, ",") {
		load, err := strconv.ParseFloat(field, 64)
		if err != nil || load <= 0 {
			return nil, fmt.Errorf("load %q is not a positive number", field)
		}
		out = append(out, load)
	}
	return out, nil
}

func writeCSV(path string, results []bench.Result) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create CSV file: %w", err)
	}
	return errors.Join(bench.WriteCSV(f, results), f.Close())
}

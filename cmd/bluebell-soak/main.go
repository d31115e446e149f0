// Command bluebell-soak runs several hosts with embedded stand-ins under load and
// faults and prints a report. It exits with status 0 only if no guarantee was
// violated.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/soak"
)

// Defaults of a run. Flags override the duration and the rate.
const (
	defaultDuration = 60 * time.Second
	defaultHosts    = 13
	defaultEngines  = 12
	defaultPlains   = 3
	defaultRate     = 30
)

func main() {
	o := soak.Options{Duration: defaultDuration, Hosts: defaultHosts, Engines: defaultEngines, Plains: defaultPlains, RequestsPerSecond: defaultRate, Seed: 1}
	logFile := ""
	flaggy.SetName("bluebell-soak")
	flaggy.SetDescription("Runs hosts with embedded stand-ins under load and faults and checks all guarantees.")
	flaggy.SetVersion(settings.Version())
	flaggy.Duration(&o.Duration, "", "duration", "how long requests are generated")
	flaggy.Float64(&o.RequestsPerSecond, "", "rate", "mean rate of requests per second")
	flaggy.Bool(&o.NoFaults, "", "no-faults", "generate load without injecting faults")
	flaggy.Bool(&o.RandomFaults, "", "random-faults", "choose the types, times and targets of faults at random, based on the seed")
	flaggy.UInt64(&o.Seed, "", "seed", "random seed for load and faults")
	flaggy.String(&logFile, "", "log-file", "file to write the log of the hosts to")
	flaggy.Parse()
	if err := run(o, logFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitFailed)
	}
}

func run(o soak.Options, logFile string) error {
	if logFile != "" {
		f, err := os.Create(logFile)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		o.Logger = observe.NewLogger(f, zapcore.InfoLevel)
	}
	report, err := soak.Run(context.Background(), o)
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if !report.OK() {
		return fmt.Errorf("%d guarantees were violated; seed %d", len(report.Violations), o.Seed)
	}
	return nil
}

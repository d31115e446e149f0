// Command bluebell-soak runs an installation under load and faults on embedded
// stand-ins, prints one report and exits 0 only if every promise held.
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

// Sizes of a run unless flags say otherwise.
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
	flaggy.SetDescription("Runs hosts under load and faults on embedded stand-ins and checks every promise.")
	flaggy.SetVersion(settings.Version())
	flaggy.Duration(&o.Duration, "", "duration", "how long load is offered")
	flaggy.Float64(&o.RequestsPerSecond, "", "rate", "mean rate of requests per second")
	flaggy.Bool(&o.NoFaults, "", "no-faults", "offer load without faults")
	flaggy.Bool(&o.RandomFaults, "", "random-faults", "draw kinds, moments and victims of the faults from the seed")
	flaggy.UInt64(&o.Seed, "", "seed", "seed of load and faults")
	flaggy.String(&logFile, "", "log-file", "file for the hosts' events")
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
		return fmt.Errorf("%d promises were broken; seed %d", len(report.Violations), o.Seed)
	}
	return nil
}

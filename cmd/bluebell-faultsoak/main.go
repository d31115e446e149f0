// Command bluebell-faultsoak runs the edge program as separate processes on
// loopback, injects random faults and checks what callers and targets see. It
// is for development.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/faultsoak"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func main() {
	settings.Exit(run())
}

func run() error {
	hosts, perSecond, seeds := 5, 60, 1
	var first uint64 = 1
	duration := 10 * time.Second
	keep := ""
	flaggy.SetName("bluebell-faultsoak")
	flaggy.SetDescription("Random faults against real edge processes on loopback.")
	flaggy.Int(&hosts, "", "hosts", "number of edge processes")
	flaggy.Int(&perSecond, "", "rate", "requests a second")
	flaggy.UInt64(&first, "", "seed", "first seed")
	flaggy.Int(&seeds, "", "seeds", "number of seeds, one after the other")
	flaggy.Duration(&duration, "", "duration", "how long faults begin")
	flaggy.String(&keep, "", "logs", "directory that keeps the logs; a temporary one without")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "faultsoak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary := filepath.Join(dir, "bluebell-edge")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/bluebell-edge").CombinedOutput(); err != nil {
		return fmt.Errorf("build of bluebell-edge: %w: %s", err, out)
	}
	if keep == "" {
		keep = dir
	}
	broken := 0
	for seed := first; seed < first+uint64(seeds) && ctx.Err() == nil; seed++ {
		o := faultsoak.Options{
			Binary: binary, Dir: filepath.Join(keep, fmt.Sprintf("seed-%d", seed)), Hosts: hosts, Seed: seed,
			Faults: duration, PerSecond: float64(perSecond), Out: os.Stdout,
		}
		report, err := faultsoak.Run(ctx, o)
		if err != nil {
			return err
		}
		for _, what := range report.Broken {
			fmt.Println("BROKEN", what)
		}
		broken += len(report.Broken)
		fmt.Printf("seed %d: %d calls, %.3f with success under faults, %.3f after, %d promises broken\n",
			seed, report.Calls, report.During, report.After, len(report.Broken))
	}
	if broken > 0 {
		return fmt.Errorf("%d promises broken", broken)
	}
	return nil
}

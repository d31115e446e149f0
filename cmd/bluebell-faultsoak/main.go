// Command bluebell-faultsoak runs several bluebell-edge processes on the loopback
// interface, injects random faults and checks guarantees for callers and targets. It
// is a development tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/edgeprocess"
	"github.com/bluebellseam/bluebellseam/internal/faultsoak"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func main() {
	settings.Exit(run())
}

func run() error {
	if len(os.Args) == 4 && os.Args[1] == faultsoak.TargetProcessCommand {
		return faultsoak.ServeTargetProcess(os.Args[2], os.Args[3])
	}
	hosts, perSecond, seeds, versions := 5, 60, 1, 1
	var firstSeed uint64 = 1
	duration := 10 * time.Second
	crashPart, rollout, streamEnds := false, false, false
	logDir, otherBuild := "", ""
	flaggy.SetName("bluebell-faultsoak")
	flaggy.SetDescription("Injects random faults into edge processes on the loopback interface and checks guarantees.")
	flaggy.Int(&hosts, "", "hosts", "number of edge processes")
	flaggy.Int(&perSecond, "", "rate", "request rate per second")
	flaggy.UInt64(&firstSeed, "", "seed", "first seed")
	flaggy.Int(&seeds, "", "seeds", "number of consecutive seeds to run")
	flaggy.Duration(&duration, "", "duration", "how long new faults are started")
	flaggy.Int(&versions, "", "versions", "number of software versions of the model targets; with more than one, no stream may hold events of two")
	flaggy.Bool(&crashPart, "", "crash-part", "model targets crash on a part of some prompts, which must reach them no more after a while")
	flaggy.Bool(&rollout, "", "rollout", "a rollout of the plain service to a bad version is ordered, whose bounds must hold")
	flaggy.Bool(&streamEnds, "", "stream-ends", "targets without framing, ended by signals or ignoring Last-Event-Id, and callers of HTTP/1.0; a stream that lacks events must not look complete")
	flaggy.String(&otherBuild, "", "other-build", "path of another build of bluebell-edge that runs side by side with this one")
	flaggy.String(&logDir, "", "logs", "directory for the logs; by default a temporary directory that is deleted at exit")
	takeUps := newTakeUps()
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "faultsoak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := edgeprocess.Build(ctx, dir)
	if err != nil {
		return err
	}
	if logDir == "" {
		logDir = dir
	}
	binaries := []string{binary}
	if otherBuild != "" {
		binaries = append(binaries, otherBuild)
	}
	violations := 0
	for seed := firstSeed; seed < firstSeed+uint64(seeds) && ctx.Err() == nil; seed++ {
		if takeUps.command.Used {
			if err := takeUps.run(ctx, seed, hosts, binary, logDir); err != nil {
				return err
			}
			continue
		}
		o := faultsoak.Options{
			Binaries: binaries, Dir: filepath.Join(logDir, fmt.Sprintf("seed-%d", seed)), Hosts: hosts, Seed: seed,
			FaultDuration: duration, RequestsPerSecond: float64(perSecond), Versions: versions, CrashPart: crashPart, Rollout: rollout, StreamEnds: streamEnds, Out: os.Stdout,
		}
		report, err := faultsoak.Run(ctx, o)
		if err != nil {
			return err
		}
		for _, violation := range report.Violations {
			fmt.Println("VIOLATION", violation)
		}
		violations += len(report.Violations)
		fmt.Printf("seed %d: %d calls, success rate %.3f under faults and %.3f after, %d of %d resumed streams went on, %d guarantees violated\n",
			seed, report.Calls, report.SuccessRate, report.RecoveredSuccessRate, report.WentOn, report.Resumed, len(report.Violations))
	}
	violations += takeUps.violations
	if violations > 0 {
		return fmt.Errorf("%d guarantees violated", violations)
	}
	return nil
}

package soak

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// step is a fault of the plan. It starts at startShare, a fraction of the duration
// of the run.
type step struct {
	startShare float64
	name       string
	inject     func(ctx context.Context) error
}

// newPlan returns the steps for the options of the run.
func (r *run) newPlan() []step {
	switch {
	case r.opts.NoFaults:
		return nil
	case r.opts.RandomFaults:
		return r.randomPlan()
	default:
		return r.fixedPlan()
	}
}

// fixedPlan returns a plan with fixed faults at fixed times, independent of the
// seed.
func (r *run) fixedPlan() []step {
	return []step{
		{0.08, "gate killed", r.crashAndRestart("h2", harness.ProcessGate)},
		{0.15, "dispatcher killed", r.crashAndRestart("h3", harness.ProcessDispatcher)},
		{0.20, "log loses answers", r.loseAppendAnswers},
		{0.25, "log outage", r.switchedOn(switchLog, outageShare, r.h.Log.SetDown)},
		{0.30, "dispatcher killed during log outage", r.crashAndRestart("h4", harness.ProcessDispatcher)},
		{0.38, "concurrent patches", r.publishConcurrently},
		{0.40, "engine crash", r.onTarget("e1", func(t *harness.Target) { t.Engine.Crash() })},
		{0.42, "poison request", r.sendPoison},
		{0.45, "silenced connections of an engine", r.onTarget("e2", func(t *harness.Target) { t.Engine.SilenceConns() })},
		{0.48, "silenced peer connections", r.silencePeerConnections("h5")},
		{0.50, "straggler", r.makeStraggler("e4")},
		{0.55, "target leaving", r.markLeaving("e3")},
		{0.60, "rolling restart", r.restartHostsInTurn},
		{0.70, "host killed", r.crashAndRestart("h1", harness.ProcessGate, harness.ProcessDispatcher, harness.ProcessController)},
	}
}

// executePlan runs every step at its start time, concurrently with the others, and
// waits for all of them. Steps that are not due before ctx is done are skipped.
func (r *run) executePlan(ctx context.Context) {
	var steps sync.WaitGroup
	for _, s := range r.steps {
		steps.Go(func() {
			due := time.Duration(s.startShare*float64(r.opts.Duration)) - time.Since(r.start)
			if !sleep(ctx, due) {
				return
			}
			if err := s.inject(ctx); err != nil {
				r.addViolation(GuaranteeCompletion, "%s: %v", s.name, err)
			}
		})
	}
	steps.Wait()
}

package soak

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// step is one fault at a share of the duration.
type step struct {
	at   float64
	name string
	do   func(ctx context.Context) error
}

// plan returns the steps that the options ask for.
func (r *run) plan() []step {
	switch {
	case r.opts.NoFaults:
		return nil
	case r.opts.RandomFaults:
		return r.randomPlan()
	default:
		return r.fixedPlan()
	}
}

// fixedPlan returns every fault once, at its own time.
func (r *run) fixedPlan() []step {
	return []step{
		{0.08, "gate killed", r.crashAndRestart("h2", harness.PartGate)},
		{0.15, "dispatcher killed", r.crashAndRestart("h3", harness.PartDispatcher)},
		{0.20, "log loses answers", r.loseAppends},
		{0.25, "log outage", r.lasting(switchLog, outageShare, r.h.Log.SetDown)},
		{0.30, "dispatcher killed in the outage", r.crashAndRestart("h4", harness.PartDispatcher)},
		{0.38, "racing operators", r.raceOperators},
		{0.40, "engine crash", r.onTarget("e1", func(t *harness.Target) { t.Engine.Crash() })},
		{0.42, "poison request", r.sendPoison},
		{0.45, "silent engine", r.onTarget("e2", func(t *harness.Target) { t.Engine.GoSilent() })},
		{0.48, "silent peers", r.silencePeers("h5")},
		{0.50, "straggler", r.straggle("e4")},
		{0.55, "target leaving", r.retire("e3")},
		{0.60, "rolling restart", r.rollingRestart},
		{0.70, "host killed", r.crashAndRestart("h1", harness.PartGate, harness.PartDispatcher, harness.PartController)},
	}
}

// carryOut runs each step at its time, beside the others.
func (r *run) carryOut(ctx context.Context) {
	var steps sync.WaitGroup
	for _, s := range r.steps {
		steps.Go(func() {
			due := time.Duration(s.at*float64(r.opts.Duration)) - time.Since(r.start)
			if !wait(ctx, due) {
				return
			}
			if err := s.do(ctx); err != nil {
				r.violate(PromiseEnds, "%s: %v", s.name, err)
			}
		})
	}
	steps.Wait()
}

package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellseam/bluebellseam/platform"
	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// rolloutVersion is the version that is ordered, and rolloutTargets the number of its
	// targets.
	rolloutVersion = "v2"
	rolloutTargets = 4
	// maxOrderDelay is the longest time until the order, and minRollout the shortest
	// duration of a rollout.
	maxOrderDelay = 2 * time.Second
	minRollout    = 6 * time.Second
)

// startRolloutTargets starts the targets of a bad version of the plain service, which are
// not listed yet.
func (c *cluster) startRolloutTargets(rng *rand.Rand) {
	r := &standin.Rollout{Service: standin.PlainService, To: rolloutVersion}
	flaw := standin.Flaw{FailShare: 0.2 + 0.6*rng.Float64(), Begin: time.Now().Add(time.Duration(rng.Int64N(int64(minRollout))))}
	for _, t := range c.targets {
		if t.Service == standin.PlainService {
			r.Old = append(r.Old, t.Target)
		}
	}
	for i := range rolloutTargets {
		t := standin.NewTarget(fmt.Sprintf("n-%d", i), standin.PlainService, "zone-2", 0, plainResponseTime)
		t.SetVersion(rolloutVersion)
		t.SetFlaw(flaw)
		r.New = append(r.New, t)
	}
	c.rollout = r
}

// runRollout orders the rollout after a drawn time.
func (c *cluster) runRollout(ctx context.Context, o Options, rng *rand.Rand, log func(string)) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rng.Int64N(int64(maxOrderDelay)))):
	}
	c.rollout.Duration = max(o.FaultDuration, minRollout)
	c.rollout.Begin(c.store)
	log("rollout ordered")
}

// checkRollout returns a violation for each bound of the settings that the rollout of a
// bad version broke.
func checkRollout(r *standin.Rollout, settings platform.Settings, log func(string)) []string {
	bounds := settings.Bounds
	e := r.Exposure(time.Duration(bounds.RollbackMS * float64(time.Millisecond)))
	log(fmt.Sprintf("rollout: %+v, status %v", e, r.States()))
	var out []string
	if float64(e.Exposed) > bounds.ExposeShare*float64(e.Requests)+bounds.ExposeSlack {
		out = append(out, fmt.Sprintf("a bad version got %d of %d requests", e.Exposed, e.Requests))
	}
	if e.Late > 0 {
		out = append(out, fmt.Sprintf("a bad version got %d requests too long after its 50th bad response", e.Late))
	}
	return out
}

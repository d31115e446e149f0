package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// plainServiceTime is the expected time of a call of a plain service.
	plainServiceTime = 100 * time.Millisecond
	// defaultWindow bounds a target whose window is not configured.
	defaultWindow = 8
	// probeInterval is the time between two requests to a straggler.
	probeInterval = 5 * time.Second
)

// limit returns how many requests t may run at now.
func limit(t *tables.Target, now time.Time) int {
	if t == nil || !t.Owned || !t.Open(now) {
		return 0
	}
	if t.Straggler {
		if now.Before(t.ProbeAt) {
			return 0
		}
		return 1
	}
	w := window(t)
	if now.Before(t.RampUntil) {
		w = max(w/2, 1)
	}
	return w
}

func window(t *tables.Target) int {
	w := t.WindowMax
	if w <= 0 {
		w = defaultWindow
	}
	if t.Window > 0 {
		w = min(w, int(t.Window))
	}
	return max(w, t.WindowMin, 1)
}

// slowdown returns the measured over the nominal time of t, at least one.
func slowdown(t *tables.Target) float64 {
	return max(t.Estimate.Slowdown, 1)
}

// finishTime returns the expected time of r at t in a batch.
func finishTime(t *tables.Target, r *tables.Request, cached, batch int) time.Duration {
	if r.Plain {
		return plainServiceTime * time.Duration(batch)
	}
	d := t.Speed.Prefill(r.PromptTokens-cached) + time.Duration(r.PredictedTokens)*t.Speed.Gap(batch)
	return time.Duration(float64(d) * slowdown(t))
}

// recomputeWeight weighs the time of computing again what another target
// holds, for each place of the window.
const recomputeWeight = 12

// recomputeTime returns the weighted time of computing tokens at t that
// another target holds.
func recomputeTime(t *tables.Target, tokens int) time.Duration {
	return recomputeWeight * time.Duration(window(t)) * t.Speed.Prefill(max(tokens, 0))
}

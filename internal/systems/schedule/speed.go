package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// plainServiceTime is the expected duration of one call to a plain service.
	plainServiceTime = 100 * time.Millisecond
	// defaultWindow is the window of targets without a configured one.
	defaultWindow = 8
	// probeInterval is the time between two requests to a straggler.
	probeInterval = 5 * time.Second
)

// concurrencyLimit returns how many requests t may run at once: the window of
// t, or half of it until RampUntil. The limit is zero for a target that is not
// owned or not available. For a straggler, the limit is one request when a
// probe is due and otherwise zero. A target is open to new work if its limit is
// above zero, and otherwise closed.
func concurrencyLimit(t *tables.Target, now time.Time) int {
	if t == nil || !t.Owned || !t.Available(now) {
		return 0
	}
	if t.Straggler {
		if now.Before(t.ProbeAt) {
			return 0
		}
		return 1
	}
	size := window(t)
	if now.Before(t.RampUntil) {
		size = max(size/2, 1)
	}
	return size
}

func window(t *tables.Target) int {
	size := t.WindowMax
	if size <= 0 {
		size = defaultWindow
	}
	if t.Window > 0 {
		size = min(size, int(t.Window))
	}
	return max(size, t.WindowMin, 1)
}

// slowdown returns the ratio of the measured to the nominal time between tokens
// on t, at least 1.
func slowdown(t *tables.Target) float64 {
	return max(t.Estimate.Slowdown, 1)
}

// runDuration returns the expected duration of r on t in a batch of the given
// size. cached is the number of tokens of the prompt in the target's cache.
func runDuration(t *tables.Target, r *tables.Request, cached, batch int) time.Duration {
	if r.PlainService {
		return plainServiceTime * time.Duration(batch)
	}
	d := t.Speed.Prefill(r.PromptTokens-cached) + time.Duration(r.PredictedTokens)*t.Speed.TokenGap(batch)
	return time.Duration(float64(d) * slowdown(t))
}

// recomputeWeight is the weight of the time to recompute prompt tokens in the
// choice of a target. It is multiplied by the window of the target.
const recomputeWeight = 12

// recomputeCost returns the weighted time that t needs to compute the given
// number of prompt tokens, which another target has cached. See recomputeWeight.
func recomputeCost(t *tables.Target, tokens int) time.Duration {
	return recomputeWeight * time.Duration(window(t)) * t.Speed.Prefill(max(tokens, 0))
}

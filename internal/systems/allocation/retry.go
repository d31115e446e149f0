package allocation

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which releaseRate decays.
	rateWindow = time.Second
	// retryShare is the rate at which callers are advised to retry, as a fraction
	// of releaseRate.
	retryShare = 0.3
	// minReleaseRate is the lowest rate, in requests per second, from which a wait
	// is computed. It keeps the wait finite while no requests finish.
	minReleaseRate = 4.0
	// minRetryAfter and maxRetryAfter bound the advised wait, before jitter.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryJitter is the largest random increase of an advised wait, as a fraction
	// of it.
	retryJitter = 0.25
)

// retryAdvisor computes the Retry-After of refused requests. It spreads the
// retries over time, so that they arrive at a fraction of the rate at which
// slots become free. If all refused callers retried at the same time, they
// would overload the service again.
type retryAdvisor struct {
	// releaseRate is the moving average of the slots released per second, as of
	// rateUpdatedAt.
	releaseRate   float64
	rateUpdatedAt time.Time
	// lastAdvised is the retry time advised last, without jitter.
	lastAdvised time.Time
	// meanDuration is the mean time from a grant to its release.
	meanDuration time.Duration
}

// durationWeight is the weight of a new sample in meanDuration, an
// exponentially weighted moving average.
const durationWeight = 0.02

// grantDuration returns the mean time from a grant to its release.
func (r *retryAdvisor) grantDuration() time.Duration { return r.meanDuration }

// recordDuration updates meanDuration with the time between a grant and its
// release.
func (r *retryAdvisor) recordDuration(duration time.Duration) {
	r.meanDuration += time.Duration(durationWeight * float64(duration-r.meanDuration))
}

// recordRelease counts a released slot.
func (r *retryAdvisor) recordRelease(now time.Time) {
	r.releaseRate = r.decayedRate(now) + 1/rateWindow.Seconds()
	r.rateUpdatedAt = now
}

// decayedRate returns releaseRate decayed to now.
func (r *retryAdvisor) decayedRate(now time.Time) float64 {
	return r.releaseRate * math.Exp(-now.Sub(r.rateUpdatedAt).Seconds()/rateWindow.Seconds())
}

// nextRetryAfter returns the wait to advise to the next refused caller. random
// is in [0, 1).
func (r *retryAdvisor) nextRetryAfter(now time.Time, random float64) time.Duration {
	interval := time.Duration(float64(time.Second) / (retryShare * max(r.decayedRate(now), minReleaseRate)))
	earliest := now.Add(minRetryAfter)
	r.lastAdvised = r.lastAdvised.Add(interval)
	if r.lastAdvised.Before(earliest) {
		r.lastAdvised = earliest
	}
	if latest := now.Add(maxRetryAfter); r.lastAdvised.After(latest) {
		r.lastAdvised = latest
	}
	wait := r.lastAdvised.Sub(now)
	return wait + time.Duration(retryJitter*random*float64(wait))
}

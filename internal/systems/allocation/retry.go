package allocation

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant over which the rate of finished requests
	// decays.
	rateWindow = time.Second
	// retryShare is the fraction of the rate of finished requests that is offered
	// to refused callers.
	retryShare = 0.3
	// minEndRate, in requests per second, keeps the advised wait finite while no
	// requests finish.
	minEndRate = 4.0
	// minRetryAfter and maxRetryAfter bound the advised wait, before jitter.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryJitter is the largest random increase of an advised wait, as a fraction
	// of it.
	retryJitter = 0.25
)

// retryAdvisor computes the Retry-After of refused requests. It spaces the
// retries at a fraction of the rate at which slots become free: under
// sustained overload, callers that retried together would meet the next load
// peak.
type retryAdvisor struct {
	endRate     float64
	rateAt      time.Time
	lastAdvised time.Time
	// meanDuration is the mean time from a grant to its release.
	meanDuration time.Duration
}

// durationWeight is the weight of a new sample in meanDuration, an
// exponentially weighted moving average.
const durationWeight = 0.02

// grantDuration returns the mean time from a grant to its release.
func (r *retryAdvisor) grantDuration() time.Duration { return r.meanDuration }

// recordDuration adds the time from a grant to its release to the mean.
func (r *retryAdvisor) recordDuration(duration time.Duration) {
	r.meanDuration += time.Duration(durationWeight * float64(duration-r.meanDuration))
}

// recordEnd counts a request that released its slot.
func (r *retryAdvisor) recordEnd(now time.Time) {
	r.endRate = r.decayedRate(now) + 1/rateWindow.Seconds()
	r.rateAt = now
}

// decayedRate returns the rate of finished requests, per second.
func (r *retryAdvisor) decayedRate(now time.Time) float64 {
	return r.endRate * math.Exp(-now.Sub(r.rateAt).Seconds()/rateWindow.Seconds())
}

// nextRetryAfter returns the wait to advise to the next refused caller. random
// is in [0, 1).
func (r *retryAdvisor) nextRetryAfter(now time.Time, random float64) time.Duration {
	interval := time.Duration(float64(time.Second) / (retryShare * max(r.decayedRate(now), minEndRate)))
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

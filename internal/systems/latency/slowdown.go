package latency

import "time"

// Slowdown is the ratio of the response time of a target to the time that the
// estimates of its service predict at slowdown 1. A target with slowdown 2
// takes twice as long.
type Slowdown struct {
	value float64
	// observations counts an imported value as one observation.
	observations int
}

const (
	// minSlowdownWeight is the lowest weight of a new observation. The n-th
	// observation has the weight 1/n, but at least minSlowdownWeight, so the first
	// ones are averaged with equal weights.
	minSlowdownWeight = 0.15
	// minSlowdown and maxSlowdown bound each observation, which limits the effect
	// of an outlier.
	minSlowdown = 0.05
	maxSlowdown = 30
)

// NewSlowdown returns a slowdown that another host estimated; zero means
// unknown.
func NewSlowdown(value float64) Slowdown {
	if value <= 0 {
		return Slowdown{}
	}
	return Slowdown{value: value, observations: 1}
}

// Known reports whether the slowdown was observed or imported.
func (s Slowdown) Known() bool { return s.observations > 0 }

// Value returns the slowdown, or 1 if it is unknown.
func (s Slowdown) Value() float64 {
	if s.observations == 0 {
		return 1
	}
	return s.value
}

// Observe updates the estimate with the time that a response took and the time
// expected at a target with slowdown 1.
func (s *Slowdown) Observe(took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), minSlowdown), maxSlowdown)
	s.observations++
	weight := max(minSlowdownWeight, 1/float64(s.observations))
	s.value = (1-weight)*s.value + weight*ratio
}

// Scale converts a duration at slowdown 1 to a duration at this slowdown.
func (s Slowdown) Scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Value())
}

// Unscale converts a duration at this slowdown to a duration at slowdown 1.
func (s Slowdown) Unscale(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.Value())
}

package latency

import "time"

// EventGap estimates the mean time between two events of a stream at a target
// with slowdown 1.
type EventGap struct {
	mean float64
	// observations counts an imported estimate as one observation.
	observations int
}

// minEventGapWeight is the lowest weight of a new observation. The n-th
// observation has the weight 1/n, but at least minEventGapWeight, so the first
// ones are averaged with equal weights.
const minEventGapWeight = 0.02

// defaultEventGap is the estimate until one is observed or imported.
const defaultEventGap = 25 * time.Millisecond

// NewEventGap returns an estimate without observations.
func NewEventGap() *EventGap { return &EventGap{mean: float64(defaultEventGap)} }

// Known reports whether the estimate was observed or imported.
func (g *EventGap) Known() bool { return g.observations > 0 }

// Mean returns the estimate, or defaultEventGap if it is not known.
func (g *EventGap) Mean() time.Duration { return time.Duration(g.mean) }

// Observe updates the estimate with the mean event gap of a stream, divided by
// the slowdown of its target.
func (g *EventGap) Observe(gap time.Duration) {
	g.observations++
	weight := max(minEventGapWeight, 1/float64(g.observations))
	g.mean += weight * (float64(gap) - g.mean)
}

// Import sets the estimate to that of another host if no estimate is known yet.
func (g *EventGap) Import(mean time.Duration) {
	if g.observations == 0 && mean > 0 {
		g.mean = float64(mean)
		g.observations = 1
	}
}

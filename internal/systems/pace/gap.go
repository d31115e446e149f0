package pace

import "time"

// Gap is the mean pause between two events of a stream at a target of speed 1.
type Gap struct {
	mean float64
	seen int
}

// gapWeight is the weight of a new stream after the first few.
const gapWeight = 0.02

// priorGap is assumed before the first stream has ended.
const priorGap = 25 * time.Millisecond

// NewGap returns a gap that has seen no stream.
func NewGap() *Gap { return &Gap{mean: float64(priorGap)} }

// Known reports whether a stream was seen.
func (g *Gap) Known() bool { return g.seen > 0 }

// Mean returns the mean pause, an assumption before the first stream.
func (g *Gap) Mean() time.Duration { return time.Duration(g.mean) }

// Observe takes in the mean pause of a stream, divided by the speed of its
// target.
func (g *Gap) Observe(pause time.Duration) {
	g.seen++
	weight := max(gapWeight, 1/float64(g.seen))
	g.mean += weight * (float64(pause) - g.mean)
}

// Adopt takes over a mean that was learned elsewhere, unless a stream was seen
// here.
func (g *Gap) Adopt(mean time.Duration) {
	if g.seen == 0 && mean > 0 {
		g.mean = float64(mean)
		g.seen = 1
	}
}

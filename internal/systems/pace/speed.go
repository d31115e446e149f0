package pace

import "time"

// Speed is the time that a target takes in relation to others of its service:
// 2 takes twice as long.
type Speed struct {
	value float64
	seen  int
}

const (
	// minWeight is the weight of a new observation after the first few.
	minWeight = 0.15
	// minSpeed and maxSpeed bound what one odd answer can do.
	minSpeed = 0.05
	maxSpeed = 30
)

// NewSpeed returns a speed that was learned elsewhere; zero means unknown.
func NewSpeed(value float64) Speed {
	if value <= 0 {
		return Speed{}
	}
	return Speed{value: value, seen: 1}
}

// Known reports whether any answer was seen.
func (s Speed) Known() bool { return s.seen > 0 }

// Value returns the factor, 1 when unknown.
func (s Speed) Value() float64 {
	if s.seen == 0 {
		return 1
	}
	return s.value
}

// Observe takes in how long an answer took and what a target of speed 1 was
// expected to take.
func (s *Speed) Observe(took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), minSpeed), maxSpeed)
	s.seen++
	weight := max(minWeight, 1/float64(s.seen))
	s.value = (1-weight)*s.value + weight*ratio
}

// Scale returns d as it takes at this speed.
func (s Speed) Scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Value())
}

// Unscale returns what would take d at this speed as it takes at speed 1.
func (s Speed) Unscale(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.Value())
}

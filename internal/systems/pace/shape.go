// Package pace learns how fast targets answer: one shape for all targets of a
// service, which tells how the time to the first byte grows with the prompt,
// and one speed for each target. It has no clock and no I/O.
package pace

import "time"

// Shape is the time to the first byte at a target of speed 1, as a polynomial
// of the prompt length in thousands of tokens. It is fitted by recursive least
// squares with forgetting.
type Shape struct {
	// weights are milliseconds for each feature.
	weights [features]float64
	// covariance is that of the weights, in units of the noise.
	covariance [features][features]float64
	seen       bool
}

const (
	features = 3
	// forgetting is the weight of the past at each observation; 0.995 remembers
	// some 200 answers.
	forgetting = 0.995
	// tokensPerUnit scales prompt lengths, so that features are of like size.
	tokensPerUnit = 1000
	// maxVariance bounds the covariance, which forgetting lets grow without
	// new observations of long prompts.
	maxVariance = 10000
)

// prior is the shape before the first answer: a fixed part in milliseconds,
// then milliseconds for each thousand tokens and for their square.
var (
	prior         = [features]float64{50, 6, 0.05}
	priorVariance = [features]float64{400, 4, 0.01}
)

// NewShape returns a shape that has seen no answer.
func NewShape() *Shape {
	s := &Shape{weights: prior}
	for i := range s.covariance {
		s.covariance[i][i] = priorVariance[i]
	}
	return s
}

// Weights are the coefficients of a shape, in milliseconds.
type Weights [features]float64

// Weights returns the coefficients, and whether any answer was seen.
func (s *Shape) Weights() (Weights, bool) { return s.weights, s.seen }

// Adopt takes over coefficients that were learned elsewhere, unless an answer
// was seen here.
func (s *Shape) Adopt(w Weights) {
	if !s.seen {
		s.weights = w
		s.seen = true
	}
}

func vector(prompt int) [features]float64 {
	x := float64(prompt) / tokensPerUnit
	return [features]float64{1, x, x * x}
}

// First returns the expected time to the first byte for a prompt of a number
// of tokens.
func (s *Shape) First(prompt int) time.Duration {
	return milliseconds(max(s.predict(vector(prompt)), 1))
}

// Reading returns the part of First that grows with the prompt, during which
// the target delays its other requests.
func (s *Shape) Reading(prompt int) time.Duration {
	x := vector(prompt)
	return milliseconds(max(s.weights[1]*x[1]+s.weights[2]*x[2], 0))
}

func (s *Shape) predict(x [features]float64) float64 {
	sum := 0.0
	for i, w := range s.weights {
		sum += w * x[i]
	}
	return sum
}

// Observe takes in the time to the first byte of an answer, divided by the
// speed of its target.
func (s *Shape) Observe(prompt int, first time.Duration) {
	s.seen = true
	x := vector(prompt)
	var px [features]float64
	denominator := forgetting
	for i := range px {
		for j := range x {
			px[i] += s.covariance[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	missed := toMilliseconds(first) - s.predict(x)
	for i := range s.weights {
		s.weights[i] += px[i] / denominator * missed
	}
	for i := range s.covariance {
		for j := range s.covariance[i] {
			v := (s.covariance[i][j] - px[i]*px[j]/denominator) / forgetting
			s.covariance[i][j] = min(max(v, -maxVariance), maxVariance)
		}
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

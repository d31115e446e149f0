// Package latency estimates how fast targets respond. A latency model for each
// service gives the time to the first byte by prompt length, and a slowdown
// for each target scales it. The package uses no clock and does no I/O.
package latency

import "time"

// Model estimates the time to the first byte at a target with slowdown 1, as a
// polynomial of the prompt length in thousands of tokens. It is fitted by
// recursive least squares with exponential forgetting.
type Model struct {
	// weights are the coefficients of the polynomial, in milliseconds.
	weights [features]float64
	// covariance is the covariance of the weights, in units of the noise variance.
	covariance [features][features]float64
	// trained is set once the weights were fitted or imported.
	trained bool
}

const (
	// features is the number of coefficients of the polynomial.
	features = 3
	// forgettingFactor scales the weight of past observations at each new one.
	// With 0.995, about 200 observations have an effect.
	forgettingFactor = 0.995
	// tokensPerUnit scales prompt lengths so that the features have similar
	// magnitudes.
	tokensPerUnit = 1000
	// maxVariance bounds the entries of the covariance. Without observations of
	// long prompts, forgetting would let them grow without limit.
	maxVariance = 10000
)

// initialWeights are the weights before the first observation, in milliseconds:
// the constant term, and the linear and the quadratic coefficient for prompt
// lengths in thousands of tokens. initialVariance are their variances,
// in units of the noise variance.
var (
	initialWeights  = [features]float64{50, 6, 0.05}
	initialVariance = [features]float64{400, 4, 0.01}
)

// NewModel returns a model without observations.
func NewModel() *Model {
	m := &Model{weights: initialWeights}
	for i := range m.covariance {
		m.covariance[i][i] = initialVariance[i]
	}
	return m
}

// Weights are the coefficients of a latency model, in milliseconds.
type Weights [features]float64

// Weights returns the coefficients, and whether they were fitted or imported.
func (m *Model) Weights() (Weights, bool) { return m.weights, m.trained }

// Import sets the coefficients to those of another host if they were neither
// fitted nor imported yet.
func (m *Model) Import(w Weights) {
	if !m.trained {
		m.weights = w
		m.trained = true
	}
}

func featureVector(prompt int) [features]float64 {
	units := float64(prompt) / tokensPerUnit
	return [features]float64{1, units, units * units}
}

// FirstByte returns the expected time to the first byte for a prompt length in
// tokens.
func (m *Model) FirstByte(prompt int) time.Duration {
	return milliseconds(max(m.predict(featureVector(prompt)), 1))
}

// Prefill returns the part of FirstByte that grows with the prompt length: the
// time to process the prompt, during which the target delays its other
// requests.
func (m *Model) Prefill(prompt int) time.Duration {
	x := featureVector(prompt)
	return milliseconds(max(m.weights[1]*x[1]+m.weights[2]*x[2], 0))
}

func (m *Model) predict(x [features]float64) float64 {
	sum := 0.0
	for i, w := range m.weights {
		sum += w * x[i]
	}
	return sum
}

// Observe updates the model with the time to the first byte of a response,
// divided by the slowdown of its target.
func (m *Model) Observe(prompt int, firstByte time.Duration) {
	m.trained = true
	x := featureVector(prompt)
	var covarianceX [features]float64
	denominator := forgettingFactor
	for i := range covarianceX {
		for j := range x {
			covarianceX[i] += m.covariance[i][j] * x[j]
		}
		denominator += x[i] * covarianceX[i]
	}
	residual := toMilliseconds(firstByte) - m.predict(x)
	for i := range m.weights {
		m.weights[i] += covarianceX[i] / denominator * residual
	}
	for i := range m.covariance {
		for j := range m.covariance[i] {
			v := (m.covariance[i][j] - covarianceX[i]*covarianceX[j]/denominator) / forgettingFactor
			m.covariance[i][j] = min(max(v, -maxVariance), maxVariance)
		}
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Package predict estimates answer lengths by customer, service and prompt
// size.
package predict

import (
	"math"
	"math/bits"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// quantile is the fraction of answers that should be no longer than
	// predicted.
	quantile = 0.6
	// The first sample of a class sets its estimate, the natural logarithm of a
	// number of tokens. The n-th sample raises the estimate by quantile*step if it
	// is higher, or lowers it by (1-quantile)*step if it is lower. The step is
	// maxStep/n, but at least minStep.
	maxStep = 0.8
	minStep = 0.05
	// defaultTokens is the prediction for requests none of whose classes has
	// minSamples samples.
	defaultTokens = 256
	// minSamples is the number of samples that a class needs before its estimate
	// is used.
	minSamples = 5
)

// LengthPredictor predicts answer lengths in tokens. It is not safe for concurrent use.
type LengthPredictor struct {
	estimates map[requestClass]*estimate
}

// requestClass is a class of requests of one service. An empty customer matches
// all customers.
type requestClass struct {
	customer tables.CustomerID
	service  tables.ServiceID
	// promptSize is the number of binary digits of the prompt's token count, or -1
	// for prompts of any length.
	promptSize int
}

// estimate is a running estimate of a quantile of the natural logarithm of the
// answer length in tokens.
type estimate struct {
	logLength float64
	samples   int
}

// NewLengthPredictor returns a predictor without samples.
func NewLengthPredictor() *LengthPredictor {
	return &LengthPredictor{estimates: make(map[requestClass]*estimate)}
}

// classes returns the classes of r, finest first.
func classes(r *tables.Request) [3]requestClass {
	size := bits.Len(uint(max(r.PromptTokens, 0)))
	return [3]requestClass{
		{customer: r.Customer, service: r.Service, promptSize: size},
		{service: r.Service, promptSize: size},
		{service: r.Service, promptSize: -1},
	}
}

// Predict returns the predicted answer length of r in tokens. The prediction is
// at least 1, and at most r.MaxTokens if that is positive.
func (l *LengthPredictor) Predict(r *tables.Request) int {
	n := defaultTokens
	for _, k := range classes(r) {
		if e := l.estimates[k]; e != nil && e.samples >= minSamples {
			n = int(math.Round(math.Exp(e.logLength)))
			break
		}
	}
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return max(n, 1)
}

// Observe records the answer length in tokens of a finished request. Requests
// of plain services, which have no tokens, and empty answers are ignored.
func (l *LengthPredictor) Observe(r *tables.Request, tokens int) {
	if r.PlainService || tokens <= 0 {
		return
	}
	sample := math.Log(float64(tokens))
	for _, k := range classes(r) {
		e := l.estimates[k]
		if e == nil {
			e = &estimate{logLength: sample}
			l.estimates[k] = e
		}
		e.observe(sample)
	}
}

func (e *estimate) observe(sample float64) {
	e.samples++
	step := max(maxStep/float64(e.samples), minStep)
	if sample > e.logLength {
		e.logLength += step * quantile
		return
	}
	if sample < e.logLength {
		e.logLength -= step * (1 - quantile)
	}
}

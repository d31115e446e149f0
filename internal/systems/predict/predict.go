// Package predict learns answer lengths by customer, service and prompt size.
package predict

import (
	"math"
	"math/bits"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// quantile is the share of answers that are no longer than predicted.
	quantile = 0.6
	// firstStep and leastStep bound the move of one sample in natural
	// logarithms of tokens.
	firstStep = 0.8
	leastStep = 0.05
	// defaultTokens is predicted when nothing is known of the length.
	defaultTokens = 256
	// enoughSamples is the count from which the finest estimate is used.
	enoughSamples = 5
)

// Lengths predicts answer lengths in tokens.
type Lengths struct {
	estimates map[key]*estimate
}

// key is a class of requests; a coarser class leaves fields empty.
type key struct {
	customer tables.CustomerID
	service  tables.ServiceID
	// size is the binary logarithm of the prompt length, -1 for any.
	size int
}

// estimate is a quantile of the logarithm of the length.
type estimate struct {
	log     float64
	samples int
}

// NewLengths returns a predictor without observations.
func NewLengths() *Lengths { return &Lengths{estimates: make(map[key]*estimate)} }

// classes returns the classes of r, the finest first.
func classes(r *tables.Request) [3]key {
	size := bits.Len(uint(max(r.PromptTokens, 0)))
	return [3]key{
		{customer: r.Customer, service: r.Service, size: size},
		{service: r.Service, size: size},
		{service: r.Service, size: -1},
	}
}

// Predict returns the expected answer length of r in tokens, at most MaxTokens
// when that is set.
func (l *Lengths) Predict(r *tables.Request) int {
	n := defaultTokens
	for _, k := range classes(r) {
		if e := l.estimates[k]; e != nil && e.samples >= enoughSamples {
			n = int(math.Round(math.Exp(e.log)))
			break
		}
	}
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return max(n, 1)
}

// Observe records the answer length of a finished request.
func (l *Lengths) Observe(r *tables.Request, tokens int) {
	if r.Plain || tokens <= 0 {
		return
	}
	sample := math.Log(float64(tokens))
	for _, k := range classes(r) {
		e := l.estimates[k]
		if e == nil {
			e = &estimate{log: sample}
			l.estimates[k] = e
		}
		e.observe(sample)
	}
}

func (e *estimate) observe(sample float64) {
	e.samples++
	step := max(firstStep/float64(e.samples), leastStep)
	if sample > e.log {
		e.log += step * quantile
		return
	}
	if sample < e.log {
		e.log -= step * (1 - quantile)
	}
}

// Package demand measures the work that callers ask for by service, slowly
// enough that models are not placed by bursts.
package demand

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// TimeConstant is the time after which a request counts 1/e of its tokens.
	TimeConstant = 10 * time.Minute
	// digits is the number of significant digits of a rate.
	digits = 2
	// lowest is the rate in tokens per second below which a service counts as
	// unused.
	lowest = 0.1
)

// Rates is the work asked for by service, in tokens per second.
type Rates map[tables.ServiceID]float64

// Add adds other to r.
func (r Rates) Add(other Rates) {
	for id, rate := range other {
		r[id] += rate
	}
}

// Meter keeps a decaying sum of tokens by service. One goroutine owns it.
type Meter struct {
	sums map[tables.ServiceID]float64
	at   time.Time
}

// NewMeter returns a meter that has seen no request.
func NewMeter() *Meter { return &Meter{sums: make(map[tables.ServiceID]float64)} }

// Add counts a request of a service by its tokens.
func (m *Meter) Add(now time.Time, service tables.ServiceID, tokens int) {
	m.decay(now)
	m.sums[service] += float64(tokens)
}

// Rates returns the work of each service that was used lately, rounded.
func (m *Meter) Rates(now time.Time) Rates {
	m.decay(now)
	out := make(Rates, len(m.sums))
	for id, sum := range m.sums {
		rate := sum / TimeConstant.Seconds()
		if rate < lowest {
			delete(m.sums, id)
			continue
		}
		out[id] = round(rate)
	}
	return out
}

func (m *Meter) decay(now time.Time) {
	age := now.Sub(m.at)
	if age <= 0 {
		return
	}
	left := math.Exp(-age.Seconds() / TimeConstant.Seconds())
	for id := range m.sums {
		m.sums[id] *= left
	}
	m.at = now
}

// round keeps the leading digits of a positive rate.
func round(rate float64) float64 {
	unit := math.Pow(10, math.Floor(math.Log10(rate))-digits+1)
	return math.Round(rate/unit) * unit
}

// Tokens is the work of a request: its prompt and its answer, or the predicted
// answer when that is longer, as for a request that did not run.
func Tokens(r *tables.Request) int {
	return r.PromptTokens + max(r.TokensOut, r.PredictedTokens)
}

// Package demand measures the requested work per service, averaged over so long
// a time that a burst does not cause a model to be moved.
package demand

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// TimeConstant is the time after which the weight of a request has decayed
	// to 1/e.
	TimeConstant = 10 * time.Minute
	// rateDigits is the number of significant digits of a reported rate.
	rateDigits = 2
	// minRate is the rate in tokens per second below which a service counts as
	// unused.
	minRate = 0.1
)

// Rates holds the requested work per service in tokens per second.
type Rates map[tables.ServiceID]float64

// Add adds the rates in other to r.
func (r Rates) Add(other Rates) {
	for id, rate := range other {
		r[id] += rate
	}
}

// Meter keeps an exponentially decaying sum of tokens per service. It is not
// safe for concurrent use.
type Meter struct {
	sums      map[tables.ServiceID]float64
	updatedAt time.Time
}

// NewMeter returns a meter without requests.
func NewMeter() *Meter { return &Meter{sums: make(map[tables.ServiceID]float64)} }

// Add records a request for the given service and its number of tokens.
func (m *Meter) Add(now time.Time, service tables.ServiceID, tokens int) {
	m.decay(now)
	m.sums[service] += float64(tokens)
}

// Rates returns the rate of each recently used service, rounded to rateDigits
// significant digits. It drops services below minRate.
func (m *Meter) Rates(now time.Time) Rates {
	m.decay(now)
	out := make(Rates, len(m.sums))
	for id, sum := range m.sums {
		rate := sum / TimeConstant.Seconds()
		if rate < minRate {
			delete(m.sums, id)
			continue
		}
		out[id] = round(rate)
	}
	return out
}

func (m *Meter) decay(now time.Time) {
	age := now.Sub(m.updatedAt)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / TimeConstant.Seconds())
	for id := range m.sums {
		m.sums[id] *= factor
	}
	m.updatedAt = now
}

// round rounds a positive rate to rateDigits significant digits.
func round(rate float64) float64 {
	unit := math.Pow(10, math.Floor(math.Log10(rate))-rateDigits+1)
	return math.Round(rate/unit) * unit
}

// Tokens returns the work of a request: its prompt tokens plus the larger of
// its answer tokens and the predicted answer length. A request that did not run
// is thus counted with its predicted length.
func Tokens(r *tables.Request) int {
	return r.PromptTokens + max(r.TokensOut, r.PredictedTokens)
}

package config

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Speed returns the nominal performance of an engine of this generation.
func (g Generation) Speed() tables.Speed {
	return tables.Speed{
		PrefillTokensPerSecond: g.PrefillTokensPerSecond,
		Step:                   millis(g.StepMillis),
		StepPerSequence:        millis(g.StepMillisPerSequence),
	}
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

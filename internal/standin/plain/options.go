// Package plain is a stand-in for a plain service, which runs calls of named
// operations. Tests can inject crashes, delays and lost messages, and read
// records of what the service received and ran.
package plain

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Options configures a Service.
type Options struct {
	ID    tables.TargetID
	Clock clockwork.Clock
	// Delay is the duration of a call. Delays overrides it for the
	// operations that it names.
	Delay  time.Duration
	Delays map[string]time.Duration
	// Retention is the time for which the answer of a finished call is kept. Zero
	// means defaultRetention.
	Retention time.Duration
	// RestartAfter is the time from a crash to the restart; if zero, the
	// service stays down until Restart.
	RestartAfter time.Duration
}

const (
	defaultRetention = 10 * time.Minute
	maxRequestBytes  = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	return o
}

func (o Options) delay(operation string) time.Duration {
	if d, ok := o.Delays[operation]; ok {
		return d
	}
	return o.Delay
}

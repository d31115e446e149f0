// Package plain is a stand-in for a plain service: it runs calls of named
// operations, counts the runs of each, and has switches for crashes, delay and
// lost messages.
package plain

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Options set the behaviour of a Service.
type Options struct {
	ID    tables.TargetID
	Clock clockwork.Clock
	// Delay is how long a call takes; Delays overrides it by operation.
	Delay  time.Duration
	Delays map[string]time.Duration
	// KeepFor is how long answers are kept; zero means defaultKeepFor.
	KeepFor time.Duration
	// RestartAfter is the time from a crash to the restart; zero means that
	// the service stays down until Restart.
	RestartAfter time.Duration
}

const (
	defaultKeepFor  = 10 * time.Minute
	maxRequestBytes = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.KeepFor <= 0 {
		o.KeepFor = defaultKeepFor
	}
	return o
}

func (o Options) delay(operation string) time.Duration {
	if d, ok := o.Delays[operation]; ok {
		return d
	}
	return o.Delay
}

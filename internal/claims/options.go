// Package claims is the home of idempotency keys on one host: it carries the
// claim system's records to and from the platform's log and answers gates.
package claims

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Defaults of Options.
const (
	DefaultShards         = 64
	DefaultWindow         = time.Hour
	DefaultSkew           = 30 * time.Second
	DefaultAcquireTimeout = 3 * time.Second
	DefaultGrace          = 500 * time.Millisecond
	DefaultPause          = time.Second
	DefaultOutcomeDelay   = 250 * time.Millisecond
	DefaultOpenWait       = 500 * time.Millisecond
	DefaultIdle           = 10 * time.Minute
	// DefaultAppendsPerSecond bounds the appends of all hosts together.
	DefaultAppendsPerSecond = 256
)

// Bounds of single calls to the log.
const (
	appendTimeout  = 5 * time.Second
	readWait       = 5 * time.Second
	readRetry      = 250 * time.Millisecond
	fetchTimeout   = time.Second
	cachedOutcomes = 1024
	// searchStop is the number of records that are read rather than searched.
	searchStop = 1024
	// searchMargin is the number of skews by which the search for the oldest
	// record that matters stays on the safe side.
	searchMargin    = 4
	expiryInterval  = time.Minute
	minTickInterval = 100 * time.Microsecond
	maxTickInterval = 100 * time.Millisecond
)

// Options are the collaborators and bounds of a Home. Zero durations and
// counts mean the defaults.
type Options struct {
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	Host   tables.HostID
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// Shards is the number of claim streams; all hosts must agree on it.
	Shards int
	// Window is the greatest age of a key. The log must keep records for
	// longer; keys that it no longer covers are refused.
	Window time.Duration
	// Skew bounds how far the clocks of callers, hosts and log differ.
	Skew time.Duration
	// AcquireTimeout bounds the wait for the log in Acquire.
	AcquireTimeout time.Duration
	// Grace is the wait for a record whose append had an unknown outcome.
	Grace time.Duration
	// Pause is the longest time without claims after the log refused one.
	Pause time.Duration
	// OutcomeDelay is the time that outcomes wait for company.
	OutcomeDelay time.Duration
	// OpenWait bounds the wait of an Acquire for its shard to be read.
	OpenWait time.Duration
	// Idle is the time of disuse after which a shard is closed.
	Idle time.Duration
	// AppendsPerSecond bounds the appends of all hosts together. Each host
	// takes the part of its open shards, and its shards share that part.
	AppendsPerSecond float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Clock, clockwork.NewRealClock())
	setDefault(&o.Logger, zap.NewNop())
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.Skew, DefaultSkew)
	setDefault(&o.AcquireTimeout, DefaultAcquireTimeout)
	setDefault(&o.Grace, DefaultGrace)
	setDefault(&o.Pause, DefaultPause)
	setDefault(&o.OutcomeDelay, DefaultOutcomeDelay)
	setDefault(&o.OpenWait, DefaultOpenWait)
	setDefault(&o.Idle, DefaultIdle)
	setDefault(&o.AppendsPerSecond, DefaultAppendsPerSecond)
	if o.Incarnation == 0 {
		o.Incarnation = o.Clock.Now().UnixNano()
	}
	return o
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func (o Options) shardSettings() claim.Settings {
	return claim.Settings{
		Limits:       claim.Limits{Window: o.Window, Skew: o.Skew},
		Host:         o.Host,
		Incarnation:  o.Incarnation,
		AppendGrace:  o.Grace,
		MaxBackoff:   o.Pause,
		StallTimeout: o.AcquireTimeout,
		OutcomeDelay: o.OutcomeDelay,
	}
}

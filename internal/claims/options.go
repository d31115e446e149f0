// Package claims decides claims of idempotency keys on one host. It appends the
// records of package claim to the platform's log, reads them back and serves the
// requests of gates.
package claims

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Default values of Options.
const (
	DefaultShards         = 64
	DefaultWindow         = time.Hour
	DefaultSkew           = 30 * time.Second
	DefaultAcquireTimeout = 3 * time.Second
	DefaultAppendGrace    = 500 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	DefaultOutcomeDelay   = 250 * time.Millisecond
	DefaultLoadTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout    = 10 * time.Minute
	// DefaultAppendsPerSecond is the limit for all hosts together.
	DefaultAppendsPerSecond = 256
)

// Limits on calls to the log, on the outcome cache and on the work of a shard.
const (
	appendTimeout     = 5 * time.Second
	readPollTimeout   = 5 * time.Second
	readRetryDelay    = 250 * time.Millisecond
	fetchTimeout      = time.Second
	maxCachedOutcomes = 1024
	// maxScanRecords is the size of the range at which the binary search for the
	// start offset stops; the rest is read in order.
	maxScanRecords = 1024
	// searchMarginSkews is the safety margin of the search for the oldest
	// relevant record, as a multiple of Options.Skew.
	searchMarginSkews = 4
	expiryInterval    = time.Minute
	minTickInterval   = 100 * time.Microsecond
	maxTickInterval   = 100 * time.Millisecond
)

// Options are the dependencies and parameters of a Home. Zero values of Clock,
// Logger, durations and counts mean the defaults.
type Options struct {
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	Host   tables.HostID
	// Incarnation is the start time of the process in Unix nanoseconds; zero means
	// the current time.
	Incarnation int64
	// Shards is the number of claim streams; all hosts must use the same number.
	Shards int
	// Window is the maximum age of a key. The log must retain records for longer.
	// Keys that may have been claimed in removed records are refused.
	Window time.Duration
	// Skew is the maximum difference between the clocks of callers, hosts and the
	// log.
	Skew time.Duration
	// AcquireTimeout limits how long Acquire waits for the log.
	AcquireTimeout time.Duration
	// AppendGrace is how long to wait for a record to appear in the log if it is
	// unknown whether its append succeeded.
	AppendGrace time.Duration
	// MaxBackoff is the maximum backoff after the log refused a call. Nothing is
	// appended during a backoff.
	MaxBackoff time.Duration
	// OutcomeDelay is how long an outcome waits to share a batch with claims.
	OutcomeDelay time.Duration
	// LoadTimeout limits how long Acquire waits for its shard to be loaded.
	LoadTimeout time.Duration
	// IdleTimeout is the time without use after which a shard is closed.
	IdleTimeout time.Duration
	// AppendsPerSecond limits the appends of all hosts together. Each host gets a
	// share in proportion to its open shards.
	AppendsPerSecond float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Clock, clockwork.NewRealClock())
	setDefault(&o.Logger, zap.NewNop())
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.Skew, DefaultSkew)
	setDefault(&o.AcquireTimeout, DefaultAcquireTimeout)
	setDefault(&o.AppendGrace, DefaultAppendGrace)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.OutcomeDelay, DefaultOutcomeDelay)
	setDefault(&o.LoadTimeout, DefaultLoadTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
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
		AppendGrace:  o.AppendGrace,
		MaxBackoff:   o.MaxBackoff,
		StallTimeout: o.AcquireTimeout,
		OutcomeDelay: o.OutcomeDelay,
	}
}

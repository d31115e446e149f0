// Package engine is a stand-in for a model engine: it batches continuously,
// keeps an LRU cache of prompt prefixes in limited memory, admits every request
// at once, knows no priorities, and has switches for crashes, slowness and lost
// messages. Its records count what it was given.
package engine

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Options set the speed and limits of an Engine. Zero values mean defaults.
type Options struct {
	ID    tables.TargetID
	Clock clockwork.Clock
	// PrefillTokensPerSecond is the prompt throughput.
	PrefillTokensPerSecond float64
	// Step is the decode step at batch size one.
	Step time.Duration
	// StepPerSequence is added to the step by each further sequence.
	StepPerSequence time.Duration
	// BatchMax is the most sequences in one batch; others wait in order.
	BatchMax int
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// ChecksFencing makes the engine refuse orders with old fencing numbers.
	ChecksFencing bool
	// LoadTime is how long an order takes.
	LoadTime time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag is the age at which cache events show.
	EventLag time.Duration
	// EventGapEvery drops each cache event whose sequence number it divides;
	// zero drops none.
	EventGapEvery int64
	// RestartAfter is the time from a crash to the restart; zero means that
	// the engine stays down until Restart.
	RestartAfter time.Duration
}

const (
	defaultPrefillTokensPerSecond = 20_000
	defaultStep                   = 5 * time.Millisecond
	defaultBatchMax               = 64
	defaultCacheTokens            = 64 << 10
	// defaultMaxTokens is the answer length of a request that names none.
	defaultMaxTokens = 16
	maxRequestBytes  = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if o.Step <= 0 {
		o.Step = defaultStep
	}
	if o.BatchMax <= 0 {
		o.BatchMax = defaultBatchMax
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = defaultCacheTokens
	}
	return o
}

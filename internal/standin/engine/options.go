// Package engine is a stand-in for a model engine with continuous batching and
// an LRU cache of prompt prefixes in limited memory. Requests are batched in
// order of arrival, without priorities and without a limit on waiting requests.
// Tests can inject crashes, slowness and lost messages, and read records of
// what the engine received and did.
package engine

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Options configures an Engine. A zero Clock, PrefillTokensPerSecond, Step,
// BatchMax or CacheTokens selects a default.
type Options struct {
	ID    tables.TargetID
	Clock clockwork.Clock
	// PrefillTokensPerSecond is the rate at which prompts are computed.
	PrefillTokensPerSecond float64
	// Step is the duration of a decode step at batch size one.
	Step time.Duration
	// StepPerSequence is added to Step for each further sequence in the batch.
	StepPerSequence time.Duration
	// BatchMax is the maximum number of sequences in a batch. Other sequences wait
	// in order of arrival.
	BatchMax int
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// ChecksFencing makes the engine refuse orders with a fencing number lower than
	// the highest one it has applied since its last crash.
	ChecksFencing bool
	// LoadTime is the time from the receipt of an order until it is in effect.
	LoadTime time.Duration
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
	// EventLag is the time from a change of the cache to the publication of its
	// event.
	EventLag time.Duration
	// DropEventEvery drops each cache event whose sequence number is a multiple of
	// it. Zero drops none.
	DropEventEvery int64
	// RestartAfter is the time from a crash to the restart; if zero, the
	// engine stays down until Restart.
	RestartAfter time.Duration
}

const (
	defaultPrefillTokensPerSecond = 20_000
	defaultStep                   = 5 * time.Millisecond
	defaultBatchMax               = 64
	defaultCacheTokens            = 64 << 10
	// defaultMaxTokens is the answer length of a request without max_tokens.
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

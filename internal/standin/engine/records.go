package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Records contains the counters of an engine and its record of each request.
// They survive crashes of the engine.
type Records struct {
	Requests map[tables.RequestID]Record
	Crashes  int
	// PrefilledTokens counts the prompt tokens that were computed, CachedTokens
	// those that were found in the cache. RecomputedTokens counts the part of
	// PrefilledTokens that was computed before in the same incarnation.
	PrefilledTokens  int64
	CachedTokens     int64
	RecomputedTokens int64
	// WastedPrefillTokens counts the prompt tokens computed for requests that were
	// cancelled or failed.
	WastedPrefillTokens int64
	// GeneratedTokens counts the answer tokens generated.
	GeneratedTokens int64
	// Orders lists the applied orders in sequence. StaleOrdersApplied counts those
	// of them with a stale fencing number, and StaleOrdersRefused counts the orders
	// refused for a stale fencing number.
	Orders             []target.Order
	StaleOrdersApplied int
	StaleOrdersRefused int
}

// Record describes what an engine received and did under one request ID.
type Record struct {
	// Dispatches counts the dispatches received; each one was either refused
	// (Refused) or started (Runs).
	Dispatches int
	Refused    int
	// NotLoaded counts the refusals because the model or adapter was not loaded,
	// and LastNotLoaded is the time of the latest one.
	NotLoaded     int
	LastNotLoaded time.Time
	Runs          int
	// Tombstones counts the cancels received for a dispatch that the engine did
	// not know.
	Tombstones int
	Generation target.Generation
	Progress   target.Progress
	Started    time.Time
	Ended      time.Time
	// PrefilledTokens counts the prompt tokens computed.
	PrefilledTokens int
	// Tokens counts the answer tokens generated.
	Tokens int
}

func (r *Record) addStart(g target.Generation, now time.Time) {
	r.Runs++
	r.Generation = g
	r.Progress = target.InProgress
	r.Started = now
}

type records struct {
	Records
	byRequest map[tables.RequestID]*Record
}

func newRecords() records {
	return records{byRequest: make(map[tables.RequestID]*Record)}
}

// recordFor returns the record of a request, creating it if necessary.
func (r *records) recordFor(id tables.RequestID) *Record {
	record := r.byRequest[id]
	if record == nil {
		record = &Record{}
		r.byRequest[id] = record
	}
	return record
}

func (r *records) addPrefill(d *dispatch, computed, recomputed int) {
	r.PrefilledTokens += int64(computed)
	r.CachedTokens += int64(d.cachedTokens)
	r.RecomputedTokens += int64(recomputed)
	r.recordFor(d.generation.ID).PrefilledTokens += computed
}

func (r *records) addToken(d *dispatch) {
	r.GeneratedTokens++
	r.recordFor(d.generation.ID).Tokens++
}

func (r *records) addEnd(d *dispatch, now time.Time) {
	record := r.recordFor(d.generation.ID)
	record.Progress = d.progress
	record.Ended = now
	if d.progress != target.Completed {
		r.WastedPrefillTokens += int64(record.PrefilledTokens)
	}
}

// Records returns a copy of the engine's records.
func (e *Engine) Records() Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.records.Records
	out.Orders = slices.Clone(out.Orders)
	out.Requests = make(map[tables.RequestID]Record, len(e.records.byRequest))
	for id, record := range maps.All(e.records.byRequest) {
		out.Requests[id] = *record
	}
	return out
}

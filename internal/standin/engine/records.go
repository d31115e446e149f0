package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Records are an engine's own counts over all its incarnations.
type Records struct {
	Requests map[tables.RequestID]Record
	// Crashes counts the crashes.
	Crashes int
	// PrefilledTokens were computed for prompts; CachedTokens were not, since
	// the cache held them. RecomputedTokens are the part of PrefilledTokens
	// that this engine had computed before.
	PrefilledTokens  int64
	CachedTokens     int64
	RecomputedTokens int64
	// WastedPrefillTokens were computed for requests that did not complete.
	WastedPrefillTokens int64
	GeneratedTokens     int64
	// Orders were applied, in order. OldOrdersApplied of them carried an old
	// fencing number; OrdersFenced were refused for theirs.
	Orders           []target.Order
	OldOrdersApplied int
	OrdersFenced     int
}

// Record is what an engine knows of one request identity.
type Record struct {
	// Dispatches counts the sends that arrived, Refused those of them that
	// started nothing, and Runs those that started.
	Dispatches int
	Refused    int
	// NotLoaded counts those of Refused for which the model was not held, and
	// LastNotLoaded is the time of the latest.
	NotLoaded     int
	LastNotLoaded time.Time
	Runs          int
	// Tombstones counts the cancels that came before a send.
	Tombstones int
	Generation target.Generation
	Progress   target.Progress
	Started    time.Time
	Ended      time.Time
	// PrefilledTokens were computed for the prompt.
	PrefilledTokens int
	// Tokens counts the answer tokens.
	Tokens int
}

func (r *Record) admitted(g target.Generation, now time.Time) {
	r.Runs++
	r.Generation = g
	r.Progress = target.InProgress
	r.Started = now
}

type records struct {
	Records
	rows map[tables.RequestID]*Record
}

func newRecords() records {
	return records{rows: make(map[tables.RequestID]*Record)}
}

func (r *records) of(id tables.RequestID) *Record {
	row := r.rows[id]
	if row == nil {
		row = &Record{}
		r.rows[id] = row
	}
	return row
}

func (r *records) prefilled(d *dispatch, computed, recomputed int) {
	r.PrefilledTokens += int64(computed)
	r.CachedTokens += int64(d.cachedTokens)
	r.RecomputedTokens += int64(recomputed)
	r.of(d.generation.ID).PrefilledTokens += computed
}

func (r *records) emitted(d *dispatch) {
	r.GeneratedTokens++
	r.of(d.generation.ID).Tokens++
}

func (r *records) ended(d *dispatch, now time.Time) {
	row := r.of(d.generation.ID)
	row.Progress = d.progress
	row.Ended = now
	if d.progress != target.Completed {
		r.WastedPrefillTokens += int64(row.PrefilledTokens)
	}
}

// Records returns a copy of the engine's counts.
func (e *Engine) Records() Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.records.Records
	out.Orders = slices.Clone(out.Orders)
	out.Requests = make(map[tables.RequestID]Record, len(e.records.rows))
	for id, row := range maps.All(e.records.rows) {
		out.Requests[id] = *row
	}
	return out
}

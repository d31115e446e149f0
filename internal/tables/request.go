package tables

import (
	"time"
)

// RequestState is the place of a request in its dispatcher.
type RequestState int

// The states of a request, in the order in which it passes them.
const (
	// Queued requests wait; no byte of them has been sent to a target.
	Queued RequestState = iota
	// Running requests were handed to the adapter of their target.
	Running
	// Finished requests have an outcome.
	Finished
)

// Request is one row of a dispatcher's request table.
type Request struct {
	ID          RequestID
	Customer    CustomerID
	Service     ServiceID
	Fingerprint Fingerprint
	// Tier is the rank of the request's tier; 0 is the most urgent.
	Tier int
	// Share weighs the customer within the tier.
	Share float64
	// Plain marks a call of a plain service, which has no tokens.
	Plain bool
	// NonIdempotent requests are never cancelled while running.
	NonIdempotent bool
	// Arrived is when the gate took the request.
	Arrived time.Time
	// FirstTokenDue and Due are the deadlines of first byte and whole answer.
	FirstTokenDue time.Time
	Due           time.Time
	// PromptTokens and MaxTokens are lengths in tokens.
	PromptTokens int
	MaxTokens    int
	// PredictedTokens is the expected answer length in tokens.
	PredictedTokens int
	// Prefix is the chain of block hashes of the prompt, longest last.
	Prefix []uint64
	// Allowed lists the targets that the gate permits; the request runs at
	// no other target.
	Allowed []TargetID
	// Alone lets the request run only while nothing else runs at its target.
	Alone bool

	State RequestState
	// Target is set from Running on.
	Target TargetID
	// Started is when the request became Running.
	Started time.Time
	// FirstToken is the arrival of the first token; zero before.
	FirstToken time.Time
	// LastProgress is the arrival of the latest token.
	LastProgress time.Time
	// CachedTokens is the prompt part that the target held at the start.
	CachedTokens int
	// TokensOut counts answer tokens so far.
	TokensOut int
	// Cancelling marks a running request whose cancel was sent.
	Cancelling bool
}

// Requests is a dispatcher's request table. It notes which rows were added and
// removed, so that an index over it can follow without a scan.
type Requests struct {
	rows    map[RequestID]*Request
	changes []change
}

type change struct {
	row     *Request
	removed bool
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{rows: make(map[RequestID]*Request)}
}

// Put adds r, or replaces the row of the same ID.
func (t *Requests) Put(r *Request) {
	t.Delete(r.ID)
	t.rows[r.ID] = r
	t.changes = append(t.changes, change{row: r})
}

// Get returns the row of id, or nil.
func (t *Requests) Get(id RequestID) *Request { return t.rows[id] }

// Delete removes the row of id.
func (t *Requests) Delete(id RequestID) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	delete(t.rows, id)
	t.changes = append(t.changes, change{row: r, removed: true})
}

// Changes calls add and remove, in order, for the rows added and removed since
// the last call. Neither may change the table.
func (t *Requests) Changes(add, remove func(*Request)) {
	for _, c := range t.changes {
		if c.removed {
			remove(c.row)
		} else {
			add(c.row)
		}
	}
	clear(t.changes)
	t.changes = t.changes[:0]
}

// Len counts the rows.
func (t *Requests) Len() int { return len(t.rows) }

// All calls visit for every row, in no fixed order.
func (t *Requests) All(visit func(*Request)) {
	for _, r := range t.rows {
		visit(r)
	}
}

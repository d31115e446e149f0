package tables

import (
	"time"
)

// RequestState is the state of a request in its dispatcher.
type RequestState int

// The states of a request, in the order in which they occur.
const (
	// Queued requests wait; none of their bytes have been sent to a target.
	Queued RequestState = iota
	// Running requests were passed to the adapter of their target.
	Running
	// Finished requests have an outcome.
	Finished
)

// Request is a row of a dispatcher's request table.
type Request struct {
	ID          RequestID
	Customer    CustomerID
	Service     ServiceID
	Fingerprint Fingerprint
	// Tier is the rank of the request's tier; 0 is the highest tier.
	Tier int
	// Share is the weight of the customer within the tier.
	Share float64
	// PlainService is set for a call of a plain service, which has no tokens.
	PlainService bool
	// NonIdempotent requests are never cancelled while running to make room for
	// others.
	NonIdempotent bool
	// Arrived is when the gate accepted the request.
	Arrived time.Time
	// FirstTokenDue and Due are the deadlines of the first token and of the complete
	// answer; zero if there is none.
	FirstTokenDue time.Time
	Due           time.Time
	// PromptTokens and MaxTokens are the prompt length and the maximum answer
	// length, in tokens.
	PromptTokens int
	MaxTokens    int
	// PredictedTokens is the expected answer length, in tokens.
	PredictedTokens int
	// PrefixHashes holds the hashes of the prompt's prefixes that end at a block boundary,
	// shortest prefix first.
	PrefixHashes []uint64
	// Allowed lists the targets that the gate permits; the request must not run
	// at any other target.
	Allowed []TargetID
	// Alone restricts the request to run only while no other request runs at its
	// target.
	Alone bool

	State RequestState
	// Target is set once the request is Running.
	Target TargetID
	// Started is when the request became Running.
	Started time.Time
	// FirstToken is when the first chunk of the answer arrived; zero before that.
	FirstToken time.Time
	// LastProgress is when the latest chunk of the answer arrived.
	LastProgress time.Time
	// CachedTokens is the length of the prompt prefix that the target had in its
	// cache at the start, in tokens. It is an estimate until the first chunk of the
	// answer arrives, which reports the actual length.
	CachedTokens int
	// TokensOut is the number of answer tokens received so far.
	TokensOut int
	// Cancelling is set on a running request once its cancellation is decided, and
	// cleared if the cancellation failed.
	Cancelling bool
}

// Requests is a dispatcher's request table. It records which rows were added and
// removed, so that an index can be updated without a scan of the table. It is not
// safe for concurrent use.
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

// Put adds r, or replaces the row with the same ID.
func (t *Requests) Put(r *Request) {
	t.Delete(r.ID)
	t.rows[r.ID] = r
	t.changes = append(t.changes, change{row: r})
}

// Get returns the row with the given ID, or nil.
func (t *Requests) Get(id RequestID) *Request { return t.rows[id] }

// Delete removes the row with the given ID, if any.
func (t *Requests) Delete(id RequestID) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	delete(t.rows, id)
	t.changes = append(t.changes, change{row: r, removed: true})
}

// Changes calls add and remove for the rows that were added and removed since the
// last call, in the order of the changes. The functions must not change the
// table.
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

// Len returns the number of rows.
func (t *Requests) Len() int { return len(t.rows) }

// Each passes every row to visit, in unspecified order.
func (t *Requests) Each(visit func(*Request)) {
	for _, r := range t.rows {
		visit(r)
	}
}

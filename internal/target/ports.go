// Package target defines the interfaces to the targets, which are model engines
// and plain services, and implements their clients over HTTP with JSON and
// server-sent events.
package target

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ErrNotAdmitted is wrapped by errors which prove that the target has not run
// the request and never will: nothing was sent, or the target reported that it
// did not admit the request. From Resume it means only that the engine does not
// know the dispatch, which may have run before the engine restarted.
var ErrNotAdmitted = errors.New("target did not admit the request")

// ErrModelNotLoaded is wrapped by errors of requests whose model or adapter the
// engine does not have loaded. It wraps ErrNotAdmitted.
var ErrModelNotLoaded = fmt.Errorf("%w: model not loaded", ErrNotAdmitted)

// ErrUnknown is wrapped by errors that do not show the outcome of the call. The
// request may have run.
var ErrUnknown = errors.New("target outcome unknown")

// ErrFailed is wrapped by errors of requests that ran and that the target
// reported as failed or cancelled.
var ErrFailed = errors.New("target failed the request")

// ErrFenced is wrapped by errors of orders that the target rejected because of an
// old fencing number.
var ErrFenced = errors.New("order carries an old fencing number")

// Generation is a request to a model engine.
type Generation struct {
	ID        tables.RequestID `json:"dispatch_id"`
	Model     string           `json:"model"`
	Adapter   string           `json:"adapter,omitempty"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
}

// Chunk is a part of a streamed response.
type Chunk struct {
	// Offset is the number of tokens of the response that precede Text.
	Offset int `json:"offset"`
	// Text is the decoded text.
	Text string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
	// Final is set in the last chunk of a complete response.
	Final bool `json:"final,omitempty"`
	// CachedTokens is the number of prompt tokens that the engine took from its
	// prefix cache. It is set only in the first chunk.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Stream is a streamed response.
type Stream interface {
	// Next blocks until the next chunk is received. After the final chunk it
	// returns io.EOF. Other errors wrap ErrUnknown or ErrFailed.
	Next(ctx context.Context) (Chunk, error)
	// Close closes the connection. It does not cancel the generation at the
	// engine.
	Close() error
}

// Progress is the progress of a dispatch as reported by its target.
type Progress string

// The values of Progress.
const (
	// NeverStarted means that the target has not run the dispatch. If the report
	// answers a cancel request, the target never will.
	NeverStarted Progress = "never_started"
	// InProgress means that the target is running the dispatch.
	InProgress Progress = "running"
	// Completed means that the target has run the dispatch to completion.
	Completed Progress = "completed"
	// Cancelled means that the target began to run the dispatch and stopped it on
	// request.
	Cancelled Progress = "cancelled"
	// Failed means that the target began to run the dispatch and failed.
	Failed Progress = "failed"
	// NotKnown means that the target has no information about the dispatch, for
	// example after a restart.
	NotKnown Progress = "not_known"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence is the number of the event. Numbers are consecutive; a gap means
	// that events were lost.
	Sequence int64 `json:"sequence"`
	// Stored and Evicted are the hashes of the blocks added to and removed from
	// the cache.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Order is a command to an engine. It describes the complete desired state and is
// therefore idempotent.
type Order struct {
	// Fence is the fencing number of the lease under which the order is sent.
	Fence int64 `json:"fence"`
	// Models, Adapters and Version are the models, the adapters and the model
	// version that the engine must have loaded.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role"`
}

// OrderState is an engine's current order and its status.
type OrderState struct {
	Order Order `json:"order"`
	// Loading is set until the engine has carried out the order.
	Loading bool `json:"loading"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a generation. Errors wrap ErrNotAdmitted, ErrUnknown or
	// ErrFailed.
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Resume continues the stream of a dispatch from the token at offset on a new
	// connection. It never starts a generation. Errors wrap ErrNotAdmitted if the
	// engine does not know the dispatch, for example because it has restarted, perhaps
	// with other software, and otherwise ErrUnknown or ErrFailed.
	Resume(ctx context.Context, id tables.RequestID, offset int) (Stream, error)
	// Cancel stops a dispatch and leaves a tombstone for its ID, so that the
	// engine does not run it if it arrives later. Errors wrap ErrUnknown.
	Cancel(ctx context.Context, id tables.RequestID) (Progress, error)
	// Load returns the latest load report. Errors wrap ErrUnknown, or the error
	// for the code in the engine's error response.
	Load(ctx context.Context) (tables.LoadReport, error)
	// CacheEvents returns the cache events whose sequence number is greater than
	// after. Errors are like those of Load.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Apply sends an order to the engine. Errors wrap ErrFenced, ErrNotAdmitted or
	// ErrUnknown.
	Apply(ctx context.Context, o Order) error
	// State returns the engine's current order and whether it is still loading.
	// Errors are like those of Load.
	State(ctx context.Context) (OrderState, error)
}

// Call is a call of an operation of a plain service.
type Call struct {
	ID        tables.RequestID
	Service   tables.ServiceID
	Operation string
	Body      []byte
	// Timeout is the time limit for the complete response; zero means none.
	Timeout time.Duration
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Body   []byte
}

// PlainService is a target of plain services, which have no model. A call of an
// operation has one complete response instead of a stream.
type PlainService interface {
	// Call calls an operation. Errors wrap ErrNotAdmitted, ErrUnknown or
	// ErrFailed.
	Call(ctx context.Context, c Call) (Response, error)
	// Cancel leaves a tombstone for a dispatch, so that the target does not run
	// it if it arrives later, and returns the dispatch's progress. It does not
	// stop a running call. Errors wrap ErrUnknown.
	Cancel(ctx context.Context, id tables.RequestID) (Progress, error)
	// Outcome returns the progress of a dispatch and, if the call has completed
	// and the target still stores it, the response. Errors wrap ErrUnknown.
	Outcome(ctx context.Context, id tables.RequestID) (Response, Progress, error)
}

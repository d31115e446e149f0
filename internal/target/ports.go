// Package target is the boundary to the systems served: model engines and
// plain services. The interfaces are what the dispatcher uses; the clients
// speak HTTP with JSON and server-sent events.
package target

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ErrNotAdmitted is wrapped by errors that prove that the target has not
// run the request and never will: the connection was refused before a byte was
// sent, or the target said so.
var ErrNotAdmitted = errors.New("target did not admit the request")

// ErrModelNotLoaded is wrapped by the errors of an engine that does not hold the
// model or adapter of a request. It is an ErrNotAdmitted.
var ErrModelNotLoaded = fmt.Errorf("%w: model not loaded", ErrNotAdmitted)

// ErrUnknown is wrapped by errors after which the request may have run.
var ErrUnknown = errors.New("target outcome unknown")

// ErrFailed is wrapped by errors with which the target itself ended a
// request that ran.
var ErrFailed = errors.New("target failed the request")

// ErrFenced is returned for an order with an old fencing number.
var ErrFenced = errors.New("order carries an old fencing number")

// Generation is a request to a model engine.
type Generation struct {
	ID        tables.RequestID `json:"dispatch_id"`
	Model     string           `json:"model"`
	Adapter   string           `json:"adapter,omitempty"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
}

// Chunk is one event of an answer stream.
type Chunk struct {
	// Offset is the index of the first token of Text in the answer.
	Offset int `json:"offset"`
	// Text is the decoded text.
	Text string `json:"text"`
	// Tokens counts the tokens in Text.
	Tokens int `json:"tokens"`
	// Final marks the last chunk of a whole answer.
	Final bool `json:"final,omitempty"`
	// CachedTokens is the reused prompt prefix; set on the first chunk.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Stream is an answer as it comes.
type Stream interface {
	// Next blocks for the next chunk. After a chunk with Final it returns
	// io.EOF. Other errors wrap ErrUnknown or ErrFailed.
	Next(ctx context.Context) (Chunk, error)
	// Close drops the connection; the engine goes on.
	Close() error
}

// Progress is a target's own word about a dispatch ID.
type Progress string

// The words of a target.
const (
	// NeverStarted: the target has not run it; after a cancel it never will.
	NeverStarted Progress = "never_started"
	// InProgress: the target runs it.
	InProgress Progress = "running"
	// Completed: the target ran it to its end.
	Completed Progress = "completed"
	// Cancelled: the target ran a part of it and stopped.
	Cancelled Progress = "cancelled"
	// Failed: the target ran a part of it and failed.
	Failed Progress = "failed"
	// NotKnown: the target cannot tell, for example after its restart.
	NotKnown Progress = "not_known"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one; a jump means that events were lost.
	Sequence int64 `json:"sequence"`
	// Stored and Evicted are block hashes.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Order is a command to an engine. It states a whole desired state, so that
// repeating it is harmless.
type Order struct {
	// Fence is the offset of the lease record that covers the order.
	Fence int64 `json:"fence"`
	// Models, Adapters and Version are what the engine shall hold.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role"`
}

// OrderState is what an engine holds.
type OrderState struct {
	Order Order `json:"order"`
	// Loading states that the engine has not finished the order.
	Loading bool `json:"loading"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a generation. Errors wrap ErrNotAdmitted or ErrUnknown.
	Generate(ctx context.Context, g Generation) (Stream, error)
	// Resume continues the stream of a dispatch from a token offset on a new
	// connection and starts nothing. Errors wrap ErrNotAdmitted when
	// the engine does not know the dispatch, or ErrUnknown.
	Resume(ctx context.Context, id tables.RequestID, offset int) (Stream, error)
	// Cancel stops a dispatch and leaves a tombstone, so that an ID that has
	// not started never will. Errors wrap ErrUnknown.
	Cancel(ctx context.Context, id tables.RequestID) (Progress, error)
	// Load returns the latest load report. Errors wrap ErrUnknown.
	Load(ctx context.Context) (tables.LoadReport, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Apply sends an order. Errors wrap ErrFenced, ErrNotAdmitted or ErrUnknown.
	Apply(ctx context.Context, o Order) error
	// State reads back what the engine holds.
	State(ctx context.Context) (OrderState, error)
}

// Call is a request to a plain service.
type Call struct {
	ID        tables.RequestID
	Service   tables.ServiceID
	Operation string
	Body      []byte
	// Timeout bounds the wait for the whole answer.
	Timeout time.Duration
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Body   []byte
}

// Plain is a plain service.
type Plain interface {
	// Call runs one call. Errors wrap ErrNotAdmitted, ErrUnknown or ErrFailed.
	Call(ctx context.Context, c Call) (Answer, error)
	// Cancel leaves a tombstone for a dispatch and tells its progress; a
	// running call goes on. Errors wrap ErrUnknown.
	Cancel(ctx context.Context, id tables.RequestID) (Progress, error)
	// Outcome returns the answer of a completed call, if it is still kept.
	Outcome(ctx context.Context, id tables.RequestID) (Answer, Progress, error)
}

package target

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// DispatchHeader is the header with the dispatch ID of a request.
const DispatchHeader = "Dispatch-Id"

// Codes in a target's error responses and error events.
const (
	// CodeNotAdmitted means that the target has not run the request and never
	// will.
	CodeNotAdmitted = "not_admitted"
	// CodeTombstoned means that the dispatch was cancelled before it arrived.
	CodeTombstoned = "tombstoned"
	// CodeDuplicate means that the target had already received the dispatch ID
	// and did not start a second run.
	CodeDuplicate = "duplicate_dispatch"
	// CodeUnknownDispatch means that the target does not know the dispatch ID.
	CodeUnknownDispatch = "unknown_dispatch"
	// CodeMalformed means that the request violates the protocol.
	CodeMalformed = "malformed"
	// CodeModelNotLoaded means that the engine does not have the model or adapter
	// loaded.
	CodeModelNotLoaded = "model_not_loaded"
	// CodeFenced means that the order has an old fencing number.
	CodeFenced = "fenced"
	// CodeCancelled means that the request was cancelled while it ran.
	CodeCancelled = "cancelled"
	// CodeFailed means that the request failed while it ran.
	CodeFailed = "failed"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// CompletionEvent is the data of one server-sent event of a response.
type CompletionEvent struct {
	ID      tables.RequestID   `json:"id"`
	Choices []CompletionChoice `json:"choices,omitempty"`
	// Offset is the number of tokens of the response that precede the text.
	Offset int `json:"offset"`
	// Tokens is the number of tokens in the text.
	Tokens int `json:"tokens"`
	// CachedTokens is the number of prompt tokens that the engine took from its
	// prefix cache. It is set only in the first event.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Error is set in the last event of an incomplete response.
	Error *CompletionError `json:"error,omitempty"`
}

// CompletionChoice contains the text of an event.
type CompletionChoice struct {
	Text string `json:"text"`
	// FinishReason is set in the last completion event of a complete
	// response.
	FinishReason *string `json:"finish_reason"`
}

// CompletionError is the reason why a response is incomplete.
type CompletionError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// DoneMarker is the data of the event that ends the stream of a complete
// response.
const DoneMarker = "[DONE]"

// ProgressResponse is the response to a cancel request.
type ProgressResponse struct {
	Progress Progress `json:"progress"`
}

// OutcomeResponse is the response to a query for the outcome of a call of a plain
// service. Status and Body are those of the call's response.
type OutcomeResponse struct {
	Progress Progress `json:"progress"`
	Status   int      `json:"status,omitempty"`
	Body     []byte   `json:"body,omitempty"`
}

// LoadResponse is the response with an engine's load report.
type LoadResponse struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	CacheTokens int       `json:"cache_tokens"`
}

// CacheEventsResponse is the response with an engine's cache events.
type CacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
}

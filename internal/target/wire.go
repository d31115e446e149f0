package target

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// DispatchHeader carries the dispatch ID of a call.
const DispatchHeader = "Dispatch-Id"

// Codes with which a target refuses or ends a request.
const (
	// CodeNotAdmitted: the target has not run the request and never will.
	CodeNotAdmitted = "not_admitted"
	// CodeTombstoned: the dispatch ID was cancelled before it arrived.
	CodeTombstoned = "tombstoned"
	// CodeDuplicate: the dispatch ID was sent before; this send started nothing.
	CodeDuplicate = "duplicate_dispatch"
	// CodeUnknownDispatch: the target does not know the dispatch ID.
	CodeUnknownDispatch = "unknown_dispatch"
	// CodeMalformed: the request does not match the protocol.
	CodeMalformed = "malformed"
	// CodeModelNotLoaded: the engine does not hold the model.
	CodeModelNotLoaded = "model_not_loaded"
	// CodeFenced: the order carries an old fencing number.
	CodeFenced = "fenced"
	// CodeCancelled: the request was cancelled while it ran.
	CodeCancelled = "cancelled"
	// CodeFailed: the request failed while it ran.
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

// CompletionEvent is the data of one server-sent event of an answer.
type CompletionEvent struct {
	ID      tables.RequestID   `json:"id"`
	Choices []CompletionChoice `json:"choices,omitempty"`
	// Offset is the index of the first token of the text in the answer.
	Offset int `json:"offset"`
	// Tokens counts the tokens of the text.
	Tokens int `json:"tokens"`
	// CachedTokens is the reused prompt prefix; set on the first event.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Error ends a stream that will not be whole.
	Error *CompletionError `json:"error,omitempty"`
}

// CompletionChoice carries the text of an event.
type CompletionChoice struct {
	Text string `json:"text"`
	// FinishReason is set on the last event of a whole answer.
	FinishReason *string `json:"finish_reason"`
}

// CompletionError ends a stream that will not be whole.
type CompletionError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// DoneMarker is the data of the last event of a whole answer.
const DoneMarker = "[DONE]"

// ProgressAnswer is a target's word about a dispatch ID.
type ProgressAnswer struct {
	Progress Progress `json:"progress"`
}

// OutcomeAnswer is what a plain service keeps of a call.
type OutcomeAnswer struct {
	Progress Progress `json:"progress"`
	Status   int      `json:"status,omitempty"`
	Body     []byte   `json:"body,omitempty"`
}

// LoadAnswer is an engine's load report.
type LoadAnswer struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	CacheTokens int       `json:"cache_tokens"`
}

// CacheEventsAnswer is a page of cache events.
type CacheEventsAnswer struct {
	Events []CacheEvent `json:"events"`
}

// Package edge serves callers' requests on one host: it admits a request,
// acquires a slot, sends the request to the target and relays the response. It
// is independent of the wire format, which adapters decode and encode.
package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Request is a caller's request.
type Request struct {
	// ID is the request ID set by the caller.
	ID string
	// Method, Host and URI are forwarded unchanged. Path is the path of URI.
	Method, Host, URI, Path string
	// Header holds the headers to forward.
	Header http.Header
	Body   []byte
	// Key is the caller's API key.
	Key string
	// Arrived is when the header was read.
	Arrived time.Time
	// Patience is the time that the caller waits for the response; zero means
	// unknown.
	Patience time.Duration
	// The number of prompt tokens and the maximum number of output tokens. They
	// are valid only if the caller stated them, which the flag below reports.
	Prompt, Output int
	Counted        bool
	// After is the ID of the last event received by the caller; empty if none.
	After string
	// Content is the same for requests with the same content from the same
	// caller.
	Content tables.Fingerprint
}

// Caller writes the response to one request. It is not safe for concurrent use.
type Caller interface {
	// Begin sends the status and header of a target's response. A negative
	// length means unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body immediately. An error means that the
	// caller has disconnected.
	Write(part []byte) error
	// Refuse responds with an error according to the kind of err.
	Refuse(err error)
	// Abort ends a started response in a way that the caller can tell from a
	// complete one.
	Abort()
}

// Call is one attempt to send a request to a target.
type Call struct {
	Request  *Request
	Customer tables.CustomerID
	// Left is the time budget for the target's response.
	Left time.Duration
	// After is the ID of the last event received by the caller; empty if none.
	After string
	// Fresh is true if the call must use a new connection.
	Fresh bool
}

// Answer holds the status, header and body that a target returned.
type Answer struct {
	Status int
	Header http.Header
	// Genuine is true if the response carries the target's seal.
	Genuine bool
	// Length is the length of the body; negative if unknown.
	Length int64
	Body   io.ReadCloser
}

// Targets sends calls to targets. Errors are of type *SendError.
type Targets interface {
	Send(ctx context.Context, t fleet.Target, c Call) (*Answer, error)
}

// Proof tells how far a failed call got.
type Proof uint8

// The values, from the strongest proof that the request did not run to the
// weakest.
const (
	// Unsent means that no byte was sent to the target.
	Unsent Proof = iota
	// NotRun means that the target stated that it did not run the request.
	NotRun
	// OtherTarget means that the address now belongs to another target.
	OtherTarget
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun
)

// String returns the name that logs use.
func (d Proof) String() string {
	return [...]string{"unsent", "not_run", "other_target", "may_have_run"}[d]
}

// SendError is the error of a call without a response to relay.
type SendError struct {
	Proof Proof
	Cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.Proof.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

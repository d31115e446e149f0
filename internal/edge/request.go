// Package edge serves callers' requests on one host: it admits a request,
// acquires a slot, sends the request to the target and relays the response. It
// is independent of the wire format, which adapters decode and encode.
package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
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
	// Protocol is the HTTP version that the caller speaks, such as "HTTP/1.1".
	Protocol string
	// Key is the caller's API key.
	Key string
	// Arrived is when the header was read.
	Arrived time.Time
	// Timeout is the time that the caller waits for the response; zero means
	// unknown.
	Timeout time.Duration
	// PromptTokens is the number of prompt tokens, and MaxOutputTokens the
	// maximum number of output tokens. They are valid only if HasTokenCounts is
	// set, that is, if the caller stated them.
	PromptTokens, MaxOutputTokens int
	HasTokenCounts                bool
	// OutputHint is how many output tokens the caller expects; zero if it does not say.
	OutputHint int
	// PromptParts lists the IDs of the parts of the prompt in order; empty if the caller
	// named none. Requests share parts. The last one belongs to the request or its session.
	PromptParts []string
	// LastEventID is the ID of the last event received by the caller, as it states it; empty
	// if it states none.
	LastEventID string
	// FirstAttempt is the ID of the request that brought the first event of the stream
	// that the caller takes up; empty if it names none.
	FirstAttempt string
	// Fingerprint is the same for requests with the same content from the same
	// caller.
	Fingerprint tables.Fingerprint
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
	// Timeout is the time budget for the target's response.
	Timeout time.Duration
	// LastEventID is the ID of the last event received by the caller; empty if none.
	LastEventID string
	// NewConnection is true if the call must use a new connection.
	NewConnection bool
	// Resumable is true if the answer is a stream that may go on at another target: this host
	// may ask one whether it does, or the caller takes the stream up.
	Resumable bool
	// Through names hosts that are likely to reach the target, the best first; empty if
	// none is known.
	Through []tables.HostID
	// OnNotice is called once the header of an answer has been read, whatever the answer
	// is.
	OnNotice func(TargetNotice)
}

// TargetNotice is what a target says about itself in any of its answers.
type TargetNotice struct {
	// Leaving is true if the target is leaving.
	Leaving bool
	// QuietFor is how long the target wants no further request from this host; zero
	// if it does not say so.
	QuietFor time.Duration
	// Needs is what the target says of the requests that it takes. It says nothing if
	// NeedsUnclear is true: what it says cannot be read.
	Needs        pool.Needs
	NeedsUnclear bool
}

// Response holds the status, header and body that a target returned.
type Response struct {
	Status int
	Header http.Header
	// Signed is true if the response carries the target's signature.
	Signed bool
	// ClaimsNotRun is true if the status tells callers that the request has not run, although
	// the target does not state that: the request may have run.
	ClaimsNotRun bool
	// Length is the length of the body; negative if unknown.
	Length int64
	// Framed is true if the end of the body can be told from the end of the connection.
	Framed bool
	Body   io.ReadCloser
	// Via is the host that sent the request for this one; empty if this host did.
	Via tables.HostID
}

// Transport sends calls to targets. Errors are of type *SendError.
type Transport interface {
	Send(ctx context.Context, t fleet.Target, c Call) (*Response, error)
}

// Delivery tells how far a failed call got.
type Delivery uint8

// The values of Delivery, in order of decreasing certainty that the request did
// not run.
const (
	// Unsent means that no byte was sent to the target.
	Unsent Delivery = iota
	// NotRun means that the target stated that it did not run the request.
	NotRun
	// WrongTarget means that the address now belongs to another target.
	WrongTarget
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun
)

// String returns the name that logs use.
func (d Delivery) String() string {
	return [...]string{"unsent", "not_run", "other_target", "may_have_run"}[d]
}

// SendError is the error of a failed call to a target.
type SendError struct {
	Delivery Delivery
	// Answered is true if the target answered, and the answer is no use.
	Answered bool
	// Via is the host that sent the request for this one, or tried to; empty if this host
	// did.
	Via   tables.HostID
	Cause error
}

// ErrEndInDoubt is wrapped by errors of reading the body of an answer that is not framed: its
// connection ended, and so may have the target in the middle of the answer.
var ErrEndInDoubt = errors.New("the target has ended at the end of an answer without a length")

// ErrEndUnconfirmed is wrapped by errors of reading the body of an answer that has ended
// regularly, and whose target was leaving and has ended as well. Only calls with Resumable have it.
var ErrEndUnconfirmed = errors.New("a target that was leaving has ended at the end of its answer")

// ErrHostLost is wrapped by errors of calls that failed because the host that sent the
// request for this one was lost. They say nothing about the target.
var ErrHostLost = errors.New("the host that sent the request was lost")

// ErrRestarted is the cause of a call that was not sent because the target has started again
// since its last entry. Its software may be another one than that of the entry.
var ErrRestarted = errors.New("the target has started again since it was listed")

// Error implements error.
func (e *SendError) Error() string { return e.Delivery.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

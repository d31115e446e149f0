// Package edge takes a caller's request through one host: admit, place, send,
// relay, finish. It knows no wire format; adapters decode requests and carry
// answers.
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
	// ID is the identity that the caller gave it.
	ID string
	// Method, Host and URI are passed on unchanged. Path is that of the URI.
	Method, Host, URI, Path string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's API key.
	Key string
	// Arrived is when its header was read.
	Arrived time.Time
	// Patience is how long the caller waits; zero means unknown.
	Patience time.Duration
	// Prompt and Output are the numbers of tokens to read and to make at most.
	// Counted is false when the caller states none.
	Prompt, Output int
	Counted        bool
	// After is the last event that the caller has, empty without.
	After string
	// Content is equal for requests of equal content from one caller.
	Content tables.Fingerprint
}

// Caller receives the answer of one request. One goroutine uses it.
type Caller interface {
	// Begin sends the head of a target's answer. A length below zero means that
	// it is unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body at once. Errors mean that the caller left.
	Write(part []byte) error
	// Refuse answers with the error kind of err.
	Refuse(err error)
	// Abort ends an answer that has begun so that it does not look whole.
	Abort()
}

// Call is one send of a request to a target.
type Call struct {
	Request  *Request
	Customer tables.CustomerID
	// Left is the time that the target may take.
	Left time.Duration
	// After is the last event that the caller has, empty without.
	After string
	// Fresh asks for a connection that was not used before.
	Fresh bool
}

// Answer is the head of a target's answer with its body.
type Answer struct {
	Status int
	Header http.Header
	// Genuine answers carry the target's signature.
	Genuine bool
	// Length is that of the body, below zero when unknown.
	Length int64
	Body   io.ReadCloser
}

// Targets carries calls to targets. Errors are of type *SendError.
type Targets interface {
	Send(ctx context.Context, t fleet.Target, c Call) (*Answer, error)
}

// Proof is what is known of a send that gave no answer to pass on.
type Proof uint8

// The proofs, from the strongest that nothing ran.
const (
	// Unsent means that no byte reached the target.
	Unsent Proof = iota
	// NotRun is the target's word that it has not run the request.
	NotRun
	// OtherTarget means that another target has the address.
	OtherTarget
	// MayHaveRun means that the request was sent and nothing more is known.
	MayHaveRun
)

// String returns the name of the proof for logs.
func (p Proof) String() string {
	return [...]string{"unsent", "not_run", "other_target", "may_have_run"}[p]
}

// SendError is a send without an answer to pass on.
type SendError struct {
	Proof Proof
	Cause error
}

// Error returns proof and cause.
func (e *SendError) Error() string { return e.Proof.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Package httpcall makes single HTTP calls with a limit on the size of the response
// body. Its errors state whether a byte of the request may have been sent.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// MaxHeaderBytes is the size limit of the header of a response, for the transports of
// all clients. A server may send without end.
const MaxHeaderBytes = 64 << 10

// NewClient returns a client with the default settings of net/http and MaxHeaderBytes.
func NewClient() *http.Client {
	transport := &http.Transport{}
	if defaults, ok := http.DefaultTransport.(*http.Transport); ok {
		transport = defaults.Clone()
	}
	transport.MaxResponseHeaderBytes = MaxHeaderBytes
	return &http.Client{Transport: transport}
}

// Request is an HTTP request.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is the error of a call that did not get a complete response.
type Error struct {
	// Sent is false if no byte of the request left the process, so the peer has not
	// received any part of it.
	Sent  bool
	cause error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Start sends r and returns once the response header has arrived. The caller must
// close the body. Start injects the trace context of ctx into the request headers.
// Errors are of type *Error.
func Start(ctx context.Context, c *http.Client, r Request) (*http.Response, error) {
	ctx, sent, err := observeSend(ctx, c)
	if err != nil {
		return nil, &Error{cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &Error{cause: err}
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.Do(req)
	if err != nil {
		c.CloseIdleConnections()
		return nil, &Error{Sent: sent.Load(), cause: err}
	}
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, &Error{Sent: true, cause: err}
	}
	return resp, nil
}

// observeSend returns the context for one call and a flag that becomes true once a
// byte of the call may have left the process. With a permit function in ctx the flag
// is set before the first permitted write, otherwise when the call gets a
// connection. The error is ErrUnguarded if ctx has a permit function and the client
// was not made by NewGuarded.
func observeSend(ctx context.Context, c *http.Client) (context.Context, *atomic.Bool, error) {
	if permit := permitOf(ctx); permit != nil {
		if _, guarded := c.Transport.(guardedTransport); !guarded {
			return nil, nil, ErrUnguarded
		}
		call := &guardedCall{permit: permit}
		return context.WithValue(ctx, callKey{}, call), &call.sent, nil
	}
	var sent atomic.Bool
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, hooks), &sent, nil
}

// ErrUnframed is the cause of the error of a call whose response states neither its length nor
// chunks. A server that ends while it responds closes the connection like one that has finished,
// so such a body may be cut anywhere.
var ErrUnframed = errors.New("the response has neither a length nor chunks")

// isFramed reports whether the end of a body can be told from the end of its connection.
func isFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.ProtoMajor >= 2 || r.Uncompressed
}

// Do sends r and reads the complete response. It fails if the body is longer than
// maxBody bytes, and with ErrUnframed if its end is not stated. Errors are of type *Error.
func Do(ctx context.Context, c *http.Client, r Request, maxBody int64) (Response, error) {
	resp, err := Start(ctx, c, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if !isFramed(resp) {
		return Response{}, &Error{Sent: true, cause: fmt.Errorf("status %d: %w", resp.StatusCode, ErrUnframed)}
	}
	body, err := ReadBody(resp.Body, maxBody)
	if err != nil {
		return Response{}, &Error{Sent: true, cause: err}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// ReadBody reads body to the end. It fails if body is longer than maxBody bytes.
func ReadBody(body io.Reader, maxBody int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(data)) > maxBody {
		return nil, fmt.Errorf("body exceeds %d bytes", maxBody)
	}
	return data, nil
}

// WriteJSON writes a response with the given status and v encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Problem is the JSON body of an error response.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail describes an error.
type ProblemDetail struct {
	// Code identifies the type of the error for programs and is stable.
	Code string `json:"code"`
	// Message is a one-line description for people.
	Message string `json:"message"`
}

// WriteProblem writes a response with the given status and a Problem as the body.
func WriteProblem(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, Problem{ProblemDetail{Code: code, Message: message}})
}

// ProblemOf returns the problem detail in the body of r, or the zero value if the
// body is not a valid Problem.
func ProblemOf(r Response) ProblemDetail {
	var p Problem
	if json.Unmarshal(r.Body, &p) != nil {
		return ProblemDetail{}
	}
	return p.Error
}

// Package httpcall makes one HTTP call with a bounded body and states whether
// bytes of the request may have left the process.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// Request is one call.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error is a call that got no whole answer.
type Error struct {
	// Sent is false when no byte of the call left the process, which proves
	// that the peer has seen nothing of it.
	Sent  bool
	cause error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Start sends r and returns as soon as the header of the answer is there. The
// caller closes the body. The W3C trace context of ctx goes along. Errors are
// of type *Error.
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
	return resp, nil
}

// observeSend returns the context of one call and a flag that is true once a
// byte of the call may have left the process: when it wrote with its permit, or,
// without one, when it was handed a connection. The error is ErrUnguarded.
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

// Do sends r and reads the whole answer, of which the body may have up to
// maxBody bytes. Errors are of type *Error.
func Do(ctx context.Context, c *http.Client, r Request, maxBody int64) (Response, error) {
	resp, err := Start(ctx, c, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := ReadBody(resp.Body, maxBody)
	if err != nil {
		return Response{}, &Error{Sent: true, cause: err}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// ReadBody reads all of body, or fails when it is longer than maxBody bytes.
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

// WriteJSON answers with status and v.
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

// Problem is the JSON body of an error answer.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail says what was wrong.
type ProblemDetail struct {
	// Code is a stable word for programs.
	Code string `json:"code"`
	// Message is one line for people.
	Message string `json:"message"`
}

// WriteProblem answers with status and a Problem.
func WriteProblem(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, Problem{ProblemDetail{Code: code, Message: message}})
}

// ProblemOf returns the problem in the body of r; its code is empty when the
// body holds none.
func ProblemOf(r Response) ProblemDetail {
	var p Problem
	if json.Unmarshal(r.Body, &p) != nil {
		return ProblemDetail{}
	}
	return p.Error
}

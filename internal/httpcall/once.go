package httpcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
)

// maxReplacements bounds the kept connections to one server that may prove dead under one request.
const maxReplacements = 8

// repeatableHeaders make net/http repeat requests without a body, whatever their method.
var repeatableHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// lengthMethods are the methods with which net/http states the length of an empty body.
var lengthMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch}

// NeedsNewConnection reports whether net/http would repeat a request on its own despite SendOnce, if it
// went over a kept connection.
func NeedsNewConnection(method string, header http.Header, bodyLength int) bool {
	marked := slices.ContainsFunc(repeatableHeaders, func(name string) bool { return header.Get(name) != "" })
	return bodyLength == 0 && marked && slices.Contains(lengthMethods, method)
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// CountWrites returns a dial function for the transports of SendOnce. Its connections count the bytes
// that are written to them.
func CountWrites(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// countedConn is a connection that counts the bytes written to it.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Sending is the connection over which a request was sent.
type Sending struct {
	conn   net.Conn
	reused bool
	// before is the number of bytes that earlier requests had written to the connection.
	before int64
}

// Begun reports whether the request got a connection, so that it may have been sent.
func (s *Sending) Begun() bool { return s.conn != nil }

// Close closes the connection, if there is one.
func (s *Sending) Close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

func (s *Sending) gotConn(info httptrace.GotConnInfo) {
	s.conn, s.reused = info.Conn, info.Reused
	if c, ok := info.Conn.(*countedConn); ok {
		s.before = c.written.Load()
	}
}

// foundDead reports whether a kept connection broke before a byte of the request was written to it.
func (s *Sending) foundDead() bool {
	c, ok := s.conn.(*countedConn)
	return ok && s.reused && c.written.Load() == s.before
}

// SendOnce sends a request with the given body through a transport of net/http, and writes it to one
// connection at most. On its own net/http would send a request without a body again, to the same
// server, if a kept connection breaks before the answer has begun.
//
// A kept connection that proves dead before a byte of the request was written is replaced by another
// one, if the transport dials with CountWrites. A request for which NeedsNewConnection holds must go
// through a transport that keeps no connections. Errors are those of the transport.
func SendOnce(ctx context.Context, through http.RoundTripper, req *http.Request, body []byte) (*http.Response, *Sending, error) {
	for replaced := 0; ; replaced++ {
		sending := &Sending{}
		hooks := &httptrace.ClientTrace{GotConn: sending.gotConn}
		attempt := req.WithContext(httptrace.WithClientTrace(ctx, hooks))
		setBody(attempt, body)
		resp, err := through.RoundTrip(attempt)
		if err == nil || ctx.Err() != nil || replaced == maxReplacements || !sending.foundDead() {
			return resp, sending, err
		}
	}
}

// setBody sets a body that net/http can't rewind, so that it does not send the request again. An empty
// one has the encoding "identity", with which net/http writes neither a length nor chunks.
func setBody(req *http.Request, body []byte) {
	req.GetBody = nil
	switch {
	case len(body) > 0:
		req.Body, req.ContentLength = onceBody{bytes.NewReader(body)}, int64(len(body))
	case slices.Contains(lengthMethods, req.Method):
		req.Body, req.ContentLength = nil, 0
	default:
		req.Body, req.ContentLength = onceBody{bytes.NewReader(nil)}, 0
		req.TransferEncoding = []string{"identity"}
	}
}

// onceBody is a request body that hides from net/http that it could be rewound.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

package httpcall

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var (
	// ErrNotPermitted is the cause of a call whose permit said no when its
	// connection was ready.
	ErrNotPermitted = errors.New("the permit to send has lapsed")
	// ErrUnguarded is the cause of a call that needs a permit, on a client that
	// cannot ask for it.
	ErrUnguarded = errors.New("the client does not ask permits: it was not made by NewGuarded")
)

type (
	permitKey struct{}
	callKey   struct{}
)

// WithPermit makes calls under ctx ask permit after their connection was made
// and before the first byte is written. A process that was paused in between
// asks only when it runs again, and writes to a connection from before the
// pause. permit is called from any goroutine. The client must be one of
// NewGuarded.
func WithPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

func permitOf(ctx context.Context) func() bool {
	permit, _ := ctx.Value(permitKey{}).(func() bool)
	return permit
}

// guardedCall is one call whose connection asks permit.
type guardedCall struct {
	permit func() bool
	// sent is true once a byte of the call may have left the process.
	sent atomic.Bool
}

// guardedTransport opens a connection for each call. A connection that several
// calls shared could not tell whose permit to ask.
type guardedTransport struct {
	*http.Transport
}

// NewGuarded returns a client that opens a connection for each call and asks
// the permit of the call before the first write. Opening takes at most
// dialTimeout.
func NewGuarded(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: guardedTransport{&http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			call, guarded := ctx.Value(callKey{}).(*guardedCall)
			if err != nil || !guarded {
				return conn, err
			}
			return &guardedConn{Conn: conn, call: call}, nil
		},
	}}}
}

// guardedConn asks the permit of its call before the first write. It hides the
// other ways of writing that the connection below it may have.
type guardedConn struct {
	net.Conn
	call *guardedCall
}

// Write writes p if the call may be sent. The error is ErrNotPermitted or that
// of the connection.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.call.sent.Load() {
		if !c.call.permit() {
			return 0, ErrNotPermitted
		}
		c.call.sent.Store(true)
	}
	return c.Conn.Write(p)
}

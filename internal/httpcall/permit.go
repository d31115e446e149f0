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
	// ErrNotPermitted is the cause of the error of a call that was not sent because
	// its permit function returned false.
	ErrNotPermitted = errors.New("the permit to send has lapsed")
	// ErrUnguarded is the cause of the error of a call whose context has a permit
	// function but whose client was not made by NewGuarded.
	ErrUnguarded = errors.New("the client does not ask permits: it was not made by NewGuarded")
)

type (
	permitKey struct{}
	callKey   struct{}
)

// WithPermit returns a context whose calls invoke permit after the connection is
// established and before the first byte is written. If permit returns false, the
// call fails with ErrNotPermitted and sends nothing. So a process that was paused
// after the connection was established checks the permit after the pause, and writes
// to that connection only if the call is still permitted. permit may be called from
// any goroutine. The client must be made by NewGuarded.
func WithPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

func permitOf(ctx context.Context) func() bool {
	permit, _ := ctx.Value(permitKey{}).(func() bool)
	return permit
}

// guardedCall is the state of one call that has a permit function.
type guardedCall struct {
	permit func() bool
	// sent becomes true once a byte of the call may have left the process.
	sent atomic.Bool
}

// guardedTransport opens a new connection for each call, because a connection that
// several calls share could not determine which permit function to call.
type guardedTransport struct {
	*http.Transport
}

// NewGuarded returns a client that opens a new connection for each call and checks
// the permit of the call before the first write. Opening a connection takes at most
// dialTimeout.
func NewGuarded(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: guardedTransport{&http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
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

// guardedConn is a connection that checks the permit of its call before the first
// write. It embeds the net.Conn interface, so other write methods of the underlying
// connection, such as ReadFrom, cannot bypass the check.
type guardedConn struct {
	net.Conn
	call *guardedCall
}

// Write writes p to the connection if the call is permitted. Otherwise it returns
// ErrNotPermitted.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.call.sent.Load() {
		if !c.call.permit() {
			return 0, ErrNotPermitted
		}
		c.call.sent.Store(true)
	}
	return c.Conn.Write(p)
}

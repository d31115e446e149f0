package connlimit

import (
	"context"
	"errors"
)

const (
	// lingerReset makes the kernel reset a connection that is closed, and drop what is unsent.
	lingerReset = 0
	// lingerDefault makes it send what is unsent and then the regular end.
	lingerDefault = -1
)

var errNotTracked = errors.New("the request has no tracked connection")

// SetResetOnClose sets whether the connection of a request is reset when it is closed, also by
// the kernel when the process ends. ctx is the context of the request. An answer that ends with
// its connection needs it until it is whole: its caller would take a regular end for that of
// the answer.
func SetResetOnClose(ctx context.Context, reset bool) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return errNotTracked
	}
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errNotTracked
	}
	if reset {
		return socket.SetLinger(lingerReset)
	}
	return socket.SetLinger(lingerDefault)
}

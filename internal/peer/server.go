package peer

import (
	"context"
	"errors"
	"net"

	"github.com/jonboulle/clockwork"
)

// Serve accepts connections of peers on listener until ctx ends, and closes the
// listener. It returns nil once ctx has ended or the listener is closed, and otherwise
// the error of Accept.
func Serve(ctx context.Context, listener net.Listener, mux *Mux, key string, clock clockwork.Clock) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		socket, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		newConn(ctx, socket, mux, key, clock, "")
	}
}

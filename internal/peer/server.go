package peer

import (
	"context"
	"errors"
	"net"

	"github.com/jonboulle/clockwork"
)

// Serve accepts peers on listener until ctx ends. It returns nil after ctx,
// or the error of the listener.
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
		newConn(ctx, socket, mux, key, clock, false)
	}
}

package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// handler serves one message from conn with the given parameters.
type handler func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Mux maps methods to handlers. All handlers must be registered before it is used.
type Mux struct {
	// MaxMessageBytes is the size limit of a message that arrives, in bytes; zero means
	// defaultMaxMessageBytes.
	MaxMessageBytes uint64
	// Greeting returns the Hello of this process, which is also the response to that of a
	// peer. It may be nil.
	Greeting func() Hello
	// Admit returns an error if the peer at the other end of a connection must not be spoken to.
	// address is the one that was dialed, or empty. It is called with the peer's greeting, and
	// again with each message if the greeting states a fleet or a store. It may be nil.
	Admit func(peer Hello, address string) error

	handlers map[string]handler
}

// NewMux returns a Mux that serves only pings.
func NewMux() *Mux {
	m := &Mux{handlers: make(map[string]handler)}
	Handle(m, methodPing, func(context.Context, *Conn, struct{}) (struct{}, error) {
		return struct{}{}, nil
	})
	return m
}

// Handle registers f for a method. Requests are served concurrently. Notifications are
// served in order of arrival, and f must not block for them. An error of f is returned
// to the caller with its kind.
func Handle[P, R any](m *Mux, name string, f func(ctx context.Context, c *Conn, p P) (R, error)) {
	m.handlers[name] = func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, errkind.Wrap(err, errkind.MalformedRequest, fmt.Sprintf("parameters of %s", name))
		}
		return f(ctx, conn, p)
	}
}

func (m *Mux) dispatch(ctx context.Context, conn *Conn, name string, params *json.RawMessage) (any, error) {
	f, ok := m.handlers[name]
	if !ok {
		return nil, errkind.New(errkind.MalformedRequest, fmt.Sprintf("method %q does not exist", name))
	}
	raw := json.RawMessage("null")
	if params != nil {
		raw = *params
	}
	return f(ctx, conn, raw)
}

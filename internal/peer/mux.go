package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// method handles the parameters of one message from conn.
type method func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Mux maps methods to functions. It is filled before it serves.
type Mux struct {
	methods map[string]method
}

// NewMux returns a Mux that answers pings only.
func NewMux() *Mux {
	m := &Mux{methods: make(map[string]method)}
	Handle(m, methodPing, func(context.Context, *Conn, struct{}) (struct{}, error) {
		return struct{}{}, nil
	})
	return m
}

// Handle registers f for a method. Calls of f run concurrently, except for
// notifications, which run in order of arrival and must not block. An error
// of f reaches the caller with its kind.
func Handle[P, R any](m *Mux, name string, f func(ctx context.Context, c *Conn, p P) (R, error)) {
	m.methods[name] = func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, errkind.Wrap(err, errkind.MalformedRequest, fmt.Sprintf("parameters of %s", name))
		}
		return f(ctx, conn, p)
	}
}

func (m *Mux) dispatch(ctx context.Context, conn *Conn, name string, params *json.RawMessage) (any, error) {
	f, ok := m.methods[name]
	if !ok {
		return nil, errkind.New(errkind.MalformedRequest, fmt.Sprintf("method %q does not exist", name))
	}
	raw := json.RawMessage("null")
	if params != nil {
		raw = *params
	}
	return f(ctx, conn, raw)
}

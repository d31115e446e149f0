package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// closableLog is the log of one process. Once it is closed, new calls fail. When
// several simulated processes share an address space, closing the log prevents a
// killed process from writing to it.
type closableLog struct {
	inner  ports.Log
	closed atomic.Bool
}

// Append adds a record to a stream, unless the log is closed. Errors wrap
// ports.ErrUnavailable or ports.ErrUnknown.
func (c *closableLog) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	if c.closed.Load() {
		return 0, fmt.Errorf("append to %q after the end of the process: %w", stream, ports.ErrUnavailable)
	}
	return c.inner.Append(ctx, stream, data)
}

// Read reads records of a stream, unless the log is closed. Errors wrap
// ports.ErrTruncated or ports.ErrUnavailable.
func (c *closableLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if c.closed.Load() {
		return ports.Page{}, fmt.Errorf("read %q after the end of the process: %w", stream, ports.ErrUnavailable)
	}
	return c.inner.Read(ctx, stream, from, wait)
}

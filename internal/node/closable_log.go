package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// closableLog is the log as one process sees it: nothing that the process still
// tries after its end takes effect. Processes that share an address space need
// it, or a killed one would go on writing.
type closableLog struct {
	log    ports.Log
	closed atomic.Bool
}

// Append adds a record while the process lives. Errors wrap ErrUnavailable or
// ErrUnknown.
func (c *closableLog) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	if c.closed.Load() {
		return 0, fmt.Errorf("append to %q after the end of the process: %w", stream, ports.ErrUnavailable)
	}
	return c.log.Append(ctx, stream, data)
}

// Read returns records while the process lives. Errors wrap ErrTruncated or
// ErrUnavailable.
func (c *closableLog) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if c.closed.Load() {
		return ports.Page{}, fmt.Errorf("read %q after the end of the process: %w", stream, ports.ErrUnavailable)
	}
	return c.log.Read(ctx, stream, from, wait)
}

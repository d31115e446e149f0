package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// phase is what a connection is doing.
type phase uint8

const (
	// idle connections have read no byte of the next request.
	idle phase = iota
	// reading connections have read a part of a header.
	reading
	// serving connections have a request in progress, or are closed.
	serving
)

// conn is a tracked connection.
type conn struct {
	net.Conn
	limiter *Limiter

	mu    sync.Mutex
	phase phase
	// started is true once the header of the first request has been read.
	started bool
	timer   clockwork.Timer
	// closed is true once the limiter has closed the connection. Bytes that arrive
	// at that moment are not passed on.
	closed bool
}

// Read implements net.Conn. The first byte of a request ends the idle time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.phase == idle {
		c.phase = reading
		if c.started {
			// The time of the first header began with the connection.
			c.arm(c.limiter.timeouts().Header)
		}
	}
	return n, err
}

// await begins the wait for the next request, which must arrive within the timeout.
func (c *conn) await(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = idle
	c.arm(timeout)
}

// beginServing ends the wait for a request.
func (c *conn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = serving
	c.started = true
	c.arm(0)
}

// closeIfIdle closes the connection unless a part of a request has been read. It
// returns true if the connection is closed.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return c.closed
	}
	c.closeLocked()
	return true
}

// arm starts the timer, or stops it if after is zero. The lock must be held.
func (c *conn) arm(after time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if after <= 0 {
		return
	}
	armed := c.phase
	c.timer = c.limiter.clock.AfterFunc(after, func() { c.expire(armed) })
}

// expire closes the connection if it is still in the phase for which the timer was
// started.
func (c *conn) expire(armed phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == armed || (!c.started && c.phase != serving) {
		c.closeLocked()
	}
}

// closeLocked closes the connection. The goroutine that reads it notices that. The
// lock must be held.
func (c *conn) closeLocked() {
	c.closed = true
	_ = c.Close()
}

package connlimit

import (
	"errors"
	"net"
	"os"
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
	// limit selects the time limit of the present phase, which began at since.
	limit func(Timeouts) time.Duration
	since time.Time
	// closed is true once the limiter has closed the connection. Bytes that arrive
	// at that moment are not passed on.
	closed bool
	// ending is true once an idle connection is to be closed by the goroutine that reads
	// it, unless that has read a byte. The read deadline of the inner connection has then
	// passed, or is that of beginLastRead; readDeadline is the one that the server has set.
	ending       bool
	readDeadline time.Time

	// openedAt is when the connection was accepted.
	openedAt time.Time
	progress progress
	weight   headerWeight
	early    earlyRequests
	linger   lingering
}

// lastReadTime is how long the last read of an ending connection may take. It only has
// to begin in time, since a read that begins takes what has arrived without waiting.
const lastReadTime = 10 * time.Millisecond

// Read implements net.Conn. The first byte of a request ends the idle time.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) > backgroundRead && c.linger.discarding.Load() {
		return 0, c.discard(p)
	}
	c.progress.beginRead(len(p), c.limiter.clock)
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginLastRead() {
		n, err = c.Conn.Read(p)
	}
	c.progress.endRead()
	if n > 0 && !c.weigh(p[:n], len(p)) {
		c.closeNow()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && c.ending {
		c.closeLocked()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if n == 0 {
		return n, err
	}
	revived := c.reviveLocked()
	if c.phase == idle {
		c.phase = reading
		if c.started || revived {
			// The time of the first header began with the connection.
			c.arm(headerLimit)
		}
	}
	return n, err
}

// beginLastRead gives an ending connection time for one more read, and reports whether it
// is ending. A read whose deadline has passed does not look for bytes: a request may have
// arrived that this process, busy or paused, has not read yet.
func (c *conn) beginLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.closed {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// SetReadDeadline implements net.Conn. It does not keep an ending connection open.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func headerLimit(t Timeouts) time.Duration { return t.Header }

func idleLimit(t Timeouts) time.Duration { return t.Idle }

// await begins the wait for the next request, which must arrive within the limit.
func (c *conn) await(limit func(Timeouts) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = idle
	c.arm(limit)
	c.weight.await(c)
}

// beginServing ends the wait for a request.
func (c *conn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = serving
	c.started = true
	c.weight.account.ForbidEviction()
	c.reviveLocked()
	c.startTimer(0)
}

// closeIfIdle makes the goroutine that reads the connection close it, unless a part of a
// request has been read. It returns true if the connection is closed.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.endLocked()
	}
	return c.closed
}

// arm begins a time limit and starts its timer. The lock must be held.
func (c *conn) arm(limit func(Timeouts) time.Duration) {
	c.limit, c.since = limit, c.limiter.clock.Now()
	c.startTimer(limit(c.limiter.timeouts()))
}

// startTimer starts the timer, or stops it if after is zero. The lock must be held.
func (c *conn) startTimer(after time.Duration) {
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
// started. If the limit has been raised since then, it starts the timer for the rest.
func (c *conn) expire(armed phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving || (c.phase != armed && c.started) {
		return
	}
	limit := c.limit(c.limiter.timeouts())
	rest := limit - c.limiter.clock.Since(c.since)
	switch {
	case limit <= 0:
	case rest > 0:
		c.startTimer(rest)
	case c.phase == idle:
		c.endLocked()
	default:
		c.closeLocked()
	}
}

// endLocked ends the read in progress, or the next one, whose goroutine then closes the
// connection unless its last read takes bytes off it. A read that has taken bytes off
// the connection is not affected: only its goroutine knows of them. The lock must be held.
func (c *conn) endLocked() {
	if c.ending || c.closed {
		return
	}
	c.ending = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// reviveLocked undoes endLocked, since a request has been read, and reports whether
// there was anything to undo. The lock must be held.
func (c *conn) reviveLocked() bool {
	if !c.ending {
		return false
	}
	c.ending = false
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// closeNow closes the connection, whatever it is doing.
func (c *conn) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection. The goroutine that reads it notices that. The
// lock must be held.
func (c *conn) closeLocked() {
	c.closed = true
	_ = c.Close()
}

package endpoint

import (
	"net"
	"sync"
)

// Listener is a net.Listener that can stop all traffic on the connections it
// has accepted. Its methods may be called concurrently.
type Listener struct {
	net.Listener
	// Suspension holds all traffic while it lasts. Nothing is lost.
	Suspension *Suspension

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewListener wraps inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, Suspension: &Suspension{}, conns: make(map[*Conn]struct{})}
}

// Accept returns the next connection, wrapped in a Conn.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var c *Conn
	c = NewConn(inner, func() { l.remove(c) })
	c.Suspension = l.Suspension
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// SilenceConns stops all traffic on the connections that are open now and leaves
// them open. Connections accepted later are not affected.
func (l *Listener) SilenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Silence()
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Conn is a net.Conn that can stop carrying data while it stays open.
type Conn struct {
	net.Conn
	onClose func()
	// Suspension holds all traffic while it lasts; nil means none. It must be set
	// before the first use of the connection.
	Suspension  *Suspension
	silenceOnce sync.Once
	closeOnce   sync.Once
	silenced    chan struct{}
	closed      chan struct{}
}

// NewConn wraps inner. Each call of Close calls onClose.
func NewConn(inner net.Conn, onClose func()) *Conn {
	return &Conn{Conn: inner, onClose: onClose, silenced: make(chan struct{}), closed: make(chan struct{})}
}

// Silence stops all traffic in both directions and leaves the connection open.
func (c *Conn) Silence() {
	c.silenceOnce.Do(func() { close(c.silenced) })
}

func (c *Conn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// awaitSuspension blocks during the suspension, until Close at the latest.
func (c *Conn) awaitSuspension() {
	if c.Suspension != nil {
		c.Suspension.Await(c.closed)
	}
}

// Read reads from the wrapped connection. After Silence it blocks until Close
// and then returns net.ErrClosed; bytes that have arrived are dropped.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.awaitSuspension()
	if !c.isSilenced() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the wrapped connection. After Silence it drops p and reports
// success.
func (c *Conn) Write(p []byte) (int, error) {
	c.awaitSuspension()
	if c.isSilenced() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and unblocks a Read that waits after Silence.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.onClose()
	return c.Conn.Close()
}

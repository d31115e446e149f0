package endpoint

import (
	"net"
	"sync"
)

// Listener is a listener whose open connections can be silenced.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewListener wraps inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*Conn]struct{})}
}

// Accept returns the next connection, wrapped so that it can be silenced.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var c *Conn
	c = NewConn(inner, func() { l.forget(c) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Silence makes every connection that is open now stay open and deliver
// nothing more in either direction. New connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Silence()
	}
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Conn is a connection that can stop delivering while it stays open.
type Conn struct {
	net.Conn
	onClose   func()
	once      sync.Once
	closeOnce sync.Once
	silenced  chan struct{}
	closed    chan struct{}
}

// NewConn wraps inner; onClose is called by each Close.
func NewConn(inner net.Conn, onClose func()) *Conn {
	return &Conn{Conn: inner, onClose: onClose, silenced: make(chan struct{}), closed: make(chan struct{})}
}

// Silence makes the connection deliver nothing more in either direction while
// it stays open.
func (c *Conn) Silence() {
	c.once.Do(func() { close(c.silenced) })
}

func (c *Conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read blocks until Close once the connection is silent; bytes that arrive
// meanwhile are dropped.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write drops p once the connection is silent.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, also a silent one.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.onClose()
	return c.Conn.Close()
}

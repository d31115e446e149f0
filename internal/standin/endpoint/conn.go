package endpoint

import (
	"net"
	"sync"
)

// Listener is a listener whose open connections can be silenced.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewListener wraps inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*conn]struct{})}
}

// Accept returns the next connection, wrapped so that it can be silenced.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, silenced: make(chan struct{}), closed: make(chan struct{})}
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
		c.silence()
	}
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that can stop delivering while it stays open.
type conn struct {
	net.Conn
	listener  *Listener
	once      sync.Once
	closeOnce sync.Once
	silenced  chan struct{}
	closed    chan struct{}
}

func (c *conn) silence() {
	c.once.Do(func() { close(c.silenced) })
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read blocks until Close once the connection is silent; bytes that arrive
// meanwhile are dropped.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write drops p once the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, also a silent one.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.forget(c)
	return c.Conn.Close()
}

package endpoint

import (
	"net"
	"sync"
)

type listener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept wraps the next connection so that it can be silenced.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, endpoint: l.endpoint, silenced: make(chan struct{}), closed: make(chan struct{})}
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	l.endpoint.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can stop delivering while it stays open.
type conn struct {
	net.Conn
	endpoint  *Endpoint
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
	c.endpoint.forget(c)
	return c.Conn.Close()
}

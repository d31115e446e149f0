package virtualnet

import (
	"io"
	"net"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network *Network
	// local is the host of this end, remote that of the other one.
	local, remote *node
	other         *conn

	mu       sync.Mutex
	arrived  *sync.Cond
	received []byte
	closed   bool
}

var _ net.Conn = (*conn)(nil)

func newConn(n *Network, local, remote *node) *conn {
	c := &conn{network: n, local: local, remote: remote}
	c.arrived = sync.NewCond(&c.mu)
	return c
}

// Write sends p; it arrives after the time that the network takes.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	message := append([]byte(nil), p...)
	at := c.network.transfer(c.local, c.remote, len(p))
	time.AfterFunc(time.Until(at), func() { c.other.receive(message) })
	return len(p), nil
}

func (c *conn) receive(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = append(c.received, message...)
	c.arrived.Broadcast()
}

// Read waits for bytes or the end of the connection.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.received) == 0 && !c.closed {
		c.arrived.Wait()
	}
	if c.closed {
		return 0, io.EOF
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	return n, nil
}

// Close closes both ends. Bytes that have not arrived are lost.
func (c *conn) Close() error {
	c.closeEnd()
	c.other.closeEnd()
	return nil
}

func (c *conn) closeEnd() {
	c.network.mu.Lock()
	delete(c.local.conns, c)
	c.network.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.arrived.Broadcast()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local.Address) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote.Address) }

// SetDeadline implements net.Conn. Deadlines have no effect.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Package faultsoak runs edge hosts as separate processes on the loopback interface,
// with stand-ins for the store and the targets. It injects faults from outside the
// processes and checks guarantees for callers and targets. It is for development
// only.
package faultsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a backend and can delay, drop and reset them.
type proxy struct {
	listener net.Listener
	backend  string

	mu sync.Mutex
	// delay is added to every chunk of data.
	delay time.Duration
	// dropToBackend and dropToCaller discard the data of one direction.
	dropToBackend, dropToCaller bool
	// silenced holds the connections whose data is discarded until they are closed.
	silenced    map[*connection]bool
	connections map[*connection]bool
}

// connection is a connection through a proxy. It consists of the connection to the
// caller and the one to the backend.
type connection struct {
	caller, backend net.Conn
	// lostToBackend and lostToCaller are true once data in that direction was discarded.
	// No more is forwarded then, nor the end of the data: TCP delivers nothing after a gap.
	lostToBackend, lostToCaller bool
}

func newProxy(backend string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return startProxy(listener, backend), nil
}

func startProxy(listener net.Listener, backend string) *proxy {
	p := &proxy{listener: listener, backend: backend, silenced: make(map[*connection]bool), connections: make(map[*connection]bool)}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(conn)
	}
}

func (p *proxy) handle(caller net.Conn) {
	backend, err := net.Dial("tcp", p.backend)
	if err != nil {
		abort(caller)
		return
	}
	c := &connection{caller: caller, backend: backend}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(c, backend, caller, true); done <- struct{}{} }()
	go func() { p.copy(c, caller, backend, false); done <- struct{}{} }()
	<-done
	<-done
	p.mu.Lock()
	delete(p.connections, c)
	delete(p.silenced, c)
	p.mu.Unlock()
	_ = caller.Close()
	_ = backend.Close()
}

// copy forwards data in one direction. When the source closes its sending side,
// copy closes the sending side of the destination, unless data was lost. After any
// other error it resets both connections.
func (p *proxy) copy(c *connection, to, from net.Conn, toBackend bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.shouldForward(c, toBackend) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok && !p.hasGap(c, toBackend) {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	abort(c.caller)
	abort(c.backend)
}

// shouldForward waits for the current delay. It returns false if the data is to be
// discarded.
func (p *proxy) shouldForward(c *connection, toBackend bool) bool {
	p.mu.Lock()
	delay := p.delay
	lost, drop := &c.lostToCaller, p.dropToCaller
	if toBackend {
		lost, drop = &c.lostToBackend, p.dropToBackend
	}
	*lost = *lost || drop || p.silenced[c]
	forward := !*lost
	p.mu.Unlock()
	time.Sleep(delay)
	return forward
}

// hasGap reports whether data in one direction was discarded or would be from now on.
func (p *proxy) hasGap(c *connection, toBackend bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toBackend {
		return c.lostToBackend || p.silenced[c]
	}
	return c.lostToCaller || p.silenced[c]
}

// update calls change while holding the lock.
func (p *proxy) update(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// heal stops delaying and discarding data in both directions. Silenced connections
// stay silenced.
func (p *proxy) heal() {
	p.update(func(p *proxy) { p.delay, p.dropToBackend, p.dropToCaller = 0, false, false })
}

// silence discards the data of every open connection, in both directions, until the
// connection is closed.
func (p *proxy) silence() {
	p.update(func(p *proxy) {
		for c := range p.connections {
			p.silenced[c] = true
		}
	})
}

// reset resets every open connection on both sides.
func (p *proxy) reset() {
	p.update(func(p *proxy) {
		for c := range p.connections {
			abort(c.caller)
			abort(c.backend)
		}
	})
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// abort closes a connection so that its peer sees a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

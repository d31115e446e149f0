// Package faultsoak runs the real edge program as separate processes on loopback,
// with stand-ins for store and targets, injects faults from outside them and
// checks what callers and targets see. It is for development only.
package faultsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy carries connections to an address on loopback and can harm them.
type proxy struct {
	listener net.Listener
	backend  string

	mu sync.Mutex
	// delay holds up every part; toBackend and toCaller cut one way.
	delay               time.Duration
	toBackend, toCaller bool
	// eaten connections stay silent for good.
	eaten map[*pipe]bool
	pipes map[*pipe]bool
}

// pipe is one connection through a proxy.
type pipe struct {
	caller, backend net.Conn
}

func newProxy(backend string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, backend: backend, eaten: make(map[*pipe]bool), pipes: make(map[*pipe]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(caller net.Conn) {
	backend, err := net.Dial("tcp", p.backend)
	if err != nil {
		abort(caller)
		return
	}
	c := &pipe{caller: caller, backend: backend}
	p.mu.Lock()
	p.pipes[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(c, backend, caller, true); done <- struct{}{} }()
	go func() { p.copy(c, caller, backend, false); done <- struct{}{} }()
	<-done
	<-done
	p.mu.Lock()
	delete(p.pipes, c)
	delete(p.eaten, c)
	p.mu.Unlock()
	_ = caller.Close()
	_ = backend.Close()
}

// copy carries one direction until its source ends, then closes that half.
func (p *proxy) copy(c *pipe, to, from net.Conn, toBackend bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.pass(c, toBackend) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
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

// pass waits for the delay in force and reports whether a part goes through.
func (p *proxy) pass(c *pipe, toBackend bool) bool {
	p.mu.Lock()
	delay := p.delay
	cut := p.eaten[c] || (toBackend && p.toBackend) || (!toBackend && p.toCaller)
	p.mu.Unlock()
	time.Sleep(delay)
	return !cut
}

// harm changes what happens to connections from now on.
func (p *proxy) harm(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// heal ends delays and cuts. Connections that were made silent stay so.
func (p *proxy) heal() {
	p.harm(func(p *proxy) { p.delay, p.toBackend, p.toCaller = 0, false, false })
}

// silence makes every open connection silent for good.
func (p *proxy) silence() {
	p.harm(func(p *proxy) {
		for c := range p.pipes {
			p.eaten[c] = true
		}
	})
}

// reset resets every open connection.
func (p *proxy) reset() {
	p.harm(func(p *proxy) {
		for c := range p.pipes {
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

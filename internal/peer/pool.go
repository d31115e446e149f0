package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	dialTimeout = 1 * time.Second
	// idleProbeTimeout is the time limit for the ping that checks an idle connection
	// before it is used.
	idleProbeTimeout = 500 * time.Millisecond
)

// Pool maintains one connection to each peer address. It is safe for concurrent use.
type Pool struct {
	ctx   context.Context
	hello Hello
	mux   *Mux
	clock clockwork.Clock
	// Dial opens connections; nil means a net.Dialer. It must be set before the first
	// use.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	entries map[string]*poolEntry
}

type poolEntry struct {
	mu   sync.Mutex
	conn *Conn
}

// NewPool returns a pool whose connections are closed when ctx ends. Messages that
// peers send on these connections are served by mux.
func NewPool(ctx context.Context, hello Hello, mux *Mux, clock clockwork.Clock) *Pool {
	return &Pool{ctx: ctx, hello: hello, mux: mux, clock: clock, entries: make(map[string]*poolEntry)}
}

// Get returns the connection to address. It dials if none is open or if an idle one does
// not answer a ping. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	e := p.entry(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && e.conn.Open() {
		if p.usable(ctx, e.conn) {
			return e.conn, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("peer %s: %w: %w", address, ErrNotSent, err)
		}
		_ = e.conn.Close()
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	e.conn = conn
	return conn, nil
}

// Redial closes the connection to address and dials a new one. Errors wrap ErrNotSent.
func (p *Pool) Redial(ctx context.Context, address string) (*Conn, error) {
	e := p.entry(address)
	e.mu.Lock()
	if e.conn != nil {
		_ = e.conn.Close()
		e.conn = nil
	}
	e.mu.Unlock()
	return p.Get(ctx, address)
}

// Replace returns a connection to address other than lost, which it closes. Callers
// that lost the same connection get the same new one. Errors wrap ErrNotSent.
func (p *Pool) Replace(ctx context.Context, address string, lost *Conn) (*Conn, error) {
	e := p.entry(address)
	e.mu.Lock()
	if e.conn != nil && e.conn == lost {
		_ = lost.Close()
		e.conn = nil
	}
	e.mu.Unlock()
	return p.Get(ctx, address)
}

// Call sends a request to address and waits for the response. Errors wrap ErrNotSent
// or ErrBroken, or have the kind that the peer returned.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := p.Get(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// usable reports whether a message may be sent on a connection. It first pings an
// unused connection that has received nothing for probeInterval, because the
// connection may have broken unnoticed and the message would be lost.
func (p *Pool) usable(ctx context.Context, c *Conn) bool {
	if c.useCount.Load() > 0 || p.clock.Now().Sub(c.LastReceived()) < probeInterval {
		return true
	}
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, idleProbeTimeout)
	defer cancel()
	return c.Ping(ctx) == nil
}

func (p *Pool) entry(address string) *poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[address]
	if !ok {
		e = &poolEntry{}
		p.entries[address] = e
	}
	return e
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	socket, err := p.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w: %w", address, ErrNotSent, err)
	}
	conn := newConn(p.ctx, socket, p.mux, p.hello.Key, p.clock, address)
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, pingTimeout)
	defer cancel()
	if err := conn.greet(ctx, p.greeting()); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("greet peer %s: %w: %w", address, ErrNotSent, err)
	}
	return conn, nil
}

func (p *Pool) greeting() Hello {
	if p.mux.Greeting == nil {
		return p.hello
	}
	hello := p.mux.Greeting()
	hello.Key = p.hello.Key
	return hello
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, "tcp", address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

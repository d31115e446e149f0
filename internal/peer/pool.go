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
	// idleConfirm bounds the sign of life of a connection that was idle.
	idleConfirm = 500 * time.Millisecond
)

// Pool keeps one connection to each peer address.
type Pool struct {
	ctx   context.Context
	hello Hello
	mux   *Mux
	clock clockwork.Clock
	// Dial opens connections; nil means TCP. Set it before the first call.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	slots map[string]*slot
}

type slot struct {
	mu   sync.Mutex
	conn *Conn
}

// NewPool returns a pool whose connections end with ctx. Messages that peers
// send on these connections go to mux.
func NewPool(ctx context.Context, hello Hello, mux *Mux, clock clockwork.Clock) *Pool {
	return &Pool{ctx: ctx, hello: hello, mux: mux, clock: clock, slots: make(map[string]*slot)}
}

// Get returns the connection to address and dials when there is none, or when
// an idle one gives no sign of life. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	s := p.slot(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.Open() {
		if p.alive(ctx, s.conn) {
			return s.conn, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("peer %s: %w: %w", address, ErrNotSent, err)
		}
		_ = s.conn.Close()
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.conn = conn
	return conn, nil
}

// Fresh drops the connection to address and dials a new one. Errors wrap
// ErrNotSent.
func (p *Pool) Fresh(ctx context.Context, address string) (*Conn, error) {
	s := p.slot(address)
	s.mu.Lock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
	s.mu.Unlock()
	return p.Get(ctx, address)
}

// Call sends one message to address and waits for its answer. Errors wrap
// ErrNotSent or ErrBroken, or have the kind that the peer gave.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := p.Get(ctx, address)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, params, result)
}

// alive reports whether a message may go over a connection. One that has long
// been idle may have gone silent unseen; what is sent on it would be lost.
func (p *Pool) alive(ctx context.Context, c *Conn) bool {
	if c.busy.Load() > 0 || p.clock.Now().Sub(c.LastHeard()) < confirmEvery {
		return true
	}
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, idleConfirm)
	defer cancel()
	return c.Confirm(ctx) == nil
}

func (p *Pool) slot(address string) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.slots[address]
	if !ok {
		s = &slot{}
		p.slots[address] = s
	}
	return s
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	socket, err := p.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w: %w", address, ErrNotSent, err)
	}
	conn := newConn(p.ctx, socket, p.mux, p.hello.Key, p.clock, true)
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, pingTimeout)
	defer cancel()
	if err := conn.Call(ctx, MethodHello, p.hello, nil); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("greet peer %s: %w: %w", address, ErrNotSent, err)
	}
	return conn, nil
}

func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, "tcp", address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

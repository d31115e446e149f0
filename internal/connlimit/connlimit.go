// Package connlimit closes connections whose callers take too long to send a
// header or stay idle for too long, and those that are idle when the server stops.
// Unlike the timeouts of http.Server, the limits may change while connections are
// open. Unlike http.Server, a stop never closes a connection of which a part of a
// request has been read.
//
// It bounds the number of connections and the memory of their headers, too: at the bound it
// closes the connection that has been idle or slow for the longest, but none with a request
// that has been read.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/membudget"
)

// Timeouts are the timeouts of a connection; zero means none.
type Timeouts struct {
	// Header is how long a caller may take to send a header.
	Header time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Limiter enforces timeouts on the connections of one server. It is safe for
// concurrent use.
type Limiter struct {
	clock clockwork.Clock
	// timeouts returns the current timeouts.
	timeouts func() Timeouts
	// MaxConns bounds the open connections; zero means no bound. Budget bounds the memory of
	// their headers; nil means no bound. All of these must be set before use.
	MaxConns int
	Budget   *membudget.Budget
	// SafeAge is how long a connection is safe from eviction while nothing moves on it; zero
	// means defaultSafeAge.
	SafeAge time.Duration
	// Refuse answers a request for whose header there is no memory. It must be set if Budget
	// is bounded. OnEvict is called for each connection that is closed at the bound, and
	// OnRefuse for each one that is closed or refused for want of memory; both may be nil.
	Refuse            http.Handler
	OnEvict, OnRefuse func()

	// draining is true if each connection is to be closed after its next response.
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
}

type connKey struct{}

// New returns a limiter. It calls timeouts each time it starts a timer and each time one
// has expired: a raised timeout applies at once, a lowered one from the next wait on.
func New(clock clockwork.Clock, timeouts func() Timeouts) *Limiter {
	return &Limiter{clock: clock, timeouts: timeouts, conns: make(map[*conn]bool)}
}

// Listener returns a listener whose connections the limiter tracks. The server of
// Attach must serve it.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

// Attach installs the limiter in s and disables the timeouts of s itself.
func (l *Limiter) Attach(s *http.Server) {
	s.ReadHeaderTimeout = 0
	s.IdleTimeout = 0
	s.ConnState = l.onStateChange
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.admit(w, r) {
			next.ServeHTTP(w, r)
		}
		c.endRequest(w, r)
	})
}

// Drain makes the server announce with each further response that it closes the
// connection.
func (l *Limiter) Drain() { l.draining.Store(true) }

// CloseIdle closes the connections of which no part of a request has arrived and
// returns the number of those that are still open. Those that are about to be closed
// count until they are.
func (l *Limiter) CloseIdle() int {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	open := 0
	for _, c := range conns {
		if !c.closeIfIdle() {
			open++
		}
	}
	return open
}

// onStateChange updates a connection.
func (l *Limiter) onStateChange(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		l.track(c, true)
		c.await(headerLimit)
	case http.StateActive:
		c.beginServing()
	case http.StateIdle:
		c.await(idleLimit)
	default:
		c.beginServing()
		c.weight.account.Close()
		l.track(c, false)
	}
}

func (l *Limiter) track(c *conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.makeRoom() {
			return l.limiter.newConn(inner), nil
		}
		_ = inner.Close()
	}
}

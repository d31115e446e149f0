// Package connlimit closes connections whose callers take too long to send a
// header or stay idle for too long. The limits may change while connections are
// open, which those of http.Server may not.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Times are the limits in force; zero means none.
type Times struct {
	// Header is how long a caller may take to send a header.
	Header time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Limiter watches the connections of one server.
type Limiter struct {
	clock clockwork.Clock
	// times returns the limits in force.
	times func() Times

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

type connKey struct{}

// New returns a limiter that asks times at each use.
func New(clock clockwork.Clock, times func() Times) *Limiter {
	return &Limiter{clock: clock, times: times, timers: make(map[net.Conn]clockwork.Timer)}
}

// Watch makes s keep the limits. It replaces the limits of s.
func (l *Limiter) Watch(s *http.Server) {
	s.ReadHeaderTimeout = 0
	s.IdleTimeout = 0
	s.ConnState = l.changed
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			l.disarm(c)
		}
		next.ServeHTTP(w, r)
	})
}

// changed arms the limit that a connection stands under from now on.
func (l *Limiter) changed(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateActive:
		l.arm(c, l.times().Header)
	case http.StateIdle:
		l.arm(c, l.times().Idle)
	default:
		l.disarm(c)
	}
}

func (l *Limiter) arm(c net.Conn, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop(c)
	if after > 0 {
		// Its reader learns of the close, and reports it.
		l.timers[c] = l.clock.AfterFunc(after, func() { _ = c.Close() })
	}
}

func (l *Limiter) disarm(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop(c)
}

// stop ends the timer of a connection. The lock is held.
func (l *Limiter) stop(c net.Conn) {
	if t := l.timers[c]; t != nil {
		t.Stop()
		delete(l.timers, c)
	}
}

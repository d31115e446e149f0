// Package connlimit closes connections whose callers take too long to send a
// header or stay idle for too long. Unlike the timeouts of http.Server, the
// limits may change while connections are open.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timeouts are the timeouts of a connection; zero means none.
type Timeouts struct {
	// Header is how long a caller may take to send a header.
	Header time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Limiter enforces timeouts on the connections of one server.
type Limiter struct {
	clock clockwork.Clock
	// timeouts returns the current timeouts.
	timeouts func() Timeouts

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

type connKey struct{}

// New returns a limiter. It calls timeouts each time it starts a timer.
func New(clock clockwork.Clock, timeouts func() Timeouts) *Limiter {
	return &Limiter{clock: clock, timeouts: timeouts, timers: make(map[net.Conn]clockwork.Timer)}
}

// Attach installs the limiter in s and disables the timeouts of s itself.
func (l *Limiter) Attach(s *http.Server) {
	s.ReadHeaderTimeout = 0
	s.IdleTimeout = 0
	s.ConnState = l.onStateChange
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			l.disarm(c)
		}
		next.ServeHTTP(w, r)
	})
}

// onStateChange starts or stops the timer of a connection.
func (l *Limiter) onStateChange(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateActive:
		l.arm(c, l.timeouts().Header)
	case http.StateIdle:
		l.arm(c, l.timeouts().Idle)
	default:
		l.disarm(c)
	}
}

func (l *Limiter) arm(c net.Conn, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer(c)
	if after > 0 {
		// The goroutine that reads the connection notices the close and reports it.
		l.timers[c] = l.clock.AfterFunc(after, func() { _ = c.Close() })
	}
}

func (l *Limiter) disarm(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer(c)
}

// stopTimer stops the timer of a connection. The caller must hold mu.
func (l *Limiter) stopTimer(c net.Conn) {
	if t := l.timers[c]; t != nil {
		t.Stop()
		delete(l.timers, c)
	}
}

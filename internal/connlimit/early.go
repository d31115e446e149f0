package connlimit

import (
	"net/http"
	"sync"
	"time"
)

// earlyDelay is how long a request waits that its caller has sent before the one before was
// answered. Without it, crowds of such callers take the processor from all others.
const earlyDelay = time.Second

// earlyRequests notices callers that send requests before the ones before are answered. It is
// safe for concurrent use.
type earlyRequests struct {
	mu sync.Mutex
	// waiting is true while nothing has been answered to a request. noticed is true once a
	// byte of the next one has come in that time.
	waiting, noticed bool
	// since is when noticed became true.
	since time.Time
}

// note records that a byte has arrived while a request is served.
func (e *earlyRequests) note(b byte, now time.Time) {
	if b == '\r' || b == '\n' {
		// Some callers end a body with a line end that belongs to no request.
		return
	}
	e.notice(now)
}

// notice records that a byte of the next request has come, unless the answer has begun.
func (e *earlyRequests) notice(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting && !e.noticed {
		e.noticed, e.since = true, now
	}
}

// noticedSince returns since when the caller is known to send early; zero if it does not.
func (e *earlyRequests) noticedSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since
}

// answered records that the answer has begun.
func (e *earlyRequests) answered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = false
}

// begin records that a request is served, and reports whether it was sent early.
func (e *earlyRequests) begin() (early bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = true
	return e.noticed
}

// hold lets a request wait that was sent early, and makes it the last one of its connection.
func (e *earlyRequests) hold(w http.ResponseWriter, r *http.Request) {
	if !e.begin() {
		return
	}
	w.Header().Set("Connection", "close")
	select {
	case <-r.Context().Done():
	case <-time.After(earlyDelay):
	}
}

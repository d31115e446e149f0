package connlimit

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// defaultSafeAge is the default of Limiter.SafeAge. A sound caller sends its first request
	// within a few round trips.
	defaultSafeAge = 250 * time.Millisecond
	// safeAnswer is how long a connection is safe from eviction after its last answer.
	safeAnswer = 50 * time.Millisecond
	// safeIdle is the default for a connection that has had a request answered and waits for
	// the next one.
	safeIdle = time.Second
	// roomWait and roomPoll are how long a new connection waits for one that may be evicted,
	// and the time between two checks.
	roomWait = 300 * time.Millisecond
	roomPoll = 5 * time.Millisecond
)

// progress tells since when a request's connection has waited for its caller. The zero value
// waits for nothing. It is safe for concurrent use.
type progress struct {
	// readingSince and writingSince are in ns since 1970; zero without a read or write.
	readingSince, writingSince atomic.Int64
}

// backgroundRead is the length of the read with which http.Server notices that a caller
// leaves while it is answered.
const backgroundRead = 1

func (p *progress) beginRead(length int, clock clockwork.Clock) {
	if length > backgroundRead {
		p.readingSince.Store(clock.Now().UnixNano())
	}
}

func (p *progress) endRead() { p.readingSince.Store(0) }

// waitingSince returns since when the caller has neither sent what is read nor taken what is
// written; zero if neither is the case.
func (p *progress) waitingSince() time.Time {
	since := p.readingSince.Load()
	if written := p.writingSince.Load(); written != 0 {
		since = written
	}
	if since == 0 {
		return time.Time{}
	}
	return time.Unix(0, since)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.early.answered()
	c.progress.writingSince.Store(c.limiter.clock.Now().UnixNano())
	defer c.progress.writingSince.Store(0)
	return c.Conn.Write(p)
}

// rank is the order in which connections are evicted.
type rank uint8

const (
	// answered connections have had their last answer.
	answered rank = iota
	// slow connections have sent no whole request yet, have begun one, or wait for their
	// caller within one.
	slow
	// early connections have a request in progress and have sent more before its answer.
	early
	// kept connections have had a request answered and wait for the next one.
	kept
	// busy connections are not evicted.
	busy
)

// evictionRank returns the rank of the connection and since when it has had it.
func (c *conn) evictionRank(now time.Time) (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictionRankLocked(now)
}

func (c *conn) evictionRankLocked(now time.Time) (rank, time.Time) {
	switch {
	case c.closed, c.ending:
		return busy, now
	case !c.started:
		return slow, c.openedAt
	case c.phase == reading:
		return slow, c.since
	case c.phase == idle:
		return kept, c.since
	}
	if since := c.linger.begunAt(); !since.IsZero() {
		return answered, since
	}
	if since := c.progress.waitingSince(); !since.IsZero() {
		return slow, since
	}
	if since := c.early.noticedSince(); !since.IsZero() {
		return early, since
	}
	return busy, now
}

// makeRoom reports whether there is room for one more connection. At the bound it evicts one.
// It waits for a short time for one that may be evicted soon.
func (l *Limiter) makeRoom() bool {
	if l.MaxConns <= 0 {
		return true
	}
	deadline := l.clock.Now().Add(roomWait)
	for l.Open() >= l.MaxConns {
		victim, soon := l.chooseVictim()
		if victim != nil {
			l.evict(victim)
			return true
		}
		if !soon || !l.clock.Now().Before(deadline) {
			return false
		}
		l.clock.Sleep(roomPoll)
	}
	return true
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Limiter) evict(victim *conn) {
	victim.evict()
	if l.OnEvict != nil {
		l.OnEvict()
	}
}

// evict closes the connection unless it has become busy. A request that has arrived is still
// read.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r, _ := c.evictionRankLocked(c.limiter.clock.Now()); {
	case r == busy:
	case c.phase == idle:
		c.endLocked()
	default:
		c.closeLocked()
	}
}

// chooseVictim returns the connection that is evicted first; nil if there is none now. soon is
// true if there are some that may be evicted later.
func (l *Limiter) chooseVictim() (victim *conn, soon bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var victims [busy]*conn
	var since [busy]time.Time
	for c := range l.conns {
		r, at := c.evictionRank(now)
		switch {
		case r == busy:
		case now.Sub(at) < l.safeFor(r):
			soon = true
		case victims[r] == nil || at.Before(since[r]):
			victims[r], since[r] = c, at
		}
	}
	for _, victim := range victims {
		if victim != nil {
			return victim, soon
		}
	}
	return nil, soon
}

// safeFor returns how long connections of a rank are safe from eviction.
func (l *Limiter) safeFor(r rank) time.Duration {
	switch {
	case r == answered:
		return safeAnswer
	case l.SafeAge > 0:
		return l.SafeAge
	case r == kept:
		return safeIdle
	default:
		return defaultSafeAge
	}
}

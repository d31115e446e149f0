package links

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

const (
	// unreachableAfter is how long a host may be down before a further one is
	// connected to in its place.
	unreachableAfter = 1200 * time.Millisecond
	// retireDelay is how long a connection that is no longer needed stays open, so
	// that calls and reports on it can complete.
	retireDelay = 3 * time.Second
	// minRedialDelay is the time from one attempt to connect to the next one. It
	// doubles with each attempt until the host is live, up to maxRedialDelay.
	minRedialDelay = 500 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// redialJitter is the largest random decrease of the delay, as a fraction of
	// it. Many hosts lose the same connection at once.
	redialJitter = 0.5
)

// peerLink is the connection to one host.
type peerLink struct {
	host fleet.Host
	// self is true for the link of this host to itself, which has no connection.
	self bool
	conn *peer.Conn
	// dialing is true while an attempt to connect is under way.
	dialing bool
	// redialAt is the earliest time of the next attempt, and failures is the number
	// of attempts since the host was last live.
	redialAt time.Time
	failures int
	// up is true while the host is live, as last recorded. downSince is when it
	// ceased to be.
	up        bool
	downSince time.Time
	// retiredAt is when the connection ceased to be needed; zero if it is needed.
	retiredAt time.Time
	closed    bool
}

// unreachable reports whether the host has been down for unreachableAfter.
func (p *peerLink) unreachable(now time.Time) bool {
	return !p.self && !p.up && now.Sub(p.downSince) >= unreachableAfter
}

// mayDial reports whether an attempt to connect may begin.
func (p *peerLink) mayDial(now time.Time) bool {
	return !p.self && !p.dialing && p.retiredAt.IsZero() && !now.Before(p.redialAt)
}

// beginDial records the beginning of an attempt to connect. random is in [0, 1).
func (p *peerLink) beginDial(now time.Time, random float64) {
	delay := min(minRedialDelay<<min(p.failures, 8), maxRedialDelay)
	delay -= time.Duration(redialJitter * random * float64(delay))
	p.dialing = true
	p.failures++
	p.redialAt = now.Add(delay)
}

// retire marks the link as no longer needed and reports whether it has been so
// for retireDelay.
func (p *peerLink) retire(now time.Time) bool {
	if p.retiredAt.IsZero() {
		p.retiredAt = now
	}
	return now.Sub(p.retiredAt) >= retireDelay
}

// close closes the connection, if there is one. p may be nil.
func (p *peerLink) close() {
	if p == nil {
		return
	}
	p.closed = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

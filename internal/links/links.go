// Package links keeps connections to the highest-ranked hosts, which all other
// hosts depend on, and tracks which of them are live.
package links

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// checkInterval is the time between checks of the connections.
	checkInterval = 100 * time.Millisecond
	// connectTimeout bounds one attempt to connect, up to the reply to the first
	// message. No state is exchanged within it.
	connectTimeout = time.Second
	// livenessTimeout is the time without a message after which a host no longer
	// counts as live. Hosts send heartbeats every HeartbeatInterval.
	livenessTimeout = 400 * time.Millisecond
	// overloadDuration is how long a host ranks after the others once it has
	// reported an overload.
	overloadDuration = 5 * time.Second
)

// HeartbeatInterval is the time between heartbeats that a host sends on the
// connections that other hosts have opened to it.
const HeartbeatInterval = 100 * time.Millisecond

// Links manages the connections of one host. It is safe for concurrent use.
type Links struct {
	self   fleet.Host
	peers  *peer.Pool
	clock  clockwork.Clock
	logger *zap.Logger
	// OnConnect is called in its own goroutine after a connection was
	// established. The connection is used meanwhile. An error closes it.
	OnConnect func(ctx context.Context, host fleet.Host, conn *peer.Conn) error
	// OnOtherHost is called when another host than the listed one answers at an address, which
	// counts as the listed one being lost. It may be nil.
	OnOtherHost func(err *OtherHostError)

	mu     sync.Mutex
	ranked []fleet.Host
	// candidates are the hosts to which connections are kept, in rank order.
	candidates []fleet.Host
	links      map[tables.HostID]*peerLink
	// overloadedUntil holds the time until which each overloaded host ranks
	// last.
	overloadedUntil map[tables.HostID]time.Time
}

// New returns Links without hosts.
func New(self fleet.Host, peers *peer.Pool, clock clockwork.Clock, logger *zap.Logger) *Links {
	return &Links{self: self, peers: peers, clock: clock, logger: logger, links: make(map[tables.HostID]*peerLink), overloadedUntil: make(map[tables.HostID]time.Time)}
}

// SetHosts replaces the hosts. ranked lists them in rank order, the best first.
func (l *Links) SetHosts(ranked []fleet.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ranked = ranked
	l.selectCandidates(l.clock.Now())
}

// Run establishes the connections and replaces lost ones until ctx ends.
func (l *Links) Run(ctx context.Context) {
	for {
		l.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.clock.After(checkInterval):
		}
	}
}

func (l *Links) check(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.selectCandidates(now)
	for _, link := range l.links {
		live := l.linkLive(link, now)
		l.recordState(link, live, now)
		if live || !link.mayDial(now) {
			continue
		}
		link.beginDial(now, rand.Float64())
		go l.connect(ctx, link)
	}
}

// selectCandidates chooses the hosts to which connections are kept. The
// connections to other hosts are closed after retireDelay. The lock must be held.
func (l *Links) selectCandidates(now time.Time) {
	l.candidates = candidates(l.ranked, func(id tables.HostID) bool {
		link := l.links[id]
		return link != nil && link.unreachable(now)
	})
	wanted := make(map[tables.HostID]bool, len(l.candidates))
	for _, h := range l.candidates {
		wanted[h.ID] = true
		link := l.links[h.ID]
		if link == nil || link.host.Address != h.Address {
			link.close()
			link = &peerLink{host: h, self: h.ID == l.self.ID, downSince: now}
			l.links[h.ID] = link
		}
		link.retiredAt = time.Time{}
	}
	for id, link := range l.links {
		if !wanted[id] && link.retire(now) {
			link.close()
			delete(l.links, id)
		}
	}
}

// recordState logs that a host was reached or lost and keeps the time of the
// change.
func (l *Links) recordState(link *peerLink, up bool, now time.Time) {
	if link.up == up || link.self {
		return
	}
	link.up = up
	if up {
		link.failures = 0
		event.PeerUp.Log(l.logger, zap.String("host", string(link.host.ID)))
		return
	}
	link.downSince = now
	event.PeerDown.Log(l.logger, zap.String("host", string(link.host.ID)))
}

func (l *Links) connect(ctx context.Context, link *peerLink) {
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	conn, err := l.peers.Redial(dialing, link.host.Address)
	cancel()
	if err == nil {
		err = l.checkHost(conn, link.host.ID)
	}
	if err != nil {
		conn = nil
	}
	if !l.finishDial(link, conn) {
		return
	}
	if err == nil && l.OnConnect != nil {
		err = l.OnConnect(ctx, link.host, conn)
	}
	if err == nil {
		return
	}
	if conn != nil {
		_ = conn.Close()
	}
	event.PeerConnectionFailed.Log(l.logger, zap.String("host", string(link.host.ID)), zap.Error(err))
}

// OtherHostError is the error for an address at which another host answers than the listed one.
type OtherHostError struct{ Listed, Found tables.HostID }

// Error implements error.
func (e *OtherHostError) Error() string {
	return fmt.Sprintf("host %q answers at the address of host %q", e.Found, e.Listed)
}

// checkHost closes a connection and returns an error if another host answers than the listed
// one. One of the build before does not say which one it is.
func (l *Links) checkHost(conn *peer.Conn, listed tables.HostID) error {
	found := conn.Peer().Host
	if found == "" || found == listed {
		return nil
	}
	err := &OtherHostError{Listed: listed, Found: found}
	if l.OnOtherHost != nil {
		l.OnOtherHost(err)
	}
	_ = conn.Close()
	return err
}

// finishDial records the result of an attempt to connect; conn is nil if it
// failed. It closes conn and returns false if the link was closed meanwhile.
func (l *Links) finishDial(link *peerLink, conn *peer.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	link.dialing = false
	link.conn = conn
	if link.closed {
		link.close()
		return false
	}
	return true
}

func (l *Links) linkLive(link *peerLink, now time.Time) bool {
	return link.self || (link.conn != nil && connLive(link.conn, now))
}

// connLive reports whether a message was received on a connection within
// livenessTimeout.
func connLive(conn *peer.Conn, now time.Time) bool {
	return conn.Open() && now.Sub(conn.LastReceived()) < livenessTimeout
}

// LiveHost is a live host with the connection to it. Conn is nil for this host
// itself.
type LiveHost struct {
	Host fleet.Host
	Conn *peer.Conn
}

// FirstLive returns the first host of LiveHosts, or false if there is none.
func (l *Links) FirstLive() (LiveHost, bool) {
	all := l.LiveHosts()
	if len(all) == 0 {
		return LiveHost{}, false
	}
	return all[0], true
}

// FirstReachable reports whether the first-ranked host is this one or is live.
func (l *Links) FirstReachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ranked) == 0 {
		return false
	}
	link := l.links[l.ranked[0].ID]
	return link != nil && l.linkLive(link, l.clock.Now())
}

// LiveHosts returns the candidates that are live, in rank order but with
// overloaded ones last.
func (l *Links) LiveHosts() []LiveHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out, overloaded []LiveHost
	for _, h := range l.candidates {
		link := l.links[h.ID]
		switch {
		case link == nil || !l.linkLive(link, now):
		case now.Before(l.overloadedUntil[h.ID]):
			overloaded = append(overloaded, LiveHost{Host: h, Conn: link.conn})
		default:
			out = append(out, LiveHost{Host: h, Conn: link.conn})
		}
	}
	return append(out, overloaded...)
}

// MarkOverloaded records that the host at the other end of conn is overloaded.
// A nil conn means this host itself.
func (l *Links) MarkOverloaded(conn *peer.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, link := range l.links {
		if link.conn == conn && (conn != nil || link.self) {
			l.overloadedUntil[id] = l.clock.Now().Add(overloadDuration)
		}
	}
}

// Conn returns the connection to a host, or nil if there is none.
func (l *Links) Conn(id tables.HostID) *peer.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.links[id]; link != nil {
		return link.conn
	}
	return nil
}

// IsLive reports whether a host returned by LiveHosts is still live.
func (l *Links) IsLive(v LiveHost) bool {
	return v.Conn == nil || connLive(v.Conn, l.clock.Now())
}

// Rank returns the position of this host in the ranking, starting at 0, or false if it is
// not listed.
func (l *Links) Rank() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, h := range l.ranked {
		if h.ID == l.self.ID {
			return i, true
		}
	}
	return 0, false
}

// AmongFirst reports whether a host is one of the n highest-ranked ones.
func (l *Links) AmongFirst(id tables.HostID, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.ranked[:min(n, len(l.ranked))], func(h fleet.Host) bool { return h.ID == id })
}

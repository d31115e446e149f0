// Package links keeps connections to the highest-ranked hosts, which all other
// hosts depend on, and tracks which of them are live.
package links

import (
	"context"
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
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 400 * time.Millisecond
	// livenessTimeout is the time without a message after which a host no longer
	// counts as live. Hosts send heartbeats every HeartbeatInterval.
	livenessTimeout = 400 * time.Millisecond
	// maxLinks is the number of highest-ranked hosts to which connections are
	// kept.
	maxLinks = 3
	// overloadDuration is how long a host ranks after the others once it has
	// reported an overload.
	overloadDuration = 5 * time.Second
	// reconnectDelay is the shortest time between attempts to connect to a
	// host.
	reconnectDelay = 500 * time.Millisecond
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
	// established and before it is used. An error closes the connection.
	OnConnect func(ctx context.Context, host fleet.Host, conn *peer.Conn) error

	mu     sync.Mutex
	ranked []fleet.Host
	links  map[tables.HostID]*peerLink
	// overloadedUntil holds the time until which each overloaded host ranks
	// last.
	overloadedUntil map[tables.HostID]time.Time
}

type peerLink struct {
	host     fleet.Host
	conn     *peer.Conn
	dialing  bool
	dialedAt time.Time
	up       bool
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
	wanted := make(map[tables.HostID]bool)
	for _, h := range ranked[:min(maxLinks, len(ranked))] {
		wanted[h.ID] = true
		if link := l.links[h.ID]; link == nil || link.host.Address != h.Address {
			l.links[h.ID] = &peerLink{host: h}
		}
	}
	for id := range l.links {
		if !wanted[id] {
			delete(l.links, id)
		}
	}
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
	for _, link := range l.links {
		l.logState(link, l.linkLive(link, now))
		if link.host.ID == l.self.ID || link.dialing || l.linkLive(link, now) || now.Sub(link.dialedAt) < reconnectDelay {
			continue
		}
		link.dialing = true
		link.dialedAt = now
		go l.connect(ctx, link)
	}
}

// logState logs that a host was reached or lost.
func (l *Links) logState(link *peerLink, up bool) {
	if link.up == up || link.host.ID == l.self.ID {
		return
	}
	link.up = up
	if up {
		event.PeerUp.Log(l.logger, zap.String("host", string(link.host.ID)))
		return
	}
	event.PeerDown.Log(l.logger, zap.String("host", string(link.host.ID)))
}

func (l *Links) connect(ctx context.Context, link *peerLink) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := l.peers.Redial(ctx, link.host.Address)
	if err == nil && l.OnConnect != nil {
		err = l.OnConnect(ctx, link.host, conn)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	link.dialing = false
	if err == nil {
		link.conn = conn
		return
	}
	if conn != nil {
		_ = conn.Close()
	}
	event.PeerConnectionFailed.Log(l.logger, zap.String("host", string(link.host.ID)), zap.Error(err))
}

func (l *Links) linkLive(link *peerLink, now time.Time) bool {
	if link.host.ID == l.self.ID {
		return true
	}
	return link.conn != nil && connLive(link.conn, now)
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

// LiveHosts returns those of the maxLinks highest-ranked hosts that are live, in
// rank order but with overloaded ones last.
func (l *Links) LiveHosts() []LiveHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out, overloaded []LiveHost
	for _, h := range l.ranked[:min(maxLinks, len(l.ranked))] {
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
		if link.conn == conn && (conn != nil || id == l.self.ID) {
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

// Rank returns the position of this host in the ranking, starting at 0, or the
// number of hosts if it is not listed.
func (l *Links) Rank() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, h := range l.ranked {
		if h.ID == l.self.ID {
			return i
		}
	}
	return len(l.ranked)
}

// HostCount returns the number of hosts, at least 1.
func (l *Links) HostCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(len(l.ranked), 1)
}

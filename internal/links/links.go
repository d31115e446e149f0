// Package links keeps connections to the few hosts that all others depend on,
// and knows which of them answer.
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
	// checkEvery is the time between looks at the connections.
	checkEvery = 100 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 400 * time.Millisecond
	// silentAfter is the silence after which a host is passed over. Hosts that
	// others are attached to send a beat every BeatEvery.
	silentAfter = 400 * time.Millisecond
	// kept is the number of hosts to which connections are held.
	kept = 3
	// busyFor is how long a host that said that it is busy is passed over after
	// it last said so.
	busyFor = 5 * time.Second
	// retryEvery is the pause between attempts to reach a host.
	retryEvery = 500 * time.Millisecond
)

// BeatEvery is how often a host sends something to those attached to it.
const BeatEvery = 100 * time.Millisecond

// Links holds the connections of one host.
type Links struct {
	self   fleet.Host
	peers  *peer.Pool
	clock  clockwork.Clock
	logger *zap.Logger
	// Connected is called, in a goroutine of its own, when a connection was
	// made and before it is used. An error drops the connection.
	Connected func(ctx context.Context, host fleet.Host, conn *peer.Conn) error

	mu     sync.Mutex
	ranked []fleet.Host
	rows   map[tables.HostID]*link
	// busyUntil is until when hosts are passed over that run late.
	busyUntil map[tables.HostID]time.Time
}

type link struct {
	host    fleet.Host
	conn    *peer.Conn
	dialing bool
	tried   time.Time
	up      bool
}

// New returns links without hosts.
func New(self fleet.Host, peers *peer.Pool, clock clockwork.Clock, logger *zap.Logger) *Links {
	return &Links{self: self, peers: peers, clock: clock, logger: logger, rows: make(map[tables.HostID]*link), busyUntil: make(map[tables.HostID]time.Time)}
}

// SetHosts replaces the hosts, best first.
func (l *Links) SetHosts(ranked []fleet.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ranked = ranked
	wanted := make(map[tables.HostID]bool)
	for _, h := range ranked[:min(kept, len(ranked))] {
		wanted[h.ID] = true
		if row := l.rows[h.ID]; row == nil || row.host.Address != h.Address {
			l.rows[h.ID] = &link{host: h}
		}
	}
	for id := range l.rows {
		if !wanted[id] {
			delete(l.rows, id)
		}
	}
}

// Run keeps the connections until ctx ends.
func (l *Links) Run(ctx context.Context) {
	for {
		l.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.clock.After(checkEvery):
		}
	}
}

func (l *Links) check(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, row := range l.rows {
		l.report(row, l.alive(row, now))
		if row.host.ID == l.self.ID || row.dialing || l.alive(row, now) || now.Sub(row.tried) < retryEvery {
			continue
		}
		row.dialing = true
		row.tried = now
		go l.connect(ctx, row)
	}
}

// report logs when a host is reached or lost.
func (l *Links) report(row *link, up bool) {
	if row.up == up || row.host.ID == l.self.ID {
		return
	}
	row.up = up
	if up {
		event.PeerUp.Log(l.logger, zap.String("host", string(row.host.ID)))
		return
	}
	event.PeerDown.Log(l.logger, zap.String("host", string(row.host.ID)))
}

func (l *Links) connect(ctx context.Context, row *link) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := l.peers.Fresh(ctx, row.host.Address)
	if err == nil && l.Connected != nil {
		err = l.Connected(ctx, row.host, conn)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	row.dialing = false
	if err == nil {
		row.conn = conn
		return
	}
	if conn != nil {
		_ = conn.Close()
	}
	event.PeerUnreached.Log(l.logger, zap.String("host", string(row.host.ID)), zap.Error(err))
}

func (l *Links) alive(row *link, now time.Time) bool {
	if row.host.ID == l.self.ID {
		return true
	}
	return row.conn != nil && answers(row.conn, now)
}

// answers reports whether something was heard on a connection lately.
func answers(conn *peer.Conn, now time.Time) bool {
	return conn.Open() && now.Sub(conn.LastHeard()) < silentAfter
}

// Live is a host that answers. Conn is nil when it is this host itself.
type Live struct {
	Host fleet.Host
	Conn *peer.Conn
}

// Best returns the best host that answers, and false when there is none.
func (l *Links) Best() (Live, bool) {
	all := l.Live()
	if len(all) == 0 {
		return Live{}, false
	}
	return all[0], true
}

// FirstAnswers reports whether the first of all hosts is this one or answers.
func (l *Links) FirstAnswers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ranked) == 0 {
		return false
	}
	row := l.rows[l.ranked[0].ID]
	return row != nil && l.alive(row, l.clock.Now())
}

// Live returns the hosts that answer, best first, those that run late last.
func (l *Links) Live() []Live {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out, busy []Live
	for _, h := range l.ranked[:min(kept, len(l.ranked))] {
		row := l.rows[h.ID]
		switch {
		case row == nil || !l.alive(row, now):
		case now.Before(l.busyUntil[h.ID]):
			busy = append(busy, Live{Host: h, Conn: row.conn})
		default:
			out = append(out, Live{Host: h, Conn: row.conn})
		}
	}
	return append(out, busy...)
}

// Busy notes that the host at the other end of conn runs late; a nil conn is
// this host itself.
func (l *Links) Busy(conn *peer.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, row := range l.rows {
		if row.conn == conn && (conn != nil || id == l.self.ID) {
			l.busyUntil[id] = l.clock.Now().Add(busyFor)
		}
	}
}

// Conn returns the connection to a host, or nil when there is none.
func (l *Links) Conn(id tables.HostID) *peer.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row := l.rows[id]; row != nil {
		return row.conn
	}
	return nil
}

// Alive reports whether a connection that Live returned still answers.
func (l *Links) Alive(v Live) bool {
	return v.Conn == nil || answers(v.Conn, l.clock.Now())
}

// Rank returns the place of this host in the order, or the number of hosts
// when it is not listed.
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

// Hosts returns the number of hosts, at least 1.
func (l *Links) Hosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(len(l.ranked), 1)
}

// Package members maintains a process's membership table. It polls the
// platform's host list and exchanges heartbeats with peers.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Caller sends one message to a peer. *peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options configure a Members.
type Options struct {
	// Self is this host. New sets a zero incarnation to the current time, except
	// in an observer.
	Self tables.Host
	// Observer is set in processes that do not represent their host, such as
	// gates. Their heartbeats name no host.
	Observer bool
	List     ports.HostList
	Caller   Caller
	Clock    clockwork.Clock
	Logger   *zap.Logger
	// ClaimShards is the number of claim shards.
	ClaimShards int
	// Seeds are peer addresses to contact while no other host is known.
	Seeds []string
	// Heartbeat returns the fields of this host's heartbeat that describe its
	// configuration and its pool, and whether the host is leaving. Members sets
	// the other fields.
	Heartbeat func() peer.Heartbeat
	// OnHeartbeat is called with each received heartbeat whose sender (Host) is set.
	// Heartbeats of observers have no sender.
	OnHeartbeat func(peer.Heartbeat)
	// Feed provides the membership table of this host's dispatcher. It is nil in
	// processes without a feed; only observers have one.
	Feed Feed
}

// Members is the membership table of one process. It is safe for concurrent
// use.
type Members struct {
	opts Options

	mu    sync.Mutex
	table *membership.Table
	rand  *rand.Rand
	// round holds the hosts still to contact in the current round of heartbeats.
	round   []tables.HostID
	changed chan struct{}
	// heartbeatDue makes heartbeatLoop send heartbeats before the interval ends.
	heartbeatDue chan struct{}
	live         []tables.Host
	owners       map[tables.TargetID]tables.HostID
	// homes are the homes of the claim shards, computed on first use; nil until
	// then.
	homes []tables.HostID
	// fanout is the number of peers to send the next heartbeat to; 0 counts as 1.
	fanout int
	// suspected are the hosts to contact next because they did not respond to a
	// request of this process or are reported as unreachable.
	suspected map[tables.HostID]bool
	// synced is set once a peer has responded with reports about all hosts, or
	// the feed has been applied.
	synced bool
}

// New returns a table that contains only this host until Run fills it.
func New(opts Options) *Members {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Heartbeat == nil {
		opts.Heartbeat = func() peer.Heartbeat { return peer.Heartbeat{} }
	}
	if opts.OnHeartbeat == nil {
		opts.OnHeartbeat = func(peer.Heartbeat) {}
	}
	if opts.Feed == nil {
		opts.Feed = noFeed{}
	}
	now := opts.Clock.Now()
	if opts.Self.Incarnation == 0 && !opts.Observer {
		opts.Self.Incarnation = now.UnixNano()
	}
	return &Members{
		opts:         opts,
		table:        membership.New(now, opts.Self, opts.Observer),
		rand:         rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Self.ID)), uint64(now.UnixNano()))),
		changed:      make(chan struct{}),
		heartbeatDue: make(chan struct{}, 1),
		owners:       make(map[tables.TargetID]tables.HostID),

		suspected: make(map[tables.HostID]bool),
	}
}

// Run polls the host list and exchanges heartbeats until ctx ends, and returns
// the error of ctx.
func (m *Members) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.listLoop(ctx) })
	g.Go(func() error { return m.heartbeatLoop(ctx) })
	return g.Wait()
}

// Hosts returns every known host, ordered by ID.
func (m *Members) Hosts() []tables.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Hosts()
}

// Live returns the hosts that may own targets, ordered by ID.
func (m *Members) Live() []tables.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]tables.Host(nil), m.live...)
}

// State returns the state of a host according to the host list, the heartbeats
// and the reports of peers.
func (m *Members) State(id tables.HostID) membership.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.State(m.opts.Clock.Now(), id)
}

// Ready reports whether the table has a listing from the platform or a peer.
func (m *Members) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Ready()
}

// Owner returns the host whose dispatcher owns a target; empty when no host is
// live.
func (m *Members) Owner(target tables.TargetID, domain tables.DomainID) tables.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok := m.owners[target]
	if !ok {
		id = owner.Of(target, domain, m.live)
		m.owners[target] = id
	}
	return id
}

// ClaimHome returns the home of a claim shard; empty when no host is live or the
// shard does not exist.
func (m *Members) ClaimHome(shard int) tables.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.homes == nil {
		m.homes = owner.ShardHomes(m.opts.ClaimShards, m.live)
	}
	if shard < 0 || shard >= len(m.homes) {
		return ""
	}
	return m.homes[shard]
}

// TargetState returns the state of a target in the host list; empty when the
// target is not listed.
func (m *Members) TargetState(id tables.TargetID) tables.HostState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.TargetState(id)
}

// Changed returns a channel that is closed at the next change of hosts or
// targets. Callers must obtain the channel before they read the table, so that
// they miss no change.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// refresh updates the table to the time now. If a host changed or force is set,
// it recomputes the live hosts and notifies the users of Changed. The caller must
// hold m.mu.
func (m *Members) refresh(now time.Time, force bool) {
	changes := m.table.Tick(now)
	for _, c := range changes {
		m.logChange(c)
	}
	if len(changes) == 0 && !force {
		return
	}
	m.live = m.table.Live(now)
	clear(m.owners)
	m.homes = nil
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Members) logChange(c membership.Change) {
	fields := []zap.Field{zap.String("host", string(c.Host)), zap.String("from", string(c.From)), zap.String("to", string(c.To))}
	switch {
	case c.From == c.To:
		event.PeerReachChanged.Log(m.opts.Logger, zap.String("host", string(c.Host)))
	case c.To == membership.Live:
		event.PeerUp.Log(m.opts.Logger, fields...)
	case c.To == membership.Down:
		event.PeerDown.Log(m.opts.Logger, fields...)
	default:
		event.PeerStateChanged.Log(m.opts.Logger, fields...)
	}
}

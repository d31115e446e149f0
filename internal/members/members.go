// Package members keeps a process's membership table: it polls the platform's
// host list and exchanges heartbeats with peers.
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

// Caller sends one message to a peer; *peer.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options are the parts of a Members.
type Options struct {
	// Self is this host; its incarnation is set by New when it is zero.
	Self tables.Host
	// Observer is set in processes that do not answer peers, such as gates:
	// they speak for no host.
	Observer bool
	List     ports.HostList
	Caller   Caller
	Clock    clockwork.Clock
	Logger   *zap.Logger
	// ClaimShards is the number of shards that have a home.
	ClaimShards int
	// Seeds are peer addresses to ask while no listing can be had.
	Seeds []string
	// Heartbeat returns what this host says of itself: configuration, pool
	// summaries and whether it is leaving. Members fills in the rest.
	Heartbeat func() peer.Heartbeat
	// OnHeartbeat is called with what peers say of themselves.
	OnHeartbeat func(peer.Heartbeat)
	// Feed is the dispatcher of this host; nil in processes that read for
	// themselves only. Only observers are fed.
	Feed Feed
}

// Members is the membership table of one process. It is safe for concurrent
// use.
type Members struct {
	opts Options

	mu      sync.Mutex
	table   *membership.Table
	rand    *rand.Rand
	order   []tables.HostID
	changed chan struct{}
	soon    chan struct{}
	live    []tables.Host
	owners  map[tables.TargetID]tables.HostID
	// homes are the homes of the claim shards; nil until they are asked for.
	homes []tables.HostID
	// burst is how many peers the next heartbeat goes to.
	burst int
	// suspected are the hosts that did not answer a request of this process.
	suspected map[tables.HostID]bool
	// introduced is set once a peer has told about every host.
	introduced bool
}

// New returns a table that knows this host only until Run fills it.
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
		opts.Feed = unfed{}
	}
	now := opts.Clock.Now()
	if opts.Self.Incarnation == 0 && !opts.Observer {
		opts.Self.Incarnation = now.UnixNano()
	}
	return &Members{
		opts:    opts,
		table:   membership.New(now, opts.Self, opts.Observer),
		rand:    rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Self.ID)), uint64(now.UnixNano()))),
		changed: make(chan struct{}),
		soon:    make(chan struct{}, 1),
		owners:  make(map[tables.TargetID]tables.HostID),

		suspected: make(map[tables.HostID]bool),
	}
}

// Run polls the list and exchanges heartbeats until ctx ends, and returns its
// error.
func (m *Members) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.listLoop(ctx) })
	g.Go(func() error { return m.beatLoop(ctx) })
	return g.Wait()
}

// Hosts returns every known host by ID.
func (m *Members) Hosts() []tables.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Hosts()
}

// Live returns the hosts that may own targets, by ID.
func (m *Members) Live() []tables.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]tables.Host(nil), m.live...)
}

// State returns the state of a host in the joined table.
func (m *Members) State(id tables.HostID) membership.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.State(m.opts.Clock.Now(), id)
}

// Ready reports whether a listing has been had, from the platform or a peer.
func (m *Members) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Ready()
}

// Owner returns the dispatcher that owns a target; empty when no host is live.
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

// ClaimHome returns the home of a claim shard; empty when no host is live.
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

// TargetState returns the state that the list gives a target; empty when it is
// not listed.
func (m *Members) TargetState(id tables.TargetID) tables.HostState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.TargetState(id)
}

// Changed returns a channel that is closed when hosts or targets next change.
// Take the channel before reading the table, so that no change is missed.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// settle applies the time to the table and tells of changes; m.mu is held.
func (m *Members) settle(now time.Time, force bool) {
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
	switch c.To {
	case membership.Live:
		event.PeerUp.Log(m.opts.Logger, fields...)
	case membership.Down:
		event.PeerDown.Log(m.opts.Logger, fields...)
	default:
		event.PeerStateChanged.Log(m.opts.Logger, fields...)
	}
}

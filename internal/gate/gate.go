// Package gate serves callers: it authenticates and admits requests, gives
// each its identity, hands it to a dispatcher and relays the answer. It holds
// the only copy of an unkeyed request and is its only authority.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/auth"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/limit"
	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Bounds of what a gate keeps of ended requests.
const (
	keepFinished = 120 * time.Second
	keepCount    = 16384
)

// Membership is what a gate reads of other hosts and targets.
type Membership interface {
	// Owner returns the host that owns a target now.
	Owner(id tables.TargetID, domain tables.DomainID) tables.HostID
	// ClaimHome returns the host that decides a shard's claims now.
	ClaimHome(shard int) tables.HostID
	// Live returns the hosts that can be reached.
	Live() []tables.Host
	// Suspect says that a host did not answer, so that it is asked next.
	Suspect(id tables.HostID)
	// TargetState returns the host list's word; empty when not listed.
	TargetState(id tables.TargetID) tables.HostState
}

// Observer is told what the gate does; it feeds the metrics.
type Observer interface {
	// Answered is called when a caller got the end of an answer.
	Answered(a Answered)
	// Opened and Closed are called when a request gets open and ends.
	Opened()
	Closed()
	// TokenGap is called with the time between two parts of an answer.
	TokenGap(tier int, gap time.Duration)
	// Claimed is called after an attempt to claim a key; kind is None when
	// the key is held by this or another request.
	Claimed(won bool, kind errkind.Kind)
}

// Answered describes one ended request.
type Answered struct {
	Service string
	Tier    int
	Kind    errkind.Kind
	// FirstToken is the time from arrival to the first byte; zero without one.
	FirstToken time.Duration
	// Whole is the time from arrival to the end.
	Whole  time.Duration
	Tokens int
}

// Options are the collaborators of a Gate.
type Options struct {
	Host       tables.HostID
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Tracer     trace.Tracer
	Current    func() follow.Snapshot
	Membership Membership
	Peers      *peer.Pool
	Observer   Observer
	// ClaimShards is the number of shards of the key space.
	ClaimShards int
}

// Gate serves callers.
type Gate struct {
	Options
	ctx   context.Context
	pools *pools
	open  sync.WaitGroup

	mu      sync.Mutex
	flights map[tables.RequestID]*flight
	kept    *expirable.LRU[tables.RequestID, *flight]

	limits customerLimits
	learnt learnt

	keys auth.Cache
}

// New returns a gate whose requests end with ctx. Register its methods before
// the first peer connects.
func New(ctx context.Context, o Options) *Gate {
	return &Gate{
		Options: o,
		ctx:     ctx,
		pools:   newPools(),
		flights: make(map[tables.RequestID]*flight),
		limits:  customerLimits{customers: limit.NewCustomerLimiter()},
		learnt:  learnt{shared: prefix.NewSharedPrefixes(prefix.DefaultSharedBlocks), lengths: predict.NewLengths()},
		kept:    expirable.NewLRU[tables.RequestID, *flight](keepCount, nil, keepFinished),
	}
}

// Register adds to mux the notifications that dispatchers send to gates.
func (g *Gate) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.NotifyStarted, func(_ context.Context, conn *peer.Conn, s peer.Started) (struct{}, error) {
		g.deliver(s.ID, func(f *flight) { f.onStarted(conn, s) })
		return struct{}{}, nil
	})
	peer.Handle(mux, peer.NotifyChunk, func(_ context.Context, conn *peer.Conn, c peer.Chunk) (struct{}, error) {
		g.deliver(c.ID, func(f *flight) { f.onChunk(conn, c.Chunk) })
		return struct{}{}, nil
	})
	peer.Handle(mux, peer.NotifyFinished, func(_ context.Context, conn *peer.Conn, end peer.Finished) (struct{}, error) {
		g.deliver(end.ID, func(f *flight) { f.onFinished(conn, end) })
		return struct{}{}, nil
	})
}

func (g *Gate) deliver(id tables.RequestID, to func(*flight)) {
	g.mu.Lock()
	f := g.flights[id]
	g.mu.Unlock()
	if f != nil {
		to(f)
	}
}

// Heard takes the pool summaries of a heartbeat.
func (g *Gate) Heard(h peer.Heartbeat) {
	g.pools.update(h.Host, h.Pool, g.Clock.Now())
}

// Drain waits until every open request has ended, or for ctx. It returns the
// number of requests still open.
func (g *Gate) Drain(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		g.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
		return g.OpenRequests()
	}
}

// OpenRequests counts the requests without an outcome.
func (g *Gate) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.flights)
}

// Document returns the configuration in force, or nil before the first one.
func (g *Gate) Document() *config.Document {
	current := g.Current()
	if current.Version == 0 {
		return nil
	}
	return current.Document
}

// customer returns the customer that key belongs to. Errors are of kind
// NotConfigured or Unauthenticated.
func (g *Gate) customer(key string) (tables.CustomerID, error) {
	current := g.Current()
	if current.Version == 0 {
		return "", errkind.New(errkind.NotConfigured, "no configuration has been read")
	}
	index, err := g.keys.At(current.Version, *current.Document)
	if err != nil {
		return "", err
	}
	return index.Customer(key)
}

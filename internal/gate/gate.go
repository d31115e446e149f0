// Package gate implements the callers' API: it authenticates and admits requests,
// assigns their IDs, submits them to dispatchers and relays the answers. A
// request without an idempotency key is kept only by its gate, and only that gate
// may submit it to another dispatcher or resolve its outcome.
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

// Limits on the ended requests that a gate keeps for look-ups.
const (
	endedRetention = 120 * time.Second
	maxEnded       = 16384
)

// Membership provides the gate's view of other hosts and of targets.
type Membership interface {
	// Owner returns the host that currently owns a target.
	Owner(id tables.TargetID, domain tables.DomainID) tables.HostID
	// ClaimHome returns the current home of a claim shard.
	ClaimHome(shard int) tables.HostID
	// Live returns the hosts that are considered reachable.
	Live() []tables.Host
	// Suspect reports that a host did not respond, so that it is probed next.
	Suspect(id tables.HostID)
	// TargetState returns the state of a target in the host list, or an empty
	// state if the target is not listed.
	TargetState(id tables.TargetID) tables.HostState
}

// Observer receives the events that the metrics count. Its methods may be called
// concurrently.
type Observer interface {
	// RequestEnded is called when a request has ended, also if it was refused or the
	// caller left.
	RequestEnded(a EndedRequest)
	// RequestOpened is called when a request is registered as open.
	RequestOpened()
	// RequestClosed is called when the request is no longer open.
	RequestClosed()
	// TokenGap is called with the time between two chunks of an answer.
	TokenGap(tier int, gap time.Duration)
	// ClaimAttempted is called when the attempts to claim a key have ended. If kind
	// is None and won is false, another request holds the key.
	ClaimAttempted(won bool, kind errkind.Kind)
}

// EndedRequest describes a request that has ended.
type EndedRequest struct {
	Service string
	Tier    int
	Kind    errkind.Kind
	// FirstToken is the time from arrival to the start of the answer; zero if no
	// answer was written.
	FirstToken time.Duration
	// Duration is the time from arrival to the end of the request.
	Duration time.Duration
	Tokens   int
}

// Options are the dependencies and parameters of a Gate.
type Options struct {
	Host       tables.HostID
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Tracer     trace.Tracer
	Current    func() follow.Snapshot
	Membership Membership
	Peers      *peer.Pool
	Observer   Observer
	// ClaimShards is the number of claim shards; all hosts must use the same
	// number.
	ClaimShards int
}

// Gate implements the callers' API. It is safe for concurrent use.
type Gate struct {
	Options
	ctx        context.Context
	summaries  *targetSummaries
	activeWait sync.WaitGroup

	mu     sync.Mutex
	active map[tables.RequestID]*requestState
	ended  *expirable.LRU[tables.RequestID, *requestState]

	limits    customerLimits
	estimates estimates

	keys auth.Cache
}

// New returns a gate that stops its requests when ctx ends. Call Register before
// the first connection to a peer.
func New(ctx context.Context, o Options) *Gate {
	return &Gate{
		Options:   o,
		ctx:       ctx,
		summaries: newTargetSummaries(),
		active:    make(map[tables.RequestID]*requestState),
		limits:    customerLimits{customers: limit.NewCustomerLimiter()},
		estimates: estimates{sharedPrefixes: prefix.NewSharedPrefixes(prefix.DefaultSharedHashes), answerLengths: predict.NewLengthPredictor()},
		ended:     expirable.NewLRU[tables.RequestID, *requestState](maxEnded, nil, endedRetention),
	}
}

// Register adds the handlers for notifications from dispatchers to mux.
func (g *Gate) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.NotifyStarted, func(_ context.Context, conn *peer.Conn, s peer.Started) (struct{}, error) {
		g.deliver(s.ID, func(rs *requestState) { rs.onStarted(conn, s) })
		return struct{}{}, nil
	})
	peer.Handle(mux, peer.NotifyChunk, func(_ context.Context, conn *peer.Conn, c peer.Chunk) (struct{}, error) {
		g.deliver(c.ID, func(rs *requestState) { rs.onChunk(conn, c.Chunk) })
		return struct{}{}, nil
	})
	peer.Handle(mux, peer.NotifyFinished, func(_ context.Context, conn *peer.Conn, outcome peer.Finished) (struct{}, error) {
		g.deliver(outcome.ID, func(rs *requestState) { rs.onFinished(conn, outcome) })
		return struct{}{}, nil
	})
}

func (g *Gate) deliver(id tables.RequestID, apply func(*requestState)) {
	g.mu.Lock()
	rs := g.active[id]
	g.mu.Unlock()
	if rs != nil {
		apply(rs)
	}
}

// ApplyHeartbeat applies the target summaries in a heartbeat.
func (g *Gate) ApplyHeartbeat(h peer.Heartbeat) {
	g.summaries.update(h.Host, h.Pool, g.Clock.Now())
}

// Drain waits until no request is open or ctx ends. It returns the number of
// requests that are still open.
func (g *Gate) Drain(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		g.activeWait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
		return g.OpenRequests()
	}
}

// OpenRequests returns the number of registered requests that have not ended.
func (g *Gate) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// Document returns the current configuration, or nil if none has been read.
func (g *Gate) Document() *config.Document {
	current := g.Current()
	if current.Version == 0 {
		return nil
	}
	return current.Document
}

// customerForKey returns the customer to whom an API key belongs. Errors are of
// kind NotConfigured or Unauthenticated.
func (g *Gate) customerForKey(key string) (tables.CustomerID, error) {
	current := g.Current()
	if current.Version == 0 {
		return "", errkind.New(errkind.NotConfigured, "no configuration has been read")
	}
	index, err := g.keys.Get(current.Version, *current.Document)
	if err != nil {
		return "", err
	}
	return index.Customer(key)
}

package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/feed"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// process is what gate, dispatcher and controller have in common: the log
// follower, the membership table, the peers and the metrics listener.
type process struct {
	Env
	settings settings.Common
	role     string
	ctx      context.Context
	cancel   context.CancelFunc
	mux      *peer.Mux
	pool     *peer.Pool
	follower *follow.Follower
	members  *members.Members
	metrics  *observe.Metrics
	log      *closableLog
	// source feeds the other processes of the host; nil but in a dispatcher.
	source *feed.Source
	// fed takes from the dispatcher; nil in a dispatcher, and in a process that
	// reads for itself only.
	fed     *feed.Client
	leaving atomic.Bool
	running sync.WaitGroup
	servers []*http.Server
}

// part is what a role adds to the common process.
type part struct {
	self     tables.Host
	observer bool
	// dispatcher is the peer listener of this host's dispatcher; empty in the
	// dispatcher itself.
	dispatcher string
	// pool returns the summaries that go with heartbeats; may be nil.
	pool func() []tables.TargetSummary
	// heard takes the heartbeats of peers; may be nil.
	heard func(peer.Heartbeat)
}

func newProcess(role string, s settings.Common, env Env, p part) *process {
	ctx, cancel := context.WithCancel(context.Background())
	closable := &closableLog{log: env.Log}
	env.Log = closable
	proc := &process{Env: env, log: closable, settings: s, role: role, ctx: ctx, cancel: cancel, mux: peer.NewMux()}
	proc.metrics = observe.NewMetrics()
	hello := peer.Hello{Host: s.Host, Role: role, Key: s.PeerKey}
	proc.pool = peer.NewPool(ctx, hello, proc.mux, env.Clock)
	proc.pool.Dial = env.DialPeer
	log, list := proc.connectFeed(p)
	proc.follower = follow.New(follow.Options{
		Host: s.Host, Log: log, Clock: env.Clock, Logger: env.Logger,
		Peers: fetcher{proc}, SkipSnapshots: role != roleController, Retention: s.LogRetention,
	})
	proc.members = members.New(members.Options{
		Self: p.self, Observer: p.observer, List: list, Feed: proc.feedOfMembers(), Caller: proc.pool,
		Clock: env.Clock, Logger: env.Logger, ClaimShards: claims.DefaultShards,
		Heartbeat:   func() peer.Heartbeat { return proc.heartbeat(p) },
		OnHeartbeat: func(h peer.Heartbeat) { proc.heard(p, h) },
	})
	return proc
}

// fetcher defers to the membership table, which is made after the follower.
type fetcher struct{ p *process }

// FetchConfig asks a peer for its configuration.
func (f fetcher) FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error) {
	return f.p.members.FetchConfig(ctx, have)
}

func (p *process) heartbeat(q part) peer.Heartbeat {
	current := p.follower.Current()
	h := peer.Heartbeat{
		ConfigVersion: uint64(current.Version),
		ConfigDigest:  current.Digest,
		Leaving:       p.leaving.Load(),
	}
	if p.source != nil {
		h.LowestVersion, h.Unheard = p.source.Lowest(h.ConfigVersion)
	}
	if q.pool != nil {
		h.Pool = q.pool()
	}
	return h
}

func (p *process) heard(q part, h peer.Heartbeat) {
	p.follower.Heard(config.Version(h.ConfigVersion), h.ConfigDigest)
	if p.source != nil {
		p.source.Heard(h)
	}
	if q.heard != nil {
		q.heard(h)
	}
}

// document returns the configuration in force, or nil before the first one.
func (p *process) document() *config.Document {
	current := p.follower.Current()
	if current.Version == 0 {
		return nil
	}
	return current.Document
}

// start runs the common parts until the process is killed.
func (p *process) start() {
	p.spawn(func() { _ = p.follower.Run(p.ctx) })
	p.spawn(func() { _ = p.members.Run(p.ctx) })
	p.spawn(p.watchMetrics)
	if p.fed != nil {
		p.spawn(func() { _ = p.fed.Run(p.ctx, p.members) })
	}
}

func (p *process) spawn(f func()) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		f()
	}()
}

// onChange calls f now and whenever configuration or membership changes.
func (p *process) onChange(f func()) {
	p.spawn(func() {
		for p.ctx.Err() == nil {
			configured := p.follower.Changed()
			joined := p.members.Changed()
			f()
			select {
			case <-configured:
			case <-joined:
			case <-p.ctx.Done():
			}
		}
	})
}

func (p *process) watchMetrics() {
	for p.ctx.Err() == nil {
		configured := p.follower.Changed()
		joined := p.members.Changed()
		p.metrics.SetConfigVersion(uint64(p.follower.Current().Version))
		p.metrics.SetPeersUp(len(p.members.Live()))
		p.metrics.SetLogReachable(p.follower.LogReachable())
		select {
		case <-configured:
		case <-joined:
		case <-p.ctx.Done():
		}
	}
}

// ready returns nil when the process can serve: it knows a configuration and
// the hosts, and is not leaving. The error is of kind ShuttingDown or
// NotConfigured.
func (p *process) ready() error {
	switch {
	case p.leaving.Load():
		return errkind.New(errkind.ShuttingDown, "the process is stopping")
	case p.document() == nil:
		return errkind.New(errkind.NotConfigured, "no configuration has been read")
	case !p.members.Ready():
		return errkind.New(errkind.NotConfigured, "no host list has been read")
	}
	return nil
}

// serveHTTP serves h on address and returns the address in use.
func (p *process) serveHTTP(address string, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := observe.NewServer(h)
	p.servers = append(p.servers, server)
	p.spawn(func() {
		if err := server.Serve(l); err != nil && err != http.ErrServerClosed {
			event.ListenerFailed.Log(p.Logger, zap.String("address", address), zap.Error(err))
		}
	})
	return l.Addr().String(), server, nil
}

// servePeers serves the process's methods on l.
func (p *process) servePeers(l net.Listener) {
	p.spawn(func() {
		if err := peer.Serve(p.ctx, l, p.mux, p.settings.PeerKey, p.Clock); err != nil {
			event.ListenerFailed.Log(p.Logger, zap.String("address", l.Addr().String()), zap.Error(err))
		}
	})
}

// registerCommon adds the methods that every process with a peer listener has.
func (p *process) registerCommon() {
	peer.Handle(p.mux, peer.MethodHeartbeat, func(_ context.Context, _ *peer.Conn, h peer.Heartbeat) (peer.Heartbeat, error) {
		return p.members.Handle(h), nil
	})
	peer.Handle(p.mux, peer.MethodConfig, func(_ context.Context, _ *peer.Conn, q peer.ConfigRequest) (peer.ConfigState, error) {
		return p.follower.Export(config.Version(q.Have)), nil
	})
}

func (p *process) serveMetrics() error {
	_, _, err := p.serveHTTP(p.settings.MetricsAddress, p.metrics.Handler(p.ready))
	return err
}

// kill ends the process at once, as a crash does: nothing more is answered and
// callers see their connections break.
func (p *process) kill() {
	p.log.closed.Store(true)
	p.cancel()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.running.Wait()
}

// leave turns readiness off and tells the peers.
func (p *process) leave() {
	p.leaving.Store(true)
	event.StopRequested.Log(p.Logger)
	p.members.Announce()
}

// waitForBalancer waits for the balancer to take the host out, or for ctx.
func (p *process) waitForBalancer(ctx context.Context) {
	select {
	case <-p.Clock.After(p.settings.BalancerWait):
	case <-ctx.Done():
	}
}

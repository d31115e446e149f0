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

// process contains the common components of a gate, a dispatcher and a
// controller: the configuration follower, the membership table, the connections
// to peers and the metrics listener.
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
	// source sends the feed to the other processes of the host. It is set only in
	// a dispatcher.
	source *feed.Source
	// feedClient receives the feed from the dispatcher. It is nil in a dispatcher
	// and in a process without the address of one.
	feedClient *feed.Client
	leaving    atomic.Bool
	goroutines sync.WaitGroup
	servers    []*http.Server
}

// roleOptions are the options in which the roles differ.
type roleOptions struct {
	self     tables.Host
	observer bool
	// dispatcherAddress is the host:port of the peer listener of this host's dispatcher;
	// empty in the dispatcher itself.
	dispatcherAddress string
	// pool returns the target summaries for heartbeats; may be nil.
	pool func() []tables.TargetSummary
	// reach returns whether the process reaches targets; may be nil.
	reach func() tables.Reach
	// onHeartbeat is called with the heartbeats of peers; may be nil.
	onHeartbeat func(peer.Heartbeat)
}

func newProcess(role string, s settings.Common, env Env, opts roleOptions) *process {
	ctx, cancel := context.WithCancel(context.Background())
	closable := &closableLog{inner: env.Log}
	env.Log = closable
	proc := &process{Env: env, log: closable, settings: s, role: role, ctx: ctx, cancel: cancel, mux: peer.NewMux()}
	proc.metrics = observe.NewMetrics()
	hello := peer.Hello{Host: s.Host, Role: role, Key: s.PeerKey}
	proc.pool = peer.NewPool(ctx, hello, proc.mux, env.Clock)
	proc.pool.Dial = env.DialPeer
	followerLog, list := proc.connectFeed(opts)
	proc.follower = follow.New(follow.Options{
		Host: s.Host, Log: followerLog, Clock: env.Clock, Logger: env.Logger,
		Peers: configFetcher{proc}, SkipSnapshots: role != roleController, Retention: s.LogRetention,
	})
	proc.members = members.New(members.Options{
		Self: opts.self, Observer: opts.observer, List: list, Feed: proc.memberFeed(), Caller: proc.pool,
		Clock: env.Clock, Logger: env.Logger, ClaimShards: claims.DefaultShards,
		Heartbeat:   func() peer.Heartbeat { return proc.heartbeat(opts) },
		OnHeartbeat: func(h peer.Heartbeat) { proc.recordHeartbeat(opts, h) },
	})
	return proc
}

// configFetcher fetches the configuration through the membership table. The
// follower needs it because the table is created after the follower.
type configFetcher struct{ p *process }

// FetchConfig fetches the configuration from a peer.
func (f configFetcher) FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error) {
	return f.p.members.FetchConfig(ctx, have)
}

// heartbeat returns this process's heartbeat without the fields that the
// membership table sets.
func (p *process) heartbeat(opts roleOptions) peer.Heartbeat {
	current := p.follower.Current()
	h := peer.Heartbeat{
		ConfigVersion: uint64(current.Version),
		ConfigDigest:  current.Digest,
		Leaving:       p.leaving.Load(),
	}
	if p.source != nil {
		h.LowestConfigVersion, h.UnreportedRoles = p.source.LowestVersion(h.ConfigVersion)
	}
	if opts.pool != nil {
		h.Pool = opts.pool()
	}
	if opts.reach != nil {
		h.Reach = opts.reach()
	}
	return h
}

// recordHeartbeat passes the configuration version and digest of a peer's heartbeat
// to the follower, and the whole heartbeat to p.source and opts.onHeartbeat if they
// are set.
func (p *process) recordHeartbeat(opts roleOptions, h peer.Heartbeat) {
	p.follower.RecordPeerVersion(config.Version(h.ConfigVersion), h.ConfigDigest)
	if p.source != nil {
		p.source.RecordHeartbeat(h)
	}
	if opts.onHeartbeat != nil {
		opts.onHeartbeat(h)
	}
}

// document returns the configuration in force, or nil before there is one.
func (p *process) document() *config.Document {
	current := p.follower.Current()
	if current.Version == 0 {
		return nil
	}
	return current.Document
}

// start starts the common components, which run until the process is killed.
func (p *process) start() {
	p.spawn(func() { _ = p.follower.Run(p.ctx) })
	p.spawn(func() { _ = p.members.Run(p.ctx) })
	p.spawn(p.updateMetrics)
	if p.feedClient != nil {
		p.spawn(func() { _ = p.feedClient.Run(p.ctx, p.members) })
	}
}

// spawn runs f in a goroutine that kill waits for.
func (p *process) spawn(f func()) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		f()
	}()
}

// onConfigOrMembershipChange calls f at once and after each change of the
// configuration or the membership table, until the process is killed.
func (p *process) onConfigOrMembershipChange(f func()) {
	p.spawn(func() {
		for p.ctx.Err() == nil {
			configChanged := p.follower.Changed()
			membershipChanged := p.members.Changed()
			f()
			select {
			case <-configChanged:
			case <-membershipChanged:
			case <-p.ctx.Done():
			}
		}
	})
}

// updateMetrics updates the metrics of configuration and membership after each
// change, until the process is killed.
func (p *process) updateMetrics() {
	for p.ctx.Err() == nil {
		configChanged := p.follower.Changed()
		membershipChanged := p.members.Changed()
		p.metrics.SetConfigVersion(uint64(p.follower.Current().Version))
		p.metrics.SetPeersUp(len(p.members.Live()))
		p.metrics.SetConfigLogReachable(p.follower.LogReachable())
		select {
		case <-configChanged:
		case <-membershipChanged:
		case <-p.ctx.Done():
		}
	}
}

// ready returns nil if the process can serve: it has a configuration and a host
// list, and is not shutting down. The error is of kind ShuttingDown or
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

// serveHTTP serves h on address. It returns the actual address of the listener
// and the server.
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

// servePeers serves the peer methods of the process on l.
func (p *process) servePeers(l net.Listener) {
	p.spawn(func() {
		if err := peer.Serve(p.ctx, l, p.mux, p.settings.PeerKey, p.Clock); err != nil {
			event.ListenerFailed.Log(p.Logger, zap.String("address", l.Addr().String()), zap.Error(err))
		}
	})
}

// registerCommonMethods registers the peer methods that every process with a peer
// listener serves.
func (p *process) registerCommonMethods() {
	peer.Handle(p.mux, peer.MethodHeartbeat, func(_ context.Context, _ *peer.Conn, h peer.Heartbeat) (peer.Heartbeat, error) {
		return p.members.Handle(h), nil
	})
	peer.Handle(p.mux, peer.MethodConfig, func(_ context.Context, _ *peer.Conn, req peer.ConfigRequest) (peer.ConfigState, error) {
		return p.follower.Export(config.Version(req.Have)), nil
	})
}

// serveMetrics serves metrics and health checks on the metrics listener.
func (p *process) serveMetrics() error {
	_, _, err := p.serveHTTP(p.settings.MetricsAddress, p.metrics.Handler(p.ready))
	return err
}

// kill ends the process immediately, like a crash: it sends no more responses,
// and the connections of callers break. It returns when all goroutines have ended.
func (p *process) kill() {
	p.log.closed.Store(true)
	p.cancel()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.goroutines.Wait()
}

// beginShutdown makes the process report that it is not ready. A dispatcher also
// announces to its peers that the host is leaving.
func (p *process) beginShutdown() {
	p.leaving.Store(true)
	event.StopRequested.Log(p.Logger)
	p.members.Announce()
}

// waitForBalancer waits for the time that the load balancer needs to remove the
// host, or until ctx ends.
func (p *process) waitForBalancer(ctx context.Context) {
	select {
	case <-p.Clock.After(p.settings.BalancerWait):
	case <-ctx.Done():
	}
}

package node

import (
	"context"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/quarantine"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Dispatcher is a running dispatcher process.
type Dispatcher struct {
	proc       *process
	dispatcher *dispatcher.Dispatcher
	home       *claims.Home
	quarantine *quarantine.Quarantine
	clients    *clients
	listener   net.Listener
	demand     *demandMeter
}

// StartDispatcher starts a dispatcher that listens for peers at the PeerAddress of
// the settings. Errors come from the listeners.
func StartDispatcher(s settings.Dispatcher, env Env) (*Dispatcher, error) {
	l, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return nil, err
	}
	return StartDispatcherOn(l, s, env)
}

// StartDispatcherOn starts a dispatcher with an open peer listener.
func StartDispatcherOn(l net.Listener, s settings.Dispatcher, env Env) (*Dispatcher, error) {
	n := &Dispatcher{listener: l, clients: newClients(), demand: newDemandMeter(env.Clock)}
	n.proc = newProcess(roleDispatcher, s.Common, env, roleOptions{
		self: tables.Host{
			ID: s.Host, Domain: s.FailureDomain, PeerAddress: l.Addr().String(),
			Incarnation: env.Clock.Now().UnixNano(),
		},
		pool:  func() []tables.TargetSummary { return n.dispatcher.Summary(n.proc.ctx) },
		reach: func() tables.Reach { return n.dispatcher.Reach() },
	})
	p := n.proc
	n.quarantine = p.newQuarantine()
	n.home = claims.NewHome(claims.Options{Log: p.Log, Clock: env.Clock, Logger: env.Logger, Host: s.Host})
	n.dispatcher = dispatcher.New(p.ctx, dispatcher.Options{
		Host: s.Host, Clock: env.Clock, Logger: env.Logger, Tracer: env.Tracer.Tracer("bluebell-dispatcher"),
		Document: p.document, Membership: p.members, Quarantine: n.quarantine,
		Outcomes: outcomeRecorder{n}, Targets: env.targets(n.clients), Observer: dispatcherMetrics{p.metrics, n.demand},
	})
	n.register()
	if err := p.serveMetrics(); err != nil {
		p.kill()
		return nil, err
	}
	n.start()
	event.ProcessStarted.Log(env.Logger, zap.String("peers", l.Addr().String()))
	return n, nil
}

func (n *Dispatcher) register() {
	n.proc.registerCommonMethods()
	n.proc.source.Serve(n.proc.mux, n.proc.members)
	n.dispatcher.Register(n.proc.mux)
	peer.Handle(n.proc.mux, peer.MethodShare, func(ctx context.Context, _ *peer.Conn, s peer.Share) (peer.Share, error) {
		return n.quarantine.Share(ctx, s)
	})
	peer.Handle(n.proc.mux, peer.MethodDemand, func(context.Context, *peer.Conn, peer.DemandRequest) (peer.Demand, error) {
		return peer.Demand{Rates: n.demand.rates()}, nil
	})
	peer.Handle(n.proc.mux, peer.MethodAcquire, func(ctx context.Context, _ *peer.Conn, a peer.Acquire) (peer.AcquireResult, error) {
		return n.home.Acquire(ctx, a)
	})
	peer.Handle(n.proc.mux, peer.MethodMint, func(context.Context, *peer.Conn, struct{}) (peer.Minted, error) {
		return n.home.Mint()
	})
	peer.Handle(n.proc.mux, peer.MethodRecord, func(ctx context.Context, _ *peer.Conn, r peer.Record) (struct{}, error) {
		return struct{}{}, n.home.Record(ctx, r)
	})
}

func (n *Dispatcher) start() {
	p := n.proc
	p.spawn(func() { n.dispatcher.Run() })
	p.spawn(n.dispatcher.Watch)
	p.spawn(func() { n.home.Run(p.ctx) })
	p.spawn(func() { _ = n.quarantine.Run(p.ctx) })
	p.start()
	p.onConfigOrMembershipChange(n.dispatcher.SyncTargets)
	p.spawn(n.warmShards)
	p.servePeers(n.listener)
}

// warmShards opens the claim shards whose home is this host, so that the first
// claim in a shard does not wait until the log has been read. It repeats this
// after each change of the membership table and every warmInterval, because a
// shard may have been closed while it was idle.
func (n *Dispatcher) warmShards() {
	p := n.proc
	for p.ctx.Err() == nil {
		membershipChanged := p.members.Changed()
		for shard := range claims.DefaultShards {
			if p.members.ClaimHome(shard) == p.settings.Host {
				n.home.OpenShard(shard)
			}
		}
		select {
		case <-membershipChanged:
		case <-p.Clock.After(warmInterval):
		case <-p.ctx.Done():
		}
	}
}

// Address returns the host:port of the peer listener.
func (n *Dispatcher) Address() string { return n.listener.Addr().String() }

// Ready reports whether the dispatcher is ready to serve.
func (n *Dispatcher) Ready() bool { return n.proc.ready() == nil }

// Version returns the configuration version in force.
func (n *Dispatcher) Version() uint64 { return uint64(n.proc.follower.Current().Version) }

// Stop shuts the dispatcher down gracefully: it returns queued requests to their
// gates, waits for running ones, waits until the load balancer has removed the
// host, and flushes queued claims and outcomes to the log. Each of these waits ends
// at the latest when ctx ends.
func (n *Dispatcher) Stop(ctx context.Context) {
	n.proc.beginShutdown()
	if running, err := n.dispatcher.Drain(ctx); err != nil {
		event.StopTimeoutExpired.Log(n.proc.Logger, zap.Int("running", running))
	}
	n.proc.waitForBalancer(ctx)
	_ = n.home.Flush(ctx)
	n.Kill()
	event.ProcessStopped.Log(n.proc.Logger)
}

// Kill ends the dispatcher immediately, without a graceful shutdown.
func (n *Dispatcher) Kill() {
	n.proc.kill()
	n.clients.close()
}

// outcomeRecorder sends the outcomes of keyed requests to the homes of their
// keys.
type outcomeRecorder struct {
	n *Dispatcher
}

const (
	// warmInterval is the maximum time between two rounds of warmShards.
	warmInterval      = 1 * time.Minute
	maxRecordAttempts = 5
	recordBackoff     = 500 * time.Millisecond
)

// Record implements dispatcher.Outcomes. After a failure it retries, and
// determines the home again for each attempt.
func (r outcomeRecorder) Record(ctx context.Context, rec peer.Record) error {
	var err error
	for range maxRecordAttempts {
		if err = r.tryRecord(ctx, rec); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.n.proc.Clock.After(recordBackoff):
		}
	}
	return err
}

func (r outcomeRecorder) tryRecord(ctx context.Context, rec peer.Record) error {
	p := r.n.proc
	home := p.members.ClaimHome(r.n.home.ShardOf(rec.Customer, rec.Service, rec.Key))
	if k, err := claim.ParseMinted(rec.Key); err == nil {
		home = k.Host
	}
	if home == p.settings.Host || home == "" {
		return r.n.home.Record(ctx, rec)
	}
	for _, h := range p.members.Live() {
		if h.ID == home {
			return p.pool.Call(ctx, h.PeerAddress, peer.MethodRecord, rec, nil)
		}
	}
	return errkind.New(errkind.ClaimsUnavailable, "the home of the key has no address")
}

// dispatcherMetrics updates metrics and the demand meter from the events of a
// dispatcher.
type dispatcherMetrics struct {
	metrics *observe.Metrics
	demand  *demandMeter
}

// Dispatched implements dispatcher.Observer.
func (m dispatcherMetrics) Dispatched(service tables.ServiceID, tier int, queued time.Duration) {
	m.metrics.Dispatched(service)
	m.metrics.Queued(strconv.Itoa(tier), queued)
}

// Ended implements dispatcher.Observer.
func (m dispatcherMetrics) Ended(r *tables.Request, f peer.Finished, _ time.Time) {
	m.demand.recordEnd(r)
	computed := r.PromptTokens - r.CachedTokens
	switch f.Kind {
	case errkind.Preempted, errkind.CancelledWhileRunning:
		m.metrics.Cancelled(f.Kind)
		m.metrics.WastedPrefill(observe.WasteCancelled, computed)
	case errkind.RanFailed, errkind.OutcomeUnknown:
		m.metrics.WastedPrefill(observe.WasteLost, computed)
	default:
	}
}

// TargetClosed reports whether the dispatcher sends no new requests to a target.
func (n *Dispatcher) TargetClosed(id tables.TargetID) bool {
	return n.dispatcher.TargetClosed(n.proc.ctx, id)
}

// Unloaded returns the services that an owned target does not offer because their
// models are not loaded there.
func (n *Dispatcher) Unloaded(id tables.TargetID) []tables.ServiceID {
	for _, s := range n.dispatcher.Summary(n.proc.ctx) {
		if s.Target == id {
			return s.Unloaded
		}
	}
	return nil
}

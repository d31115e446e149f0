package node

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/gate"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Gate is a running gate process.
type Gate struct {
	proc    *process
	gate    *gate.Gate
	server  *http.Server
	address string
}

// StartGate starts a gate. Errors come from the listeners or the construction of
// the callers' API.
func StartGate(s settings.Gate, env Env) (*Gate, error) {
	n := &Gate{}
	n.proc = newProcess(roleGate, s.Common, env, roleOptions{
		self:     tables.Host{ID: s.Host, Domain: s.FailureDomain},
		observer: true, dispatcherAddress: s.DispatcherAddress,
		onHeartbeat: func(h peer.Heartbeat) { n.gate.ApplyHeartbeat(h) },
	})
	p := n.proc
	n.gate = gate.New(p.ctx, gate.Options{
		Host: s.Host, Clock: env.Clock, Logger: env.Logger, Tracer: env.Tracer.Tracer("bluebell-gate"),
		Current: p.follower.Current, Membership: p.members, Peers: p.pool,
		Observer: gateMetrics{p.metrics}, ClaimShards: claims.DefaultShards,
	})
	n.gate.Register(p.mux)
	if err := n.listen(s); err != nil {
		p.kill()
		return nil, err
	}
	p.start()
	event.ProcessStarted.Log(env.Logger, zap.String("callers", n.address))
	return n, nil
}

func (n *Gate) listen(s settings.Gate) error {
	handler, err := n.gate.Handler()
	if err != nil {
		return err
	}
	if n.address, n.server, err = n.proc.serveHTTP(s.CallerAddress, handler); err != nil {
		return err
	}
	return n.proc.serveMetrics()
}

// Address returns the host:port of the callers' API.
func (n *Gate) Address() string { return n.address }

// Ready reports whether the gate is ready to serve.
func (n *Gate) Ready() bool { return n.proc.ready() == nil }

// Version returns the configuration version in force.
func (n *Gate) Version() uint64 { return uint64(n.proc.follower.Current().Version) }

// Stop shuts the gate down gracefully: it continues to serve while the load
// balancer removes the host, then closes its listener and waits for open
// requests. Each of these waits ends at the latest when ctx ends.
func (n *Gate) Stop(ctx context.Context) {
	n.proc.beginShutdown()
	n.proc.waitForBalancer(ctx)
	if err := n.server.Shutdown(ctx); err != nil {
		event.StopTimeoutExpired.Log(n.proc.Logger, zap.Int("open", n.gate.OpenRequests()))
	}
	n.gate.Drain(ctx)
	n.proc.kill()
	event.ProcessStopped.Log(n.proc.Logger)
}

// Kill ends the gate immediately, without a graceful shutdown.
func (n *Gate) Kill() { n.proc.kill() }

// gateMetrics updates metrics from the events of a gate.
type gateMetrics struct {
	metrics *observe.Metrics
}

// RequestEnded implements gate.Observer.
func (m gateMetrics) RequestEnded(a gate.EndedRequest) {
	tier := strconv.Itoa(a.Tier)
	m.metrics.RequestEnded(tables.ServiceID(a.Service), tier, a.Kind)
	if a.FirstToken > 0 {
		m.metrics.FirstToken(tier, a.FirstToken)
	}
	m.metrics.TokensRelayed(tier, a.Tokens)
}

// RequestOpened implements gate.Observer.
func (m gateMetrics) RequestOpened() { m.metrics.AddInFlight(1) }

// RequestClosed implements gate.Observer.
func (m gateMetrics) RequestClosed() { m.metrics.AddInFlight(-1) }

// TokenGap implements gate.Observer.
func (m gateMetrics) TokenGap(tier int, gap time.Duration) {
	m.metrics.TokenGap(strconv.Itoa(tier), gap)
}

// ClaimAttempted implements gate.Observer.
func (m gateMetrics) ClaimAttempted(won bool, kind errkind.Kind) {
	switch {
	case won:
		m.metrics.Claimed(observe.ClaimWon)
	case kind == errkind.None:
		m.metrics.Claimed(observe.ClaimJoined)
	case kind == errkind.ClaimsUnavailable:
		m.metrics.Claimed(observe.ClaimUnavailable)
	default:
		m.metrics.Claimed(observe.ClaimRefused)
	}
}

// TargetClosed reports whether the host list marks a target as leaving, so that
// the gate sends no new requests to it.
func (n *Gate) TargetClosed(id tables.TargetID) bool {
	return n.proc.members.TargetState(id) == tables.HostLeaving
}

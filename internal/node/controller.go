package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/operators"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// downAfter is the silence after which status shows a host as down.
const downAfter = 30 * time.Second

// Controller is a running controller process.
type Controller struct {
	proc    *process
	pools   *poolTable
	server  *http.Server
	address string
}

// StartController starts a controller. The error is that of a listener.
func StartController(s settings.Controller, env Env) (*Controller, error) {
	n := &Controller{pools: newPoolTable()}
	n.proc = newProcess("controller", s.Common, env, part{
		self:     tables.Host{ID: s.Host, Domain: s.FailureDomain},
		observer: true,
		heard:    n.pools.heard,
	})
	n.proc.registerCommon()
	if err := n.listen(s); err != nil {
		n.proc.kill()
		return nil, err
	}
	n.proc.start()
	event.ProcessStarted.Log(env.Logger, zap.String("operators", n.address))
	return n, nil
}

func (n *Controller) listen(s settings.Controller) error {
	l, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return err
	}
	n.proc.servePeers(l)
	configuration := operatorConfig{n.proc}
	handler := &operators.Handler{
		Host: s.Host, Configuration: configuration, Clock: n.proc.Clock, DownAfter: downAfter,
		Members: operatorMembers{n}, Peers: n.proc.pool, Quarantine: newQuarantine(n.proc),
	}
	server, err := operators.NewServer(handler, operators.NewKeys(configuration, s.BootstrapOperator), n.proc.Tracer)
	if err != nil {
		return err
	}
	if n.address, n.server, err = n.proc.serveHTTP(s.OperatorAddress, server); err != nil {
		return err
	}
	return n.proc.serveMetrics()
}

// Address returns host:port of the operators' API.
func (n *Controller) Address() string { return n.address }

// Version returns the configuration version in force.
func (n *Controller) Version() uint64 { return uint64(n.proc.follower.Current().Version) }

// Stop ends the controller gracefully, at most until ctx ends.
func (n *Controller) Stop(ctx context.Context) {
	n.proc.leave()
	if err := n.server.Shutdown(ctx); err != nil {
		event.StopBoundPassed.Log(n.proc.Logger)
	}
	n.proc.kill()
	event.ProcessStopped.Log(n.proc.Logger)
}

// Kill ends the controller at once.
func (n *Controller) Kill() { n.proc.kill() }

// operatorConfig adapts the log follower to the operators' API.
type operatorConfig struct {
	p *process
}

// Current implements operators.Configuration.
func (c operatorConfig) Current() operators.Snapshot {
	s := c.p.follower.Current()
	out := operators.Snapshot{Version: s.Version, Digest: s.Digest}
	if s.Document != nil {
		out.Document = *s.Document
	}
	return out
}

// Publish implements operators.Configuration.
func (c operatorConfig) Publish(ctx context.Context, p operators.Patch) (operators.Result, error) {
	r, err := c.p.follower.Publish(ctx, patchOf(p))
	return resultOf(r), err
}

// DryRun implements operators.Configuration.
func (c operatorConfig) DryRun(_ context.Context, p operators.Patch) (operators.Result, error) {
	r, err := c.p.follower.DryRun(patchOf(p))
	return resultOf(r), err
}

// History implements operators.Configuration.
func (c operatorConfig) History() []operators.Result {
	var out []operators.Result
	for _, r := range c.p.follower.History() {
		out = append(out, resultOf(r))
	}
	return out
}

// LogReachable implements operators.Configuration.
func (c operatorConfig) LogReachable() bool { return c.p.follower.LogReachable() }

func patchOf(p operators.Patch) config.Patch {
	return config.Patch{ID: p.ID, Base: p.Base, Operator: p.Operator, Merge: p.Merge}
}

func resultOf(r config.Result) operators.Result {
	return operators.Result{
		PatchID: r.PatchID, Operator: r.Operator, Base: r.Base, Accepted: r.Accepted,
		Version: r.Version, Reason: r.Reason, Time: r.Time, Diff: r.Diff,
	}
}

// poolTable keeps the latest summaries of every dispatcher.
type poolTable struct {
	mu   sync.Mutex
	rows map[tables.HostID][]tables.PoolSummary
}

func newPoolTable() *poolTable {
	return &poolTable{rows: make(map[tables.HostID][]tables.PoolSummary)}
}

func (t *poolTable) heard(h peer.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[h.Host] = h.Pool
}

func (t *poolTable) all(live []tables.Host) []operators.Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []operators.Pool
	for _, h := range live {
		for _, s := range t.rows[h.ID] {
			out = append(out, operators.Pool{Owner: h.ID, Summary: s})
		}
	}
	return out
}

// operatorMembers adapts membership and summaries to the operators' API.
type operatorMembers struct {
	n *Controller
}

// Hosts implements operators.Members.
func (m operatorMembers) Hosts() []tables.Host { return m.n.proc.members.Hosts() }

// Pools implements operators.Members.
func (m operatorMembers) Pools() []operators.Pool {
	return m.n.pools.all(m.n.proc.members.Live())
}

// TargetState implements operators.Members.
func (m operatorMembers) TargetState(id tables.TargetID) tables.HostState {
	return m.n.proc.members.TargetState(id)
}

package harness

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Names of the processes of a host.
const (
	PartGate       = "gate"
	PartDispatcher = "dispatcher"
	PartController = "controller"
)

// peerKey is shared by all processes of a Harness.
const peerKey = "peer-key-of-the-harness"

// process is a running process of a host.
type process interface {
	Stop(ctx context.Context)
	Kill()
	Version() uint64
}

// Host is one host: a gate, a dispatcher and a controller.
type Host struct {
	ID     tables.HostID
	Domain string
	h      *Harness

	mu        sync.Mutex
	processes map[string]process
	gate      *node.Gate
	operators string
	peers     *endpoint.Listener
	// freezer stops the controller; frozen is set while it does.
	freezer freezer
	frozen  bool
}

// StartHost starts a host of a new name, or one that was stopped or killed,
// and lists it as live. Its addresses are new each time.
func (h *Harness) StartHost(name, domain string) (*Host, error) {
	host := &Host{ID: tables.HostID(name), Domain: domain, h: h, processes: make(map[string]process)}
	if err := host.start(); err != nil {
		host.Kill()
		return nil, fmt.Errorf("host %q: %w", name, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts[name] = host
	return host, nil
}

func (n *Host) start() error {
	if err := n.startDispatcher(); err != nil {
		return err
	}
	gate, err := node.StartGate(settings.Gate{Common: n.common(), CallerAddress: n.h.loopback, DispatcherAddress: n.peers.Addr().String()}, n.env(PartGate))
	if err != nil {
		return err
	}
	n.gate = gate
	n.processes[PartGate] = gate
	controller, err := node.StartController(settings.Controller{
		Common: n.common(), OperatorAddress: n.h.loopback, PeerAddress: n.h.loopback, BootstrapOperator: digestOf(OperatorKey),
		DispatcherAddress: n.peers.Addr().String(),
	}, n.env(PartController))
	if err != nil {
		return err
	}
	n.operators = controller.Address()
	n.processes[PartController] = controller
	return nil
}

// startDispatcher lists the host before its dispatcher runs, so that the list
// has its address.
func (n *Host) startDispatcher() error {
	l, err := net.Listen("tcp", n.h.loopback)
	if err != nil {
		return err
	}
	n.peers = endpoint.NewListener(l)
	n.h.network.listens(n.ID, l.Addr().String())
	n.h.List.PutHost(tables.Host{
		ID: n.ID, Domain: tables.DomainID(n.Domain), PeerAddress: l.Addr().String(), Listed: tables.HostLive,
	})
	d, err := node.StartDispatcherOn(n.peers, settings.Dispatcher{Common: n.common()}, n.env(PartDispatcher))
	if err != nil {
		return err
	}
	n.processes[PartDispatcher] = d
	return nil
}

func (n *Host) common() settings.Common {
	return settings.Common{
		Host: n.ID, FailureDomain: tables.DomainID(n.Domain),
		PeerKey: peerKey, MetricsAddress: n.h.loopback, LogRetention: n.h.opts.Log.Retention,
		StopBound: n.h.opts.StopBound, BalancerWait: n.h.opts.BalancerWait,
	}
}

func (n *Host) env(part string) node.Env {
	services := n.h.services
	client := n.h.network.client(n.ID)
	e := node.Env{
		Clock:    clockwork.NewRealClock(),
		Logger:   n.h.opts.Logger.With(zap.String("node", string(n.ID)), zap.String("program", part)),
		Tracer:   n.h.opts.Tracer,
		Log:      ports.NewLogClient(services[serviceLog].URL(), client),
		List:     ports.NewHostListClient(services[serviceList].URL(), client),
		Weights:  ports.NewWeightClient(services[serviceWeights].URL(), client),
		DialPeer: n.h.network.dial(n.ID),
		Close:    func(context.Context) error { return nil },
	}
	if part == PartController {
		e.Clock = frozenClock{e.Clock, &n.freezer}
		e.Log = frozenLog{e.Log, &n.freezer}
		e.WrapOrderEngine = func(inner target.Engine) target.Engine { return heldEngine{inner, &n.freezer} }
	}
	return e
}

// CallerAddress returns host:port of the callers' API.
func (n *Host) CallerAddress() string { return n.gate.Address() }

// OperatorAddress returns host:port of the operators' API.
func (n *Host) OperatorAddress() string { return n.operators }

// SilencePeers makes the open connections to the dispatcher silent for good.
func (n *Host) SilencePeers() { n.peers.SilenceConns() }

// Version returns the lowest configuration version of the host's processes.
func (n *Host) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	lowest := ^uint64(0)
	for _, p := range n.processes {
		lowest = min(lowest, p.Version())
	}
	return lowest
}

// Ready reports whether the gate can serve.
func (n *Host) Ready() bool { return n.gate.Ready() }

// Running reports whether a process runs.
func (n *Host) Running(part string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[part] != nil
}

// running returns the running processes.
func (n *Host) running() map[string]process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.processes)
}

func (n *Host) take(parts ...string) map[string]process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(parts) == 0 {
		parts = []string{PartGate, PartDispatcher, PartController}
	}
	taken := make(map[string]process)
	for _, part := range parts {
		if p := n.processes[part]; p != nil {
			taken[part] = p
			delete(n.processes, part)
		}
	}
	return taken
}

// Kill ends the named processes at once, or all of them.
func (n *Host) Kill(parts ...string) {
	if len(parts) == 0 || slices.Contains(parts, PartController) {
		n.freezer.end()
	}
	for _, p := range n.take(parts...) {
		p.Kill()
	}
}

// Stop ends all processes gracefully, as a planned stop does: the platform
// lists the host as leaving and each process gets its signal at once. The host
// leaves the list at the end.
func (n *Host) Stop(ctx context.Context) {
	n.h.List.MarkHost(n.ID, tables.HostLeaving)
	ctx, cancel := context.WithTimeout(ctx, n.h.opts.StopBound)
	defer cancel()
	var stopping sync.WaitGroup
	for _, p := range n.take() {
		stopping.Go(func() { p.Stop(ctx) })
	}
	stopping.Wait()
	n.h.List.MarkHost(n.ID, "")
}

// StopInOrder ends the named processes gracefully, each once the one before has
// ended, as a planned stop of a host with dependent units does.
func (n *Host) StopInOrder(ctx context.Context, parts ...string) {
	n.h.List.MarkHost(n.ID, tables.HostLeaving)
	ctx, cancel := context.WithTimeout(ctx, n.h.opts.StopBound)
	defer cancel()
	for _, part := range parts {
		for _, p := range n.take(part) {
			p.Stop(ctx)
		}
	}
	n.h.List.MarkHost(n.ID, "")
}

// Host returns the host of a name.
func (h *Harness) Host(name string) (*Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host := h.hosts[name]
	if host == nil {
		return nil, fmt.Errorf("host %q does not exist", name)
	}
	return host, nil
}

// Hosts returns all hosts in order of name.
func (h *Harness) Hosts() []*Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Host, 0, len(h.hosts))
	for _, name := range slices.Sorted(maps.Keys(h.hosts)) {
		out = append(out, h.hosts[name])
	}
	return out
}

// AwaitVersion waits until every running host has a version in force and can
// serve.
func (h *Harness) AwaitVersion(ctx context.Context, version uint64) error {
	start := time.Now()
	for _, host := range h.Hosts() {
		if !host.Running(PartGate) {
			continue
		}
		if !Await(ctx, func() bool { return host.Version() >= version && host.Ready() }) {
			return fmt.Errorf("host %q has version %d and ready=%t after %v, not version %d", host.ID, host.Version(), host.Ready(), time.Since(start).Round(time.Millisecond), version)
		}
	}
	return nil
}

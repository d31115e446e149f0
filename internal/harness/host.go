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

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Names of the processes of a host.
const (
	ProcessGate       = "gate"
	ProcessDispatcher = "dispatcher"
	ProcessController = "controller"
)

// peerKey is the peer key of all processes of a Harness.
const peerKey = "peer-key-of-the-harness"

// process is a running process of a host.
type process interface {
	Stop(ctx context.Context)
	Kill()
	Version() uint64
}

// Host is one host: a gate, a dispatcher and a controller.
type Host struct {
	ID      tables.HostID
	Domain  string
	harness *Harness

	mu              sync.Mutex
	processes       map[string]process
	gate            *node.Gate
	operatorAddress string
	peerListener    *endpoint.Listener
	// pauser pauses the controller and holds its orders; paused is set while the
	// controller is paused.
	pauser pauser
	paused bool
	// targets is the path to the targets.
	targets targetCut
}

// StartHost starts a host and lists it as live. The name must be new or belong to
// a host that was stopped or killed; StartHost does not check this. The host gets
// new addresses at each start.
func (h *Harness) StartHost(name, domain string) (*Host, error) {
	host := &Host{ID: tables.HostID(name), Domain: domain, harness: h, processes: make(map[string]process)}
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
	gate, err := node.StartGate(settings.Gate{Common: n.commonSettings(), CallerAddress: n.harness.loopback, DispatcherAddress: n.peerListener.Addr().String()}, n.nodeEnv(ProcessGate))
	if err != nil {
		return err
	}
	n.gate = gate
	n.processes[ProcessGate] = gate
	controller, err := node.StartController(settings.Controller{
		Common: n.commonSettings(), OperatorAddress: n.harness.loopback, PeerAddress: n.harness.loopback, BootstrapOperator: digestOf(OperatorKey),
		DispatcherAddress: n.peerListener.Addr().String(),
	}, n.nodeEnv(ProcessController))
	if err != nil {
		return err
	}
	n.operatorAddress = controller.Address()
	n.processes[ProcessController] = controller
	return nil
}

// startDispatcher starts the dispatcher. It first opens the peer listener and puts
// the host into the host list, so that the list has the peer address when the
// dispatcher starts.
func (n *Host) startDispatcher() error {
	l, err := net.Listen("tcp", n.harness.loopback)
	if err != nil {
		return err
	}
	n.peerListener = endpoint.NewListener(l)
	n.harness.network.addListener(n.ID, l.Addr().String())
	n.harness.List.PutHost(tables.Host{
		ID: n.ID, Domain: tables.DomainID(n.Domain), PeerAddress: l.Addr().String(), Listed: tables.HostLive,
	})
	d, err := node.StartDispatcherOn(n.peerListener, settings.Dispatcher{Common: n.commonSettings()}, n.nodeEnv(ProcessDispatcher))
	if err != nil {
		return err
	}
	n.processes[ProcessDispatcher] = d
	return nil
}

func (n *Host) commonSettings() settings.Common {
	return settings.Common{
		Host: n.ID, FailureDomain: tables.DomainID(n.Domain),
		PeerKey: peerKey, MetricsAddress: n.harness.loopback, LogRetention: n.harness.opts.Log.Retention,
		StopBound: n.harness.opts.StopBound, BalancerWait: n.harness.opts.BalancerWait,
	}
}

func (n *Host) nodeEnv(name string) node.Env {
	services := n.harness.platformServices
	client := n.harness.network.client(n.ID)
	e := node.Env{
		Clock:    clockwork.NewRealClock(),
		Logger:   n.harness.opts.Logger.With(zap.String("node", string(n.ID)), zap.String("program", name)),
		Tracer:   n.harness.opts.Tracer,
		Log:      ports.NewLogClient(services[serviceLog].URL(), client),
		List:     ports.NewHostListClient(services[serviceList].URL(), client),
		Weights:  ports.NewWeightClient(services[serviceWeights].URL(), client),
		DialPeer: n.harness.network.dial(n.ID),
		Close:    func(context.Context) error { return nil },
	}
	if name == ProcessDispatcher {
		e.WrapTargets = func(inner dispatcher.Targets) dispatcher.Targets { return cutTargets{inner, &n.targets} }
	}
	if name == ProcessController {
		e.Clock = pausableClock{e.Clock, &n.pauser}
		e.Log = pausableLog{e.Log, &n.pauser}
		e.WrapOrderEngine = func(inner target.Engine) target.Engine { return pausableEngine{inner, &n.pauser} }
	}
	return e
}

// CallerAddress returns the address, as host:port, of the API for callers.
func (n *Host) CallerAddress() string { return n.gate.Address() }

// OperatorAddress returns the address, as host:port, of the API for operators.
func (n *Host) OperatorAddress() string { return n.operatorAddress }

// SilencePeers makes the open connections to the dispatcher's peer listener stay
// open without delivering anything more. New connections work.
func (n *Host) SilencePeers() { n.peerListener.SilenceConns() }

// Suspend holds all traffic between the host's processes and other hosts and the
// platform for d, as if the processes did not run. Then everything that was held is
// delivered. Connections to callers and targets are not affected.
func (n *Host) Suspend(d time.Duration) {
	outgoing := n.harness.network.suspension(n.ID)
	n.peerListener.Suspension.Begin()
	outgoing.Begin()
	time.AfterFunc(d, func() {
		n.peerListener.Suspension.End()
		outgoing.End()
	})
}

// Version returns the lowest configuration version of the host's running
// processes, or the highest uint64 if none runs.
func (n *Host) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	lowest := ^uint64(0)
	for _, p := range n.processes {
		lowest = min(lowest, p.Version())
	}
	return lowest
}

// Ready reports whether the gate is ready to serve callers.
func (n *Host) Ready() bool { return n.gate.Ready() }

// Running reports whether the named process has been started and not stopped or
// killed.
func (n *Host) Running(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[name] != nil
}

// runningProcesses returns the running processes by name.
func (n *Host) runningProcesses() map[string]process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.processes)
}

// detachProcesses removes the named processes, or all if none is named, from the
// running ones and returns those that were running.
func (n *Host) detachProcesses(names ...string) map[string]process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(names) == 0 {
		names = []string{ProcessGate, ProcessDispatcher, ProcessController}
	}
	detached := make(map[string]process)
	for _, name := range names {
		if p := n.processes[name]; p != nil {
			detached[name] = p
			delete(n.processes, name)
		}
	}
	return detached
}

// Kill ends the named processes, or all if none is named, without a graceful
// shutdown.
func (n *Host) Kill(names ...string) {
	if len(names) == 0 || slices.Contains(names, ProcessController) {
		n.pauser.kill()
	}
	for _, p := range n.detachProcesses(names...) {
		p.Kill()
	}
}

// Stop shuts down all processes gracefully and at the same time, as in planned
// maintenance. The host is listed as leaving during the shutdown and removed from
// the list at the end.
func (n *Host) Stop(ctx context.Context) {
	n.harness.List.MarkHost(n.ID, tables.HostLeaving)
	ctx, cancel := context.WithTimeout(ctx, n.harness.opts.StopBound)
	defer cancel()
	var stopping sync.WaitGroup
	for _, p := range n.detachProcesses() {
		stopping.Go(func() { p.Stop(ctx) })
	}
	stopping.Wait()
	n.harness.List.MarkHost(n.ID, "")
}

// StopInOrder shuts down the named processes gracefully, each after the previous
// one has ended, as for a host whose service units depend on each other. The host is
// listed as leaving during the shutdown and removed from the list at the end.
func (n *Host) StopInOrder(ctx context.Context, names ...string) {
	n.harness.List.MarkHost(n.ID, tables.HostLeaving)
	ctx, cancel := context.WithTimeout(ctx, n.harness.opts.StopBound)
	defer cancel()
	for _, name := range names {
		for _, p := range n.detachProcesses(name) {
			p.Stop(ctx)
		}
	}
	n.harness.List.MarkHost(n.ID, "")
}

// Host returns the host with the given name.
func (h *Harness) Host(name string) (*Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host := h.hosts[name]
	if host == nil {
		return nil, fmt.Errorf("host %q does not exist", name)
	}
	return host, nil
}

// Hosts returns all hosts, also stopped and killed ones, sorted by name.
func (h *Harness) Hosts() []*Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Host, 0, len(h.hosts))
	for _, name := range slices.Sorted(maps.Keys(h.hosts)) {
		out = append(out, h.hosts[name])
	}
	return out
}

// AwaitVersion waits until every host with a running gate is ready and has the
// given configuration version, or a higher one, in force. It returns an error if
// ctx ends first.
func (h *Harness) AwaitVersion(ctx context.Context, version uint64) error {
	start := time.Now()
	for _, host := range h.Hosts() {
		if !host.Running(ProcessGate) {
			continue
		}
		if !Await(ctx, func() bool { return host.Version() >= version && host.Ready() }) {
			return fmt.Errorf("host %q has version %d and ready=%t after %v, not version %d", host.ID, host.Version(), host.Ready(), time.Since(start).Round(time.Millisecond), version)
		}
	}
	return nil
}

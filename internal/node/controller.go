package node

import (
	"context"
	"net"
	"net/http"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/operators"
	"github.com/bluebellseam/bluebellseam/internal/orders"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Controller is a running controller process.
type Controller struct {
	proc    *process
	clients *clients
	// stopOrders stops the orders controller and waits until it has released its
	// leases.
	stopOrders func()
	server     *http.Server
	address    string
	controller *orders.Controller
}

// StartController starts a controller. Errors come from the listeners or the
// construction of the operators' API server.
func StartController(s settings.Controller, env Env) (*Controller, error) {
	n := &Controller{clients: newClients()}
	n.proc = newProcess(roleController, s.Common, env, roleOptions{
		self:     tables.Host{ID: s.Host, Domain: s.FailureDomain},
		observer: true, dispatcherAddress: s.DispatcherAddress,
	})
	n.proc.registerCommonMethods()
	if err := n.listen(s); err != nil {
		n.proc.kill()
		return nil, err
	}
	n.proc.start()
	n.startOrders(s)
	event.ProcessStarted.Log(env.Logger, zap.String("operators", n.address))
	return n, nil
}

// startOrders runs the orders controller until stopOrders is called or the
// process ends.
func (n *Controller) startOrders(s settings.Controller) {
	ctx, cancel := context.WithCancel(n.proc.ctx)
	done := make(chan struct{})
	n.stopOrders = func() {
		cancel()
		<-done
	}
	n.controller = n.newOrdersController(s)
	n.proc.spawn(func() {
		defer close(done)
		_ = n.controller.Run(ctx)
	})
}

// newOrdersController returns the orders controller. It holds leases and makes the
// engines load and unload models according to the placement.
func (n *Controller) newOrdersController(s settings.Controller) *orders.Controller {
	p := n.proc
	return orders.New(orders.Options{
		Self: tables.Host{ID: s.Host, Domain: s.FailureDomain},
		Log:  p.Log, Clock: p.Clock, Logger: p.Logger, Config: p.document, LiveHosts: p.members.Live,
		Engine:      func(_ tables.TargetID, address string) target.Engine { return n.engine(address) },
		WeightStore: p.Weights, MeasureDemand: n.fetchDemand,
	})
}

// fetchDemand returns the demand measured by the dispatcher of a host.
func (n *Controller) fetchDemand(ctx context.Context, h tables.Host) (demand.Rates, error) {
	var resp peer.Demand
	err := n.proc.pool.Call(ctx, h.PeerAddress, peer.MethodDemand, peer.DemandRequest{}, &resp)
	return resp.Rates, err
}

// engine returns the client for orders to the engine at address, wrapped by
// Env.WrapOrderEngine if that is set.
func (n *Controller) engine(address string) target.Engine {
	client := n.clients.Engine(address)
	if wrap := n.proc.WrapOrderEngine; wrap != nil {
		return wrap(client)
	}
	return client
}

// Leases returns the sorted names of the leases that the controller holds.
func (n *Controller) Leases() []string { return n.controller.HeldLeases() }

func (n *Controller) listen(s settings.Controller) error {
	l, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return err
	}
	n.proc.servePeers(l)
	q := n.proc.newQuarantine()
	n.proc.spawn(func() { _ = q.Run(n.proc.ctx) })
	handler := &operators.Handler{
		Host: s.Host, Configuration: n.proc.follower, Clock: n.proc.Clock,
		Members: n.proc.members, Peers: n.proc.pool, Quarantine: q,
	}
	server, err := operators.NewServer(handler, operators.NewKeys(n.proc.follower, s.BootstrapOperator), n.proc.Tracer)
	if err != nil {
		return err
	}
	if n.address, n.server, err = n.proc.serveHTTP(s.OperatorAddress, server); err != nil {
		return err
	}
	return n.proc.serveMetrics()
}

// Address returns the host:port of the operators' API.
func (n *Controller) Address() string { return n.address }

// Version returns the configuration version in force.
func (n *Controller) Version() uint64 { return uint64(n.proc.follower.Current().Version) }

// Stop shuts the controller down gracefully: it stops the orders controller and
// waits for open requests of operators until ctx ends.
func (n *Controller) Stop(ctx context.Context) {
	n.proc.beginShutdown()
	n.stopOrders()
	if err := n.server.Shutdown(ctx); err != nil {
		event.StopTimeoutExpired.Log(n.proc.Logger)
	}
	n.Kill()
	event.ProcessStopped.Log(n.proc.Logger)
}

// Kill ends the controller immediately, without a graceful shutdown.
func (n *Controller) Kill() {
	n.proc.kill()
	n.clients.close()
}

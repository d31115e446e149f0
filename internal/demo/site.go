// Package demo runs a whole small site in one process: stand-ins for the
// platform and the targets, and the processes of several hosts on loopback.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/platform"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/standin/weightstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Keys of the demo site.
const (
	peerKey     = "demo-peer-key-0123456789"
	operatorKey = "demo-operator-key"
	loopback    = "127.0.0.1:0"
)

// site is a running site.
type site struct {
	log         *logstore.Store
	hosts       *hostlist.List
	engines     []*engine.Engine
	desk        *plain.Service
	deskAddress string
	addresses   []string
	gates       []*node.Gate
	dispatchers []*node.Dispatcher
	controller  *node.Controller
}

// startSite starts hosts entry hosts and engines model engines.
func startSite(hosts, engines int, tracer trace.TracerProvider) (*site, error) {
	clock := clockwork.NewRealClock()
	s := &site{
		log:   logstore.New(clock, logstore.Options{}),
		hosts: hostlist.New(clock, 0),
	}
	if err := s.startTargets(clock, engines); err != nil {
		return nil, err
	}
	env := node.Env{
		Clock: clock, Logger: zap.NewNop(), Tracer: tracer, Log: s.log, List: s.hosts,
		Weights: weightstore.New(clock, weightstore.Options{}),
		Close:   func(context.Context) error { return nil },
	}
	return s, s.startHosts(hosts, env)
}

func (s *site) startTargets(clock clockwork.Clock, engines int) error {
	targets := make(map[tables.TargetID]tables.HostState)
	for i := range engines {
		id := tables.TargetID(fmt.Sprintf("engine-%d", i+1))
		e := engine.New(engine.Options{ID: id, Clock: clock, Step: time.Duration(5+5*i) * time.Millisecond})
		address, err := e.Listen(loopback)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		s.addresses = append(s.addresses, address)
		targets[id] = tables.HostLive
	}
	s.desk = plain.New(plain.Options{ID: "desk-1", Clock: clock, Delay: 5 * time.Millisecond})
	address, err := s.desk.Listen(loopback)
	if err != nil {
		return err
	}
	s.deskAddress = address
	targets["desk-1"] = tables.HostLive
	s.hosts.SetTargets(targets)
	return nil
}

func (s *site) startHosts(hosts int, env node.Env) error {
	var listeners []net.Listener
	for i := range hosts {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		s.hosts.PutHost(tables.Host{ID: hostID(i), Domain: domain(i), PeerAddress: l.Addr().String(), Listed: tables.HostLive})
	}
	for i, l := range listeners {
		if err := s.startHost(common(i), l, env); err != nil {
			return err
		}
	}
	c, err := node.StartController(settings.Controller{
		Common: common(0), OperatorAddress: loopback, PeerAddress: loopback, BootstrapOperator: digest(operatorKey),
	}, env)
	s.controller = c
	return err
}

func (s *site) startHost(c settings.Common, l net.Listener, env node.Env) error {
	d, err := node.StartDispatcherOn(l, settings.Dispatcher{Common: c}, env)
	if err != nil {
		return err
	}
	s.dispatchers = append(s.dispatchers, d)
	g, err := node.StartGate(settings.Gate{Common: c, CallerAddress: loopback}, env)
	if err != nil {
		return err
	}
	s.gates = append(s.gates, g)
	return nil
}

func (s *site) stop() {
	for _, g := range s.gates {
		g.Kill()
	}
	for _, d := range s.dispatchers {
		d.Kill()
	}
	if s.controller != nil {
		s.controller.Kill()
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.desk.Close()
}

func hostID(i int) tables.HostID { return tables.HostID(fmt.Sprintf("host-%d", i+1)) }

func domain(i int) tables.DomainID { return tables.DomainID(fmt.Sprintf("domain-%d", i%2+1)) }

func common(i int) settings.Common {
	return settings.Common{
		Host: hostID(i), FailureDomain: domain(i), PeerKey: peerKey, MetricsAddress: loopback,
		StopBound: time.Minute,
	}
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var _ platform.Log = (*logstore.Store)(nil)

// Package harness runs bluebellseam hosts and stand-ins for the platform and the
// targets in one process over loopback. It sends requests as callers do and audits
// the outcomes against the records of the stand-ins.
package harness

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/standin/weightstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// harnessCount is the number of harnesses that this process has created.
var harnessCount atomic.Uint32

// addressesPerByte is the number of host addresses that one byte of an IPv4
// address can name.
const addressesPerByte = 254

// uniqueLoopback returns a loopback address with port 0. The address depends on the
// process ID and harnessCount, so that two harnesses are unlikely to share an
// address. On a shared address, another listener could take the port of a target
// that is down and respond in its place.
func uniqueLoopback() string {
	n := harnessCount.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%addressesPerByte, n/addressesPerByte%addressesPerByte, 1+n%addressesPerByte)
}

// Options are the options of a Harness.
type Options struct {
	// Logger receives the hosts' events; nil discards them.
	Logger *zap.Logger
	// Tracer receives the hosts' spans; nil discards them.
	Tracer trace.TracerProvider
	// ListLag is how long the host list takes to show a change.
	ListLag time.Duration
	// Log holds the options of the log service.
	Log logstore.Options
	// BalancerWait is the time between the end of readiness and the closing of
	// listeners in a graceful shutdown.
	BalancerWait time.Duration
	// StopBound is the timeout of a graceful shutdown.
	StopBound time.Duration
}

// Harness is one test installation with its platform, targets, hosts and callers.
type Harness struct {
	opts Options
	// loopback is the address, with port 0, on which every listener is opened.
	loopback string
	// Log, List and Weights are the stand-ins for the platform's services: the log,
	// the host list and the weight store.
	Log     *logstore.Store
	List    *hostlist.List
	Weights *weightstore.Store

	platformServices map[string]*endpoint.Endpoint
	network          *network
	versionMonitor   *versionMonitor
	// closed is closed by Close and stops monitorVersions.
	closed       chan struct{}
	callerClient *http.Client

	mu      sync.Mutex
	targets map[string]*Target
	hosts   map[string]*Host
	calls   []*Call
}

// Target is a stand-in for a target. Exactly one of Engine and Plain is set.
type Target struct {
	ID      tables.TargetID
	Address string
	Domain  string
	Engine  *engine.Engine
	Plain   *plain.Service
	// ChecksFencing and Generation are written to the standard configuration.
	ChecksFencing bool
	Generation    config.Generation
}

// New starts the stand-ins for the platform's services.
func New(o Options) (*Harness, error) {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider()
	}
	clock := clockwork.NewRealClock()
	h := &Harness{
		opts:             o,
		loopback:         uniqueLoopback(),
		Log:              logstore.New(clock, o.Log),
		List:             hostlist.New(clock, o.ListLag),
		Weights:          weightstore.New(clock, weightstore.Options{}),
		platformServices: make(map[string]*endpoint.Endpoint),
		network:          newNetwork(),
		versionMonitor:   &versionMonitor{highest: make(map[process]uint64)},
		closed:           make(chan struct{}),
		callerClient:     newCallerClient(),
		targets:          make(map[string]*Target),
		hosts:            make(map[string]*Host),
	}
	handlers := map[string]http.Handler{
		serviceLog: h.Log.Handler(), serviceList: h.List.Handler(), serviceWeights: h.Weights.Handler(),
	}
	for name, handler := range handlers {
		e, err := endpoint.Listen(h.loopback, handler)
		if err != nil {
			h.Close()
			return nil, err
		}
		h.platformServices[name] = e
	}
	go h.monitorVersions()
	return h, nil
}

// Names of the platform's services.
const (
	serviceLog     = "log"
	serviceList    = "list"
	serviceWeights = "weights"
)

// SilenceLog makes the open connections to the log service stay open without
// delivering anything more. New connections work.
func (h *Harness) SilenceLog() { h.platformServices[serviceLog].SilenceConns() }

// SetRetention sets the retention of the log, and the log retention setting of
// hosts that start later.
func (h *Harness) SetRetention(d time.Duration) {
	h.opts.Log.Retention = d
	h.Log.SetRetention(d)
}

// AddEngine starts a model engine and lists it as live.
func (h *Harness) AddEngine(name, domain string, o engine.Options) (*Target, error) {
	o.ID = tables.TargetID(name)
	e := engine.New(o)
	address, err := e.Listen(h.loopback)
	if err != nil {
		return nil, err
	}
	t := &Target{
		ID: o.ID, Address: address, Domain: domain, Engine: e,
		ChecksFencing: o.ChecksFencing, Generation: generationOf(e.Options()),
	}
	return t, h.addTarget(name, t)
}

// generationOf returns the speeds of an engine as a generation entry of the
// configuration.
func generationOf(o engine.Options) config.Generation {
	return config.Generation{
		PrefillTokensPerSecond: o.PrefillTokensPerSecond,
		StepMillis:             milliseconds(o.Step),
		StepMillisPerSequence:  milliseconds(o.StepPerSequence),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// AddPlain starts a plain service and lists it as live.
func (h *Harness) AddPlain(name, domain string, o plain.Options) (*Target, error) {
	o.ID = tables.TargetID(name)
	s := plain.New(o)
	address, err := s.Listen(h.loopback)
	if err != nil {
		return nil, err
	}
	t := &Target{ID: o.ID, Address: address, Domain: domain, Plain: s}
	return t, h.addTarget(name, t)
}

func (h *Harness) addTarget(name string, t *Target) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets[name] != nil {
		t.close()
		return fmt.Errorf("target %q exists already", name)
	}
	h.targets[name] = t
	h.List.MarkTarget(t.ID, tables.HostLive)
	return nil
}

func (t *Target) close() {
	if t.Engine != nil {
		t.Engine.Close()
	} else {
		t.Plain.Close()
	}
}

// Target returns the target with the given name.
func (h *Harness) Target(name string) (*Target, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[name]
	if t == nil {
		return nil, fmt.Errorf("target %q does not exist", name)
	}
	return t, nil
}

// Targets returns all targets.
func (h *Harness) Targets() []*Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Target, 0, len(h.targets))
	for _, t := range h.targets {
		out = append(out, t)
	}
	return out
}

// Close kills all hosts and stops all stand-ins.
func (h *Harness) Close() {
	close(h.closed)
	for _, host := range h.Hosts() {
		host.Kill()
	}
	for _, t := range h.Targets() {
		t.close()
	}
	for _, e := range h.platformServices {
		e.Close()
	}
	h.callerClient.CloseIdleConnections()
}

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 5 * time.Millisecond

// Await polls a condition until it holds, and then returns true. If ctx ends first,
// Await evaluates the condition once more and returns the result.
func Await(ctx context.Context, holds func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return holds()
		}
	}
	return true
}

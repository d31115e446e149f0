// Package harness runs hosts of bluebellseam and the stand-ins around them in
// one process over loopback, sends requests as callers do, and audits the
// outcomes against the stand-ins' own records. Scenarios and the soak use it.
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

// harnesses counts the harnesses of this process.
var harnesses atomic.Uint32

// addressesPerByte is the number of host addresses that one byte of an IPv4
// address can name.
const addressesPerByte = 254

// ownLoopback returns a loopback address, with a free port, that no other
// harness uses: the port of a target that is down must not be taken by somebody
// else, who would answer in its place.
func ownLoopback() string {
	n := harnesses.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%addressesPerByte, n/addressesPerByte%addressesPerByte, 1+n%addressesPerByte)
}

// Options set up a Harness.
type Options struct {
	// Logger gets the hosts' events; nil drops them.
	Logger *zap.Logger
	// Tracer gets the hosts' spans; nil drops them.
	Tracer trace.TracerProvider
	// ListLag is the lag of the host list.
	ListLag time.Duration
	// Log are the limits of the log service.
	Log logstore.Options
	// BalancerWait is the time between readiness off and the closing of
	// listeners in a graceful shutdown.
	BalancerWait time.Duration
	// StopBound is the longest graceful shutdown.
	StopBound time.Duration
}

// Harness is one installation: platform, targets, hosts and callers.
type Harness struct {
	opts Options
	// loopback is the address of every listener, with port 0.
	loopback string
	// Log, Hosts and Weights are the platform's stand-ins.
	Log     *logstore.Store
	List    *hostlist.List
	Weights *weightstore.Store

	services map[string]*endpoint.Endpoint
	network  *network
	versions *versionWatch
	// closed ends the watch of the versions.
	closed  chan struct{}
	callers *http.Client

	mu      sync.Mutex
	targets map[string]*Target
	hosts   map[string]*Host
	calls   []*Call
}

// Target is a stand-in of a target with its place. One of Engine and Plain is
// set.
type Target struct {
	ID      tables.TargetID
	Address string
	Domain  string
	Engine  *engine.Engine
	Plain   *plain.Service
	// ChecksFencing and Generation go into the configuration.
	ChecksFencing bool
	Generation    config.Generation
}

// New starts the platform's stand-ins.
func New(o Options) (*Harness, error) {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider()
	}
	clock := clockwork.NewRealClock()
	h := &Harness{
		opts:     o,
		loopback: ownLoopback(),
		Log:      logstore.New(clock, o.Log),
		List:     hostlist.New(clock, o.ListLag),
		Weights:  weightstore.New(clock, weightstore.Options{}),
		services: make(map[string]*endpoint.Endpoint),
		network:  newNetwork(),
		versions: &versionWatch{highest: make(map[process]uint64)},
		closed:   make(chan struct{}),
		callers:  newCallerClient(),
		targets:  make(map[string]*Target),
		hosts:    make(map[string]*Host),
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
		h.services[name] = e
	}
	go h.watchVersions()
	return h, nil
}

// Names of the platform's services.
const (
	serviceLog     = "log"
	serviceList    = "list"
	serviceWeights = "weights"
)

// SilenceLog makes the open connections to the log service silent for good.
func (h *Harness) SilenceLog() { h.services[serviceLog].SilenceConns() }

// SetRetention sets how long the log keeps records, also in the settings of
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

// generationOf describes the speed of an engine as an operator would.
func generationOf(o engine.Options) config.Generation {
	return config.Generation{
		PrefillTokensPerSecond: o.PrefillTokensPerSecond,
		StepMillis:             millis(o.Step),
		StepMillisPerSequence:  millis(o.StepPerSequence),
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

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

// Target returns the target of a name.
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

// Close ends everything.
func (h *Harness) Close() {
	close(h.closed)
	for _, host := range h.Hosts() {
		host.Kill()
	}
	for _, t := range h.Targets() {
		t.close()
	}
	for _, e := range h.services {
		e.Close()
	}
	h.callers.CloseIdleConnections()
}

// pollPeriod is the time between two looks at a condition.
const pollPeriod = 5 * time.Millisecond

// Await looks at a condition until it holds. It returns false when ctx ends
// first.
func Await(ctx context.Context, holds func() bool) bool {
	ticker := time.NewTicker(pollPeriod)
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

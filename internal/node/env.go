// Package node assembles the servers of one host: gate, dispatcher and controller.
// In production each of them is a separate process. Tests and the demo start
// several in one process.
package node

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Env contains the external dependencies of a process.
type Env struct {
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Tracer  trace.TracerProvider
	Log     ports.Log
	List    ports.HostList
	Weights ports.WeightStore
	// DialPeer opens connections to peers; nil means TCP.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// WrapOrderEngine wraps the client of an engine for the controller's orders. If
	// it is nil, the controller uses the client itself.
	WrapOrderEngine func(target.Engine) target.Engine
	// WrapTargets wraps the targets that the dispatcher calls. If it is nil, the dispatcher
	// calls them itself.
	WrapTargets func(dispatcher.Targets) dispatcher.Targets
	// Close flushes buffered trace spans. Main calls it last.
	Close func(context.Context) error
}

// Connect returns the environment described by the settings, with clients of the
// platform's services.
func Connect(program string, s settings.Common) (Env, error) {
	logger := observe.NewLogger(os.Stderr, s.LogLevel)
	tracer, closeTracer, err := observe.NewTracer(s.TraceFile, program, s.Host)
	if err != nil {
		return Env{}, err
	}
	client := httpcall.NewClient()
	return Env{
		Clock:   clockwork.NewRealClock(),
		Logger:  logger.With(zap.String("node", string(s.Host)), zap.String("program", program)),
		Tracer:  tracer,
		Log:     ports.NewLogClient(s.LogURL, client),
		List:    ports.NewHostListClient(s.HostListURL, client),
		Weights: ports.NewWeightClient(s.WeightStoreURL, client),
		Close:   closeTracer,
	}, nil
}

// clients caches one client for each address of a model engine, and one for each
// address and service of a plain service. It is safe for concurrent use.
type clients struct {
	mu            sync.Mutex
	engines       map[string]*target.EngineClient
	plainServices map[string]*target.PlainClient
}

func newClients() *clients {
	return &clients{
		engines:       make(map[string]*target.EngineClient),
		plainServices: make(map[string]*target.PlainClient),
	}
}

// Engine returns the client of the model engine at address.
func (c *clients) Engine(address string) target.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[address]
	if !ok {
		e = target.NewEngineClient(address)
		c.engines[address] = e
	}
	return e
}

// Plain returns the client of the plain service at address.
func (c *clients) Plain(address string, service tables.ServiceID) target.PlainService {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := address + "/" + string(service)
	p, ok := c.plainServices[key]
	if !ok {
		p = target.NewPlainClient(address, service)
		c.plainServices[key] = p
	}
	return p
}

// close closes the connections of every client.
func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		e.Close()
	}
	for _, p := range c.plainServices {
		p.Close()
	}
}

// targets returns the targets that the dispatcher calls.
func (e Env) targets(inner dispatcher.Targets) dispatcher.Targets {
	if e.WrapTargets == nil {
		return inner
	}
	return e.WrapTargets(inner)
}

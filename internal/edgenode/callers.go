package edgenode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/connlimit"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/membudget"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/platform"
)

const (
	// budgetDivisor is the part of the memory that requests may take. Garbage may double
	// it, and connections and the rest of the process take the remainder.
	budgetDivisor = 8
	// bytesPerConn is the memory that one connection of a caller may take beside its
	// request; with goroutines and garbage it takes about a third of that.
	bytesPerConn = 72 << 10
	// fileReserve is the number of descriptors left for files, maxMetricsConns the bound for
	// the port for metrics.
	fileReserve     = 200
	maxMetricsConns = 16
	// maxReadyConns and maxRelayConns bound the connections on the ports for readiness checks
	// and for requests of other hosts, and so do these parts of the descriptors.
	maxReadyConns = 384
	readyFDsPart  = 8
	maxRelayConns = 256
	relayFDsPart  = 12
	// callerFDsShare is the part of the other descriptors that callers get. The rest is for
	// targets, other hosts and the store.
	callerFDsShare = 0.75
	// smallPortHeader and smallPortIdle bound the header and the idle time of a connection on the ports
	// for readiness checks and metrics, and smallPortWrite the time for an answer.
	smallPortHeader = time.Second
	smallPortIdle   = 15 * time.Second
	smallPortWrite  = 2 * time.Second
	// readySafeAge is how long a connection on the port for readiness checks is safe from
	// eviction. With 358 connections, 2,000 others ahead of a check hold it up for 0.6 s.
	readySafeAge = 100 * time.Millisecond
	// smallPortBody is how long the body of a request there is read after the answer: a
	// connection closed at once could lose it.
	smallPortBody = 200 * time.Millisecond
	// relayHeader and relayIdle are those of the port for requests of other hosts.
	relayHeader = 5 * time.Second
	relayIdle   = 2 * time.Minute
	// smallPortHeaderBytes bounds the header on the ports for readiness checks and metrics.
	smallPortHeaderBytes = 4 << 10
	// heldOffInterval is the time between two log lines about callers that were held off.
	heldOffInterval = time.Second
)

// callerBounds are the bounds for callers; zero means none.
type callerBounds struct {
	bytes int64
	// conns bounds the connections on the port for callers. The others bound those on the
	// other ports.
	conns, ready, metrics, relay int
}

// callerBoundsOf derives the bounds from the limits of the settings.
func callerBoundsOf(s platform.Settings) callerBounds {
	memory, fds := int64(s.Limits.MemoryMB)<<20, s.Limits.MaxFDs
	if memory <= 0 && fds <= 0 {
		return callerBounds{}
	}
	b := callerBounds{bytes: max(memory, 0) / budgetDivisor, ready: maxReadyConns, metrics: maxMetricsConns, relay: maxRelayConns}
	if memory > 0 {
		b.conns = int(memory / bytesPerConn)
	}
	if fds > 0 {
		b.ready, b.relay = min(b.ready, max(fds/readyFDsPart, 1)), min(b.relay, max(fds/relayFDsPart, 1))
		free := max(fds-fileReserve-b.ready-b.metrics-b.relay, 1)
		byFDs := max(int(callerFDsShare*float64(free)), 1)
		if b.conns == 0 || byFDs < b.conns {
			b.conns = byFDs
		}
	}
	return b
}

// callers holds off callers that misbehave.
type callers struct {
	process *Process
	bounds  callerBounds
	budget  *membudget.Budget
	metrics *observe.CallerMetrics

	mu sync.Mutex
	// heldOff counts what was done since the last log line, by reason.
	heldOff map[string]int
}

func newCallers(p *Process) *callers {
	c := &callers{process: p, bounds: callerBoundsOf(p.settings), heldOff: make(map[string]int)}
	c.budget = membudget.New(p.clock, c.bounds.bytes)
	c.metrics = observe.NewCallerMetrics(p.metrics,
		func() float64 { return float64(c.budget.Used()) },
		func() float64 { return float64(p.limiter.Open()) })
	return c
}

// Ports, as the metrics name them.
const (
	portFront   = "front"
	portReady   = "ready"
	portMetrics = "metrics"
	portRelay   = "relay"
)

// limit bounds the connections of a server.
func (c *callers) limit(s *http.Server, port string, maxConns int, timeouts func() connlimit.Timeouts) *connlimit.Limiter {
	l := connlimit.New(c.process.clock, timeouts)
	l.MaxConns = maxConns
	l.OnEvict = func() {
		c.metrics.Evicted(port)
		c.count("evicted_" + port)
	}
	if port != portRelay {
		// Without a bound of bytes nothing is counted.
		l.Budget, l.Refuse = c.budget, platform.RefuseHeader()
		l.OnRefuse = func() { c.refused("header") }
	}
	l.Attach(s)
	return l
}

// portLimiters are the limiters of the servers of other ports; empty without bounds.
type portLimiters map[*http.Server]*connlimit.Limiter

// listener returns the listener from which a server must be served.
func (l portLimiters) listener(s *http.Server, inner net.Listener) net.Listener {
	if limiter, ok := l[s]; ok {
		return limiter.Listener(inner)
	}
	return inner
}

// otherPorts bounds the ports that are not for callers.
func (c *callers) otherPorts(ready, metrics, relays *http.Server) portLimiters {
	if c.bounds == (callerBounds{}) {
		return nil
	}
	for _, s := range []*http.Server{ready, metrics} {
		s.MaxHeaderBytes = smallPortHeaderBytes
		s.WriteTimeout = smallPortWrite
		s.Handler = withoutBody(s.Handler)
	}
	small := func() connlimit.Timeouts {
		return connlimit.Timeouts{Header: smallPortHeader, Idle: smallPortIdle}
	}
	relay := func() connlimit.Timeouts { return connlimit.Timeouts{Header: relayHeader, Idle: relayIdle} }
	readyLimiter := c.limit(ready, portReady, c.bounds.ready, small)
	readyLimiter.SafeAge = readySafeAge
	return portLimiters{
		ready:   readyLimiter,
		metrics: c.limit(metrics, portMetrics, c.bounds.metrics, small),
		relays:  c.limit(relays, portRelay, c.bounds.relay, relay),
	}
}

// withoutBody answers requests that have a body before it has come, and ends their connection.
// http.Server would read up to 256 KB of it first.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			w.Header().Set("Connection", "close")
			// Errors show with the answer.
			_ = controller.EnableFullDuplex()
			_ = controller.SetReadDeadline(time.Now().Add(smallPortBody))
		}
		next.ServeHTTP(w, r)
	})
}

// refusedRequest counts a request of which the body was not read as a whole.
func (c *callers) refusedRequest(err error) {
	switch errkind.Of(err) {
	case errkind.HostFull:
		c.refused("body")
	case errkind.BodyTimeout:
		c.refused("slow_body")
	}
}

func (c *callers) refused(reason string) {
	c.metrics.Refused(reason)
	c.count(reason)
}

func (c *callers) count(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldOff[reason]++
}

// run logs the bounds, and once a second what was done to callers, until ctx ends.
func (c *callers) run(ctx context.Context) {
	event.CallerBounds.Log(c.process.logger, zap.Int64("bytes", c.bounds.bytes), zap.Int("connections", c.bounds.conns), zap.Int("ready_connections", c.bounds.ready))
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.process.clock.After(heldOffInterval):
		}
		c.logHeldOff()
	}
}

func (c *callers) logHeldOff() {
	c.mu.Lock()
	counts := c.heldOff
	c.heldOff = make(map[string]int)
	c.mu.Unlock()
	if len(counts) > 0 {
		event.CallersHeldOff.Log(c.process.logger, zap.Any("counts", counts), zap.Int64("bytes", c.budget.Used()), zap.Int("connections", c.process.limiter.Open()))
	}
}

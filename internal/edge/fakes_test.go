package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/observe"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// testLimit bounds how long a test waits for something that happens at once.
	testLimit = 5 * time.Second
	// testPause is how long a test waits for something that must not happen.
	testPause = 200 * time.Millisecond
	// testSlots is the number of slots of each target.
	testSlots = 4
)

// fixedDirectory is a directory whose content does not change.
type fixedDirectory struct {
	config  *fleet.Config
	targets []fleet.Target
}

func (d *fixedDirectory) Config() *fleet.Config    { return d.config }
func (d *fixedDirectory) Targets() []fleet.Target  { return append([]fleet.Target(nil), d.targets...) }
func (d *fixedDirectory) MarkLeaving(fleet.Target) {}

func (d *fixedDirectory) Target(id tables.TargetID) (fleet.Target, bool) {
	for _, t := range d.targets {
		if t.ID == id {
			return t, true
		}
	}
	return fleet.Target{}, false
}

// recordedSlots records the slot requests that it passes on.
type recordedSlots struct {
	inner *pool.Client
	// asking gets a value for each request while it has room.
	asking chan struct{}
	// onAsk is called before each request; nil for nothing.
	onAsk func()
	// refuse returns the error of the n-th request, counted from one; nil, also as its result, passes
	// the request on.
	refuse func(n int) error
	mu     sync.Mutex
	asked  []pool.SlotRequest
}

func (s *recordedSlots) Acquire(ctx context.Context, r pool.SlotRequest) (*pool.Grant, error) {
	s.mu.Lock()
	s.asked = append(s.asked, r)
	count := len(s.asked)
	s.mu.Unlock()
	select {
	case s.asking <- struct{}{}:
	default:
	}
	if s.onAsk != nil {
		s.onAsk()
	}
	if s.refuse != nil {
		if err := s.refuse(count); err != nil {
			return nil, err
		}
	}
	return s.inner.Acquire(ctx, r)
}

func (s *recordedSlots) ReportNeeds(t fleet.Target, n pool.Needs, sentAt time.Time) {
	s.inner.ReportNeeds(t, n, sentAt)
}

func (s *recordedSlots) requests() []pool.SlotRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]pool.SlotRequest(nil), s.asked...)
}

// scriptedTransport answers each call with the next step of its script, and all further
// calls with the last one.
type scriptedTransport struct {
	mu     sync.Mutex
	steps  []step
	called chan tables.TargetID
	silent chan struct{}
}

// step is what a scripted target does with a call. It tells silent that it falls silent.
type step func(ctx context.Context, silent chan<- struct{}) (*Response, error)

func (s *scriptedTransport) Send(ctx context.Context, t fleet.Target, _ Call) (*Response, error) {
	s.mu.Lock()
	next := s.steps[0]
	if len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
	s.mu.Unlock()
	s.called <- t.ID
	return next(ctx, s.silent)
}

// silentBody reads from a reader and then blocks until the call ends.
type silentBody struct {
	ctx    context.Context
	start  io.Reader
	silent chan<- struct{}
}

func (b *silentBody) Read(p []byte) (int, error) {
	if n, err := b.start.Read(p); err == nil {
		return n, nil
	}
	b.silent <- struct{}{}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (b *silentBody) Close() error { return nil }

// silentAfter is a target that falls silent for good after start.
func silentAfter(start string) step {
	return func(ctx context.Context, silent chan<- struct{}) (*Response, error) {
		body := &silentBody{ctx, bytes.NewBufferString(start), silent}
		return &Response{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, Body: body}, nil
	}
}

// answers is a target that sends a whole answer.
func answers(status int, body string) step {
	return func(context.Context, chan<- struct{}) (*Response, error) {
		return &Response{Status: status, Header: http.Header{}, Signed: true, Length: int64(len(body)), Body: io.NopCloser(bytes.NewBufferString(body))}, nil
	}
}

// fails is a target whose call fails before its response.
func fails(d Delivery) step {
	return func(context.Context, chan<- struct{}) (*Response, error) {
		return nil, &SendError{Delivery: d, Cause: errors.New("scripted")}
	}
}

// recordedCaller records what a caller received.
type recordedCaller struct {
	mu      sync.Mutex
	begun   []int
	body    bytes.Buffer
	refused error
	aborted bool
	// written gets a value for each part. A write blocks until it is taken up.
	written chan struct{}
}

func (c *recordedCaller) Begin(status int, _ http.Header, _ int64) { c.begun = append(c.begun, status) }
func (c *recordedCaller) Refuse(err error)                         { c.refused = err }
func (c *recordedCaller) Abort()                                   { c.aborted = true }

func (c *recordedCaller) Write(p []byte) error {
	c.mu.Lock()
	c.body.Write(p)
	c.mu.Unlock()
	c.written <- struct{}{}
	return nil
}

// testServer is a server on a fake clock, with a coordinator of its own.
type testServer struct {
	*Server
	clock     *clockwork.FakeClock
	directory *fixedDirectory
	slots     *recordedSlots
	// transport and caller are those of tests with one request.
	transport *scriptedTransport
	caller    *recordedCaller
	done      chan struct{}
}

// newTestServer returns a server with targets t1, t2 and so on for one route.
func newTestServer(t *testing.T, logger *zap.Logger, route *fleet.Route, targets int, steps ...step) *testServer {
	t.Helper()
	return newTestServerOf(t, logger, route, make([]tables.SoftwareVersion, targets), steps...)
}

// newTestServerOf returns a server with targets t1, t2 and so on of the given software versions.
func newTestServerOf(t *testing.T, logger *zap.Logger, route *fleet.Route, versions []tables.SoftwareVersion, steps ...step) *testServer {
	t.Helper()
	clock := clockwork.NewFakeClock()
	directory := &fixedDirectory{config: fleet.NewConfig(1)}
	route.Host, route.Prefix = "h", "/"
	route.Split = []fleet.WeightedService{{Service: "s", Weight: 1}}
	directory.config.AddRoute(route)
	for n, version := range versions {
		id := tables.TargetID(fmt.Sprintf("t%d", n+1))
		directory.targets = append(directory.targets, fleet.Target{ID: id, Service: "s", Address: string(id), Version: version, Slots: testSlots})
	}
	started := make(chan struct{})
	close(started)
	e := &testServer{
		clock: clock, directory: directory,
		slots: &recordedSlots{inner: newSlotClient(t, directory, clock, logger), asking: make(chan struct{}, 100)},

		transport: &scriptedTransport{steps: steps, called: make(chan tables.TargetID, 100), silent: make(chan struct{}, 100)},
		caller:    &recordedCaller{written: make(chan struct{}, 100)},
		done:      make(chan struct{}),
	}
	e.Server = &Server{
		Started: started, Directory: directory, Slots: e.slots, Transport: e.transport,
		Clock: clock, Logger: zap.NewNop(), Metrics: observe.NewEdgeMetrics(),
	}
	return e
}

// newSlotClient returns a client that is the coordinator itself.
func newSlotClient(t *testing.T, directory *fixedDirectory, clock clockwork.Clock, logger *zap.Logger) *pool.Client {
	return newSlotClientAmong(t, []fleet.Host{selfHost}, directory, clock, logger)
}

// selfHost is the host of the tests.
var selfHost = fleet.Host{ID: "self", Address: "127.0.0.1:1"}

// newSlotClientAmong returns a client that knows the given hosts. Without hosts it uses its local
// fallback.
func newSlotClientAmong(t *testing.T, known []fleet.Host, directory *fixedDirectory, clock clockwork.Clock, logger *zap.Logger) *pool.Client {
	self := selfHost
	hosts := links.New(self, peer.NewPool(t.Context(), peer.Hello{Host: self.ID}, peer.NewMux(), clock), clock, zap.NewNop())
	hosts.SetHosts(known)
	whole := func() float64 { return 1 }
	coordinator := pool.NewCoordinator(directory, pool.Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, logger)
	coordinator.ReloadTargets(allocation.Estimates{})
	return pool.NewClient(self, hosts, coordinator, coordinator, 1, time.Second, clock, zap.NewNop())
}

// serveOne serves one request without a deadline in the background: Err of a deadline
// context on a fake clock blocks.
func (e *testServer) serveOne(ctx context.Context) { e.serveAfter(ctx, "") }

// serveAfter is serveOne for a caller that takes up a stream after its last event.
func (e *testServer) serveAfter(ctx context.Context, lastEventID string) {
	r := &Request{
		ID: "r", Method: http.MethodPost, Host: "h", URI: "/x", Path: "/x", Header: http.Header{}, Arrived: e.clock.Now(), Fingerprint: 7,
		LastEventID: lastEventID,
	}
	go func() {
		defer close(e.done)
		e.Serve(ctx, r, e.caller)
	}()
}

// passSilence waits until the target of the call is silent and lets d pass.
func (e *testServer) passSilence(t *testing.T, d time.Duration) {
	t.Helper()
	receive(t, e.transport.silent, "silence")
	e.advance(t, d)
}

// advance waits for a timer and lets d pass.
func (e *testServer) advance(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	if err := e.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	e.clock.Advance(d)
}

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testLimit):
		t.Fatalf("nothing received: %s", what)
		panic("unreachable")
	}
}

// receiveNothing reports an error if c receives a value soon.
func receiveNothing[T any](t *testing.T, c <-chan T, what string) {
	t.Helper()
	select {
	case v := <-c:
		t.Errorf("%s: %v", what, v)
	case <-time.After(testPause):
	}
}

func resumableStream(maxTargets int) *fleet.Route {
	return &fleet.Route{
		Kind: fleet.Stream, Resumable: true, MaxTargets: maxTargets,
		FirstByteSLO: time.Second, EventGapSLO: 250 * time.Millisecond, CallerTimeout: 4 * time.Second,
	}
}

// oneEvent is the start of a stream.
const oneEvent = "id: 1\ndata: a\n\n"

// silentFor is longer than the idle timeout of a stream of resumableStream.
const silentFor = 1300 * time.Millisecond

// unsignedAnswer is a target whose response lacks the signature.
func unsignedAnswer(s step) step {
	return func(ctx context.Context, silent chan<- struct{}) (*Response, error) {
		resp, err := s(ctx, silent)
		resp.Signed = false
		return resp, err
	}
}

package orders_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/orders"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

var suite *testing.T

func TestOrders(t *testing.T) {
	suite = t
	defer debug.SetGCPercent(debug.SetGCPercent(spareGC))
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

// spareGC is the growth of the heap in percent between two collections; the
// worlds hold little and make much garbage.
const spareGC = 1000

const loadTime = 4 * time.Second

// engine is a model engine that takes orders.
type engine struct {
	target.Engine
	checks bool

	mu      sync.Mutex
	order   target.Order
	highest int64
	loads   time.Time
	taken   []target.Order
}

// read returns the engine's order and those that it took.
func (e *engine) read() (target.Order, []target.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order, slices.Clone(e.taken)
}

func (e *engine) Apply(_ context.Context, o target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.highest {
		return target.ErrFenced
	}
	if !orders.SameState(e.order, o) {
		e.loads = time.Now().Add(loadTime)
	}
	e.order = o
	e.highest = max(e.highest, o.Fence)
	e.taken = append(e.taken, o)
	return nil
}

func (e *engine) State(context.Context) (target.OrderState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.OrderState{Order: e.order, Loading: time.Now().Before(e.loads)}, nil
}

// host is one controller's host. While it is paused its calls of the log wait;
// while it is stalled its orders arrive late, or its readings of engines. A
// process that wakes goes on with any of them first.
type host struct {
	w    *world
	self tables.Host
	end  func()

	mu      sync.Mutex
	c       *orders.Controller
	paused  chan struct{}
	orders  chan struct{}
	reads   chan struct{}
	cut     bool
	weights ports.WeightStore
	// log replaces the host itself as the log of its controller.
	log ports.Log
}

func (h *host) holds() []string {
	h.mu.Lock()
	c := h.c
	h.mu.Unlock()
	return c.Holds()
}

// wait blocks while the host is paused and reports whether the log is cut off.
func (h *host) wait() bool {
	h.mu.Lock()
	paused, cut := h.paused, h.cut
	h.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return cut
}

// pass waits for a gate.
func (h *host) pass(gate *chan struct{}) {
	h.mu.Lock()
	closed := *gate
	h.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// hold closes a gate of the host until the returned function is called.
func (h *host) hold(gate *chan struct{}) (open func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closed := make(chan struct{})
	*gate = closed
	return func() {
		h.mu.Lock()
		*gate = nil
		h.mu.Unlock()
		close(closed)
	}
}

func (h *host) pause() (wake func())         { return h.hold(&h.paused) }
func (h *host) stallOrders() (resume func()) { return h.hold(&h.orders) }
func (h *host) stallReads() (resume func())  { return h.hold(&h.reads) }

func (h *host) isolate(cut bool) {
	h.mu.Lock()
	h.cut = cut
	h.mu.Unlock()
}

func (h *host) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	if h.wait() {
		return 0, fmt.Errorf("append: %w", ports.ErrUnavailable)
	}
	return h.w.log.Append(ctx, stream, data)
}

func (h *host) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if h.wait() {
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	}
	page, err := h.w.log.Read(ctx, stream, from, wait)
	h.wait()
	return page, err
}

// lateEngine delivers the orders of a paused or stalled host when it goes on.
type lateEngine struct {
	*engine
	h *host
}

func (e lateEngine) Apply(ctx context.Context, o target.Order) error {
	e.mu.Lock()
	late := o.Fence < e.highest
	e.mu.Unlock()
	if late {
		e.h.w.wrong("%s sends under fence %d past its lease", e.h.self.ID, o.Fence)
	}
	e.h.pass(&e.h.orders)
	return e.engine.Apply(ctx, o)
}

func (e lateEngine) State(ctx context.Context) (target.OrderState, error) {
	state, err := e.engine.State(ctx)
	e.h.pass(&e.h.reads)
	return state, err
}

// world is a log, engines and controllers in virtual time.
type world struct {
	log     *logstore.Store
	rand    *rand.Rand
	hosts   []*host
	engines map[string]*engine

	mu      sync.Mutex
	version int
	// doc is the configuration of the version; nil before it is built.
	doc     *config.Document
	permits int
	faults  []string
	// listed are the hosts of the list; nil stands for all.
	listed []*host
	// change alters the configuration, and measure is the demand of hosts; nil
	// stands for none.
	change  func(*config.Document)
	measure func(context.Context, tables.Host) (demand.Rates, error)
}

func (w *world) wrong(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) document() *config.Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doc == nil {
		w.doc = w.build()
	}
	return w.doc
}

// build returns the configuration of the version; w.mu is held.
func (w *world) build() *config.Document {
	doc := &config.Document{
		Services: map[string]config.Service{"s": {Kind: config.ModelService, Model: "m", Adapter: "a"}},
		Targets:  map[string]config.Target{},
		Limits:   config.Limits{WeightLoadsAtOnce: 1},
	}
	for name := range w.engines {
		doc.Targets[name] = config.Target{Address: name, FailureDomain: name[:1], Generation: "g", Services: []string{"s"},
			ModelVersion: fmt.Sprint("v", w.version)}
	}
	if w.change != nil {
		w.change(doc)
	}
	return doc
}

func (w *world) publish() {
	w.mu.Lock()
	w.version++
	w.doc = nil
	w.mu.Unlock()
}

// Acquire is the weight store's.
func (w *world) Acquire(context.Context, string, int64) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.permits++
	return time.Minute, nil
}

// withoutWeights restarts the hosts with engines that load without a permit.
func (w *world) withoutWeights() {
	for _, h := range w.hosts {
		h.end()
		h.weights = nil
		h.start()
	}
}

// setLive sets the hosts that the list shows; all of them before.
func (w *world) setLive(hosts []*host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = hosts
}

func (w *world) live() []tables.Host {
	w.mu.Lock()
	hosts := w.listed
	w.mu.Unlock()
	if hosts == nil {
		hosts = w.hosts
	}
	var out []tables.Host
	for _, h := range hosts {
		out = append(out, h.self)
	}
	return out
}

func (h *host) start() {
	self := h.self
	self.Incarnation = time.Now().UnixNano()
	log := h.log
	if log == nil {
		log = h
	}
	c := orders.New(orders.Options{
		Self: self, Log: log, Config: h.w.document, Live: h.w.live, Weights: h.weights, Measure: h.w.measure,
		Engine: func(_ tables.TargetID, address string) target.Engine { return lateEngine{h.w.engines[address], h} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	h.mu.Lock()
	h.c = c
	h.mu.Unlock()
	h.end = func() {
		cancel()
		<-done
	}
}

// inWorld runs a spec with three hosts and the named engines; the first letter
// of a name is the failure domain, and an engine with "x" checks fences.
func inWorld(seed uint64, names []string, spec func(w *world)) {
	suite.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { inBubble(t, seed, names, threeHosts, spec) })
}

// eachSeed runs a spec with the seeds below n side by side: a world takes
// processor time alone, on one core at a time.
func eachSeed(n uint64, spec func(seed uint64)) {
	var worlds sync.WaitGroup
	for seed := range n {
		worlds.Go(func() {
			defer GinkgoRecover()
			spec(seed)
		})
	}
	worlds.Wait()
}

// threeHosts returns hosts of the failure domain a.
func threeHosts(w *world) []*host {
	var out []*host
	for i := range 3 {
		out = append(out, &host{w: w, weights: w, self: tables.Host{ID: tables.HostID(fmt.Sprint("h", i)), Domain: "a"}})
	}
	return out
}

// inBubble runs a spec in virtual time among the hosts that a function returns.
func inBubble(t *testing.T, seed uint64, names []string, hosts func(w *world) []*host, spec func(w *world)) {
	synctest.Test(t, func(*testing.T) {
		defer GinkgoRecover()
		w := &world{rand: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}}
		w.log = logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: 30 * time.Minute})
		for _, name := range names {
			w.engines[name] = &engine{checks: slices.Contains([]byte(name), 'x')}
		}
		w.hosts = hosts(w)
		for _, h := range w.hosts {
			h.start()
		}
		ctx, cancel := context.WithCancel(context.Background())
		go w.watch(ctx)
		defer time.Sleep(time.Minute)
		defer func() {
			cancel()
			for _, h := range w.hosts {
				h.end()
			}
		}()
		spec(w)
	})
}

// watch notes leases that two hosts hold at once.
func (w *world) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		holder := map[string]tables.HostID{}
		for _, h := range w.hosts {
			for _, name := range h.holds() {
				if other, held := holder[name]; held {
					w.wrong("%s is held by %s and %s", name, other, h.self.ID)
				}
				holder[name] = h.self.ID
			}
		}
	}
}

// holder returns the host that holds a lease; nil when none does.
func (w *world) holder(name string) *host {
	for _, h := range w.hosts {
		if slices.Contains(h.holds(), name) {
			return h
		}
	}
	return nil
}

// settled checks that every engine holds the current version under the fence
// of its last holder, and that no checking engine took an older fence.
func (w *world) settled() {
	for name, e := range w.engines {
		order, taken := e.read()
		Expect(order.Version).To(Equal(fmt.Sprint("v", w.version)), name)
		newest := slices.MaxFunc(taken, func(a, b target.Order) int { return cmp.Compare(a.Fence, b.Fence) })
		Expect(order.Fence).To(Equal(newest.Fence), "the last state is the current holder's: "+name)
		if e.checks {
			Expect(slices.IsSortedFunc(taken, func(a, b target.Order) int { return cmp.Compare(a.Fence, b.Fence) })).To(BeTrue(), name)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	Expect(w.faults).To(BeEmpty())
}

// fault breaks one thing for a while.
func (w *world) fault() {
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	long := time.Duration(w.rand.IntN(90)) * time.Second
	switch w.rand.IntN(9) {
	case 6:
		resume := h.stallOrders()
		w.publish()
		time.Sleep(long)
		wake := h.pause()
		time.Sleep(time.Duration(w.rand.IntN(60)) * time.Second)
		resume()
		wake()
	case 0:
		open := []func(){h.pause(), h.stallOrders(), h.stallReads()}
		time.Sleep(long)
		for _, i := range w.rand.Perm(len(open)) {
			open[i]()
			time.Sleep(time.Duration(w.rand.IntN(200)) * time.Millisecond)
		}
	case 1:
		h.isolate(true)
		time.Sleep(long)
		h.isolate(false)
	case 2:
		w.log.SetDown(true)
		time.Sleep(long)
		w.log.SetDown(false)
	case 3:
		w.log.LoseAnswers(w.rand.IntN(4))
	case 4:
		w.log.SetDelay(time.Duration(w.rand.IntN(1500)) * time.Millisecond)
		time.Sleep(long)
		w.log.SetDelay(0)
	case 5:
		h.end()
		time.Sleep(long / 4)
		h.start()
	default:
		w.publish()
	}
	time.Sleep(long)
}

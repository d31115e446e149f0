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

var testingT *testing.T

func TestOrders(t *testing.T) {
	testingT = t
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

// gcPercent is the garbage collector's target percentage. It is high because the
// clusters have little live data and produce much garbage.
const gcPercent = 1000

const loadTime = 4 * time.Second

// engine is a simulated model engine that accepts orders.
type engine struct {
	target.Engine
	checksFencing bool

	mu           sync.Mutex
	order        target.Order
	highestFence int64
	// loadedAt is when the load that the latest order started ends.
	loadedAt time.Time
	accepted []target.Order
}

// orders returns the engine's current order and all orders that it has accepted.
func (e *engine) orders() (target.Order, []target.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order, slices.Clone(e.accepted)
}

func (e *engine) Apply(_ context.Context, o target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && o.Fence < e.highestFence {
		return target.ErrFenced
	}
	if !orders.SameState(e.order, o) {
		e.loadedAt = time.Now().Add(loadTime)
	}
	e.order = o
	e.highestFence = max(e.highestFence, o.Fence)
	e.accepted = append(e.accepted, o)
	return nil
}

func (e *engine) State(context.Context) (target.OrderState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.OrderState{Order: e.order, Loading: time.Now().Before(e.loadedAt)}, nil
}

// host is a host that runs a controller. While it is paused, its calls to the log
// block. stallOrders and stallReads block the calls that send orders to engines or
// read their states. At the end of a pause or stall, the blocked calls may
// continue in any order.
type host struct {
	cluster *cluster
	self    tables.Host
	stop    func()

	mu           sync.Mutex
	controller   *orders.Controller
	pauseBarrier chan struct{}
	orderBarrier chan struct{}
	readBarrier  chan struct{}
	isolated     bool
	weights      ports.WeightStore
	// log, if not nil, is the controller's log instead of the host itself.
	log ports.Log
}

func (h *host) heldLeases() []string {
	h.mu.Lock()
	c := h.controller
	h.mu.Unlock()
	return c.HeldLeases()
}

// waitWhilePaused blocks while the host is paused. It reports whether the host is
// isolated from the log.
func (h *host) waitWhilePaused() bool {
	h.mu.Lock()
	paused, isolated := h.pauseBarrier, h.isolated
	h.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return isolated
}

// waitAtBarrier blocks while a barrier is closed.
func (h *host) waitAtBarrier(barrier *chan struct{}) {
	h.mu.Lock()
	closed := *barrier
	h.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// closeBarrier makes the host's calls block at a barrier until the returned
// function is called.
func (h *host) closeBarrier(barrier *chan struct{}) (open func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	closed := make(chan struct{})
	*barrier = closed
	return func() {
		h.mu.Lock()
		*barrier = nil
		h.mu.Unlock()
		close(closed)
	}
}

func (h *host) pause() (wake func())         { return h.closeBarrier(&h.pauseBarrier) }
func (h *host) stallOrders() (resume func()) { return h.closeBarrier(&h.orderBarrier) }
func (h *host) stallReads() (resume func())  { return h.closeBarrier(&h.readBarrier) }

func (h *host) isolate(isolated bool) {
	h.mu.Lock()
	h.isolated = isolated
	h.mu.Unlock()
}

func (h *host) Append(ctx context.Context, stream string, data []byte) (ports.Offset, error) {
	if h.waitWhilePaused() {
		return 0, fmt.Errorf("append: %w", ports.ErrUnavailable)
	}
	return h.cluster.log.Append(ctx, stream, data)
}

func (h *host) Read(ctx context.Context, stream string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if h.waitWhilePaused() {
		return ports.Page{}, fmt.Errorf("read: %w", ports.ErrUnavailable)
	}
	page, err := h.cluster.log.Read(ctx, stream, from, wait)
	h.waitWhilePaused()
	return page, err
}

// delayedEngine is an engine as a host reaches it. It delays the host's orders
// and the results of the host's reads while they are stalled. It records a failure
// if the host sends an order with an outdated fencing number.
type delayedEngine struct {
	*engine
	h *host
}

func (e delayedEngine) Apply(ctx context.Context, o target.Order) error {
	e.mu.Lock()
	outdated := o.Fence < e.highestFence
	e.mu.Unlock()
	if outdated {
		e.h.cluster.recordFailure("%s sends an order with fencing number %d after its lease expired", e.h.self.ID, o.Fence)
	}
	e.h.waitAtBarrier(&e.h.orderBarrier)
	return e.engine.Apply(ctx, o)
}

func (e delayedEngine) State(ctx context.Context) (target.OrderState, error) {
	state, err := e.engine.State(ctx)
	e.h.waitAtBarrier(&e.h.readBarrier)
	return state, err
}

// cluster contains a log, engines and hosts with controllers, in virtual time.
type cluster struct {
	log     *logstore.Store
	rand    *rand.Rand
	hosts   []*host
	engines map[string]*engine

	mu sync.Mutex
	// version is the number of published configurations.
	version int
	// doc is the configuration of the current version; nil until it is built.
	doc            *config.Document
	permitsGranted int
	failures       []string
	// liveHosts are the hosts in the list of live hosts; nil means all hosts.
	liveHosts []*host
	// changeDoc, if not nil, is applied to every configuration that is built.
	// measure, if not nil, returns the demand at a host.
	changeDoc func(*config.Document)
	measure   func(context.Context, tables.Host) (demand.Rates, error)
}

func (cl *cluster) recordFailure(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.failures = append(cl.failures, fmt.Sprintf(format, args...))
}

func (cl *cluster) document() *config.Document {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.doc == nil {
		cl.doc = cl.build()
	}
	return cl.doc
}

// build returns the configuration of the current version. The caller must hold
// cl.mu.
func (cl *cluster) build() *config.Document {
	doc := &config.Document{
		Services: map[string]config.Service{"s": {Kind: config.ModelService, Model: "m", Adapter: "a"}},
		Targets:  map[string]config.Target{},
		Limits:   config.Limits{WeightLoadsAtOnce: 1},
	}
	for name := range cl.engines {
		doc.Targets[name] = config.Target{Address: name, FailureDomain: name[:1], Generation: "g", Services: []string{"s"},
			ModelVersion: fmt.Sprint("v", cl.version)}
	}
	if cl.changeDoc != nil {
		cl.changeDoc(doc)
	}
	return doc
}

func (cl *cluster) publish() {
	cl.mu.Lock()
	cl.version++
	cl.doc = nil
	cl.mu.Unlock()
}

// Acquire implements ports.WeightStore and counts the permits.
func (cl *cluster) Acquire(context.Context, string, int64) (time.Duration, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.permitsGranted++
	return time.Minute, nil
}

// restartWithoutWeights restarts the hosts without a weight store, so that loads
// need no permits.
func (cl *cluster) restartWithoutWeights() {
	for _, h := range cl.hosts {
		h.stop()
		h.weights = nil
		h.start()
	}
}

// setLive sets the list of live hosts. Initially it contains all hosts.
func (cl *cluster) setLive(hosts []*host) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.liveHosts = hosts
}

func (cl *cluster) live() []tables.Host {
	cl.mu.Lock()
	hosts := cl.liveHosts
	cl.mu.Unlock()
	if hosts == nil {
		hosts = cl.hosts
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
		Self: self, Log: log, Config: h.cluster.document, LiveHosts: h.cluster.live, WeightStore: h.weights, MeasureDemand: h.cluster.measure,
		Engine: func(_ tables.TargetID, address string) target.Engine {
			return delayedEngine{h.cluster.engines[address], h}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	h.mu.Lock()
	h.controller = c
	h.mu.Unlock()
	h.stop = func() {
		cancel()
		<-done
	}
}

// runCluster runs a spec with three hosts and the named engines. The first letter
// of an engine's name is its failure domain. An engine with an "x" in its name
// checks fencing numbers.
func runCluster(seed uint64, engineNames []string, spec func(cl *cluster)) {
	testingT.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runInVirtualTime(t, seed, engineNames, newThreeHosts, spec) })
}

// forEachSeed runs a spec with the seeds 0 to n-1 in parallel. A cluster needs
// only CPU time and uses one core at a time.
func forEachSeed(n uint64, spec func(seed uint64)) {
	var wg sync.WaitGroup
	for seed := range n {
		wg.Go(func() {
			defer GinkgoRecover()
			spec(seed)
		})
	}
	wg.Wait()
}

// newThreeHosts returns three hosts in the failure domain a.
func newThreeHosts(cl *cluster) []*host {
	var out []*host
	for i := range 3 {
		out = append(out, &host{cluster: cl, weights: cl, self: tables.Host{ID: tables.HostID(fmt.Sprint("h", i)), Domain: "a"}})
	}
	return out
}

// runInVirtualTime runs a spec in virtual time, with the named engines and the
// hosts that newHosts creates.
func runInVirtualTime(t *testing.T, seed uint64, engineNames []string, newHosts func(cl *cluster) []*host, spec func(cl *cluster)) {
	synctest.Test(t, func(*testing.T) {
		defer GinkgoRecover()
		cl := &cluster{rand: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}}
		cl.log = logstore.New(clockwork.NewRealClock(), logstore.Options{Retention: 30 * time.Minute})
		for _, name := range engineNames {
			cl.engines[name] = &engine{checksFencing: slices.Contains([]byte(name), 'x')}
		}
		cl.hosts = newHosts(cl)
		for _, h := range cl.hosts {
			h.start()
		}
		ctx, cancel := context.WithCancel(context.Background())
		go cl.watchHolders(ctx)
		defer time.Sleep(time.Minute)
		defer func() {
			cancel()
			for _, h := range cl.hosts {
				h.stop()
			}
		}()
		spec(cl)
	})
}

// watchHolders checks every 100 ms that no two hosts hold the same lease, and
// records a failure if they do. It returns when ctx is done.
func (cl *cluster) watchHolders(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		holder := map[string]tables.HostID{}
		for _, h := range cl.hosts {
			for _, name := range h.heldLeases() {
				if other, held := holder[name]; held {
					cl.recordFailure("%s is held by %s and %s", name, other, h.self.ID)
				}
				holder[name] = h.self.ID
			}
		}
	}
}

// holder returns the host that holds a lease, or nil if none does.
func (cl *cluster) holder(name string) *host {
	for _, h := range cl.hosts {
		if slices.Contains(h.heldLeases(), name) {
			return h
		}
	}
	return nil
}

// expectConverged checks that every engine's current order has the current
// version and the highest fencing number among the orders that the engine has
// accepted. It also checks that no failure has been recorded, and that no engine
// which checks fencing numbers has accepted a lower one after a higher one.
func (cl *cluster) expectConverged() {
	for name, e := range cl.engines {
		order, accepted := e.orders()
		Expect(order.Version).To(Equal(fmt.Sprint("v", cl.version)), name)
		newest := slices.MaxFunc(accepted, func(a, b target.Order) int { return cmp.Compare(a.Fence, b.Fence) })
		Expect(order.Fence).To(Equal(newest.Fence), "the last order must be the current holder's: "+name)
		if e.checksFencing {
			Expect(slices.IsSortedFunc(accepted, func(a, b target.Order) int { return cmp.Compare(a.Fence, b.Fence) })).To(BeTrue(), name)
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	Expect(cl.failures).To(BeEmpty())
}

// injectFault causes one random fault, or publishes a configuration, and sleeps
// for a random time.
func (cl *cluster) injectFault() {
	h := cl.hosts[cl.rand.IntN(len(cl.hosts))]
	faultDuration := time.Duration(cl.rand.IntN(90)) * time.Second
	switch cl.rand.IntN(9) {
	case 6:
		resume := h.stallOrders()
		cl.publish()
		time.Sleep(faultDuration)
		wake := h.pause()
		time.Sleep(time.Duration(cl.rand.IntN(60)) * time.Second)
		resume()
		wake()
	case 0:
		resumes := []func(){h.pause(), h.stallOrders(), h.stallReads()}
		time.Sleep(faultDuration)
		for _, i := range cl.rand.Perm(len(resumes)) {
			resumes[i]()
			time.Sleep(time.Duration(cl.rand.IntN(200)) * time.Millisecond)
		}
	case 1:
		h.isolate(true)
		time.Sleep(faultDuration)
		h.isolate(false)
	case 2:
		cl.log.SetDown(true)
		time.Sleep(faultDuration)
		cl.log.SetDown(false)
	case 3:
		cl.log.LoseAnswers(cl.rand.IntN(4))
	case 4:
		cl.log.SetDelay(time.Duration(cl.rand.IntN(1500)) * time.Millisecond)
		time.Sleep(faultDuration)
		cl.log.SetDelay(0)
	case 5:
		h.stop()
		time.Sleep(faultDuration / 4)
		h.start()
	default:
		cl.publish()
	}
	time.Sleep(faultDuration)
}

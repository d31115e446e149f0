// Package soak runs an installation of many hosts under mixed load and faults
// and checks every promise against the targets' own records.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
)

// Options set the size of a run.
type Options struct {
	// Duration is how long load is offered. A rolling restart that is not
	// over by then goes on under load, up to maxOvertimeFactor times as long.
	Duration time.Duration
	// Hosts, Engines and Plains are counts.
	Hosts   int
	Engines int
	Plains  int
	// RequestsPerSecond is the mean rate of new requests.
	RequestsPerSecond float64
	// NoFaults leaves out the faults and the rolling restart.
	NoFaults bool
	// RandomFaults draws kinds, moments and victims of the faults from the seed
	// instead of bringing about each kind once.
	RandomFaults bool
	// Seed drives the load and the choice of victims.
	Seed uint64
	// Logger gets the hosts' events; nil drops them.
	Logger *zap.Logger
}

// Sizes of the targets and of the platform.
const (
	domains           = 3
	engineStep        = 20 * time.Millisecond
	engineBatch       = 4
	engineRestart     = 500 * time.Millisecond
	plainDelay        = 50 * time.Millisecond
	listLag           = 500 * time.Millisecond
	balancerWait      = 300 * time.Millisecond
	stopBound         = 60 * time.Second
	appendsPerSecond  = 300
	configureTimeout  = 30 * time.Second
	quiesceTimeout    = 90 * time.Second
	samplePeriod      = 50 * time.Millisecond
	poison            = "poison"
	maxOvertimeFactor = 3
)

// run is one soak.
type run struct {
	opts  Options
	h     *harness.Harness
	start time.Time
	// steps are the faults to come.
	steps []step

	// locks holds one lock for each host, engine and switch of the platform, so
	// that one of them is changed by one step at a time.
	locks map[string]*sync.Mutex

	mu sync.Mutex
	// random is guarded by mu.
	random *rand.Rand
	// inService are the hosts behind the balancer.
	inService []string
	versions  map[string]uint64
	// leavingSince is when a target was listed as leaving.
	leavingSince map[string]time.Time
	plannedStops int
	violations   []harness.Violation
}

// Run does one soak and returns its outcome. The error is about the bench
// itself; broken promises are in the outcome.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	h, err := harness.New(harness.Options{
		Logger: o.Logger, ListLag: listLag, BalancerWait: balancerWait, StopBound: stopBound,
		Log: logstore.Options{AppendsPerSecond: appendsPerSecond},
	})
	if err != nil {
		return nil, err
	}
	defer h.Close()
	r := &run{
		opts: o, h: h, start: time.Now(),
		random:       rand.New(rand.NewPCG(o.Seed, 0)),
		versions:     make(map[string]uint64),
		leavingSince: make(map[string]time.Time),
		locks:        make(map[string]*sync.Mutex),
	}
	for _, name := range []string{switchLog, switchList, switchWeights, switchNetwork} {
		r.locks[name] = &sync.Mutex{}
	}
	if err := r.install(ctx); err != nil {
		return nil, err
	}
	r.steps = r.plan()
	return r.execute(ctx)
}

func (r *run) install(ctx context.Context) error {
	for i := range r.opts.Engines {
		o := engine.Options{Step: engineStep, BatchMax: engineBatch, RestartAfter: engineRestart, EventLag: listLag, LoadLag: listLag, EventGapEvery: 7}
		name := fmt.Sprintf("e%d", i+1)
		if _, err := r.h.AddEngine(name, domainOf(i), o); err != nil {
			return err
		}
		r.locks[name] = &sync.Mutex{}
	}
	for i := range r.opts.Plains {
		o := plain.Options{Delay: plainDelay, RestartAfter: engineRestart}
		if _, err := r.h.AddPlain(fmt.Sprintf("p%d", i+1), domainOf(i), o); err != nil {
			return err
		}
	}
	for i := range r.opts.Hosts {
		name := fmt.Sprintf("h%d", i+1)
		if _, err := r.h.StartHost(name, domainOf(i)); err != nil {
			return err
		}
		r.inService = append(r.inService, name)
		r.locks[name] = &sync.Mutex{}
	}
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	return r.h.Configure(ctx, r.inService[0])
}

func domainOf(i int) string { return string(rune('a' + i%domains)) }

// execute offers load, carries out the plan and checks the outcome.
func (r *run) execute(ctx context.Context) (*Outcome, error) {
	r.start = time.Now()
	planCtx, cancel := context.WithTimeout(ctx, maxOvertimeFactor*r.opts.Duration)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sampleCtx, stopSamples := context.WithCancel(ctx)
	defer stopSamples()
	var load, samples sync.WaitGroup
	load.Go(func() { r.offerLoad(loadCtx) })
	samples.Go(func() { r.sampleVersions(sampleCtx) })
	r.carryOut(planCtx)
	wait(ctx, r.opts.Duration-time.Since(r.start))
	stopLoad()
	load.Wait()
	r.quiesce(ctx)
	stopSamples()
	samples.Wait()
	return r.report(), nil
}

// quiesce waits until every caller has its end and no target runs anything.
func (r *run) quiesce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	for _, c := range r.h.Calls() {
		select {
		case <-c.Done():
		case <-ctx.Done():
		}
		if result := c.Result(); result.Ended.IsZero() {
			r.violate(PromiseEnds, "%s (%s) has not ended %v after the load", c.Request.Name, result.ID, quiesceTimeout)
		}
	}
	if !harness.Await(ctx, func() bool { return r.h.InProgress() == 0 }) {
		r.violate(PromiseEnds, "%d requests still run at targets %v after the load", r.h.InProgress(), quiesceTimeout)
	}
	r.lookUpLost(ctx)
}

// wait waits for d and reports whether ctx goes on.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) violate(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, harness.Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// draw returns a random number below n.
func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

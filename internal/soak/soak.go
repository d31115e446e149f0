// Package soak runs hosts with embedded stand-ins under mixed load and faults and
// checks all guarantees against the records of callers, hosts and targets.
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

// Options configures a run.
type Options struct {
	// Duration is the minimum time for which load is generated. If fault steps are
	// then unfinished, load continues until they have completed. The context of the
	// steps is cancelled after maxOvertimeFactor times the duration.
	Duration time.Duration
	// Hosts, Engines and Plains are the numbers of hosts, inference engines and
	// targets of the plain service.
	Hosts   int
	Engines int
	Plains  int
	// RequestsPerSecond is the mean rate of new requests.
	RequestsPerSecond float64
	// NoFaults disables all faults, including the rolling restart.
	NoFaults bool
	// RandomFaults chooses kinds, times and targets of the faults at random, based on
	// the seed, instead of using the fixed plan.
	RandomFaults bool
	// Seed is the random seed of the load and of the random plan.
	Seed uint64
	// Logger receives the log of the hosts; nil discards it.
	Logger *zap.Logger
}

// Parameters of the hosts, the targets, the platform and the checks.
const (
	domainCount        = 3
	engineStepDuration = 20 * time.Millisecond
	engineBatchSize    = 4
	restartDelay       = 500 * time.Millisecond
	plainDelay         = 50 * time.Millisecond
	listLag            = 500 * time.Millisecond
	balancerWait       = 300 * time.Millisecond
	stopTimeout        = 60 * time.Second
	appendsPerSecond   = 300
	configureTimeout   = 30 * time.Second
	quiesceTimeout     = 90 * time.Second
	samplePeriod       = 50 * time.Millisecond
	poisonPrompt       = "poison"
	maxOvertimeFactor  = 3
)

// run is the state of one soak.
type run struct {
	opts  Options
	h     *harness.Harness
	start time.Time
	// steps is the fault plan.
	steps []step

	// locks holds a lock for each host, each engine and each platform fault that can
	// be switched on, so that only one step at a time holds it.
	locks map[string]*sync.Mutex

	mu sync.Mutex
	// rng is guarded by mu.
	rng *rand.Rand
	// balancedHosts lists the hosts behind the balancer.
	balancedHosts []string
	// highestVersions holds the highest configuration version seen on each host.
	highestVersions map[string]uint64
	// leavingSince holds the time at which each leaving target was listed as leaving.
	leavingSince map[string]time.Time
	shutdowns    int
	violations   []harness.Violation
}

// Run runs one soak and returns its result. An error means that the hosts and
// stand-ins could not be set up; violations are part of the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	h, err := harness.New(harness.Options{
		Logger: o.Logger, ListLag: listLag, BalancerWait: balancerWait, StopBound: stopTimeout,
		Log: logstore.Options{AppendsPerSecond: appendsPerSecond},
	})
	if err != nil {
		return nil, err
	}
	defer h.Close()
	r := &run{
		opts: o, h: h, start: time.Now(),
		rng:             rand.New(rand.NewPCG(o.Seed, 0)),
		highestVersions: make(map[string]uint64),
		leavingSince:    make(map[string]time.Time),
		locks:           make(map[string]*sync.Mutex),
	}
	for _, name := range []string{switchLog, switchList, switchWeights, switchNetwork} {
		r.locks[name] = &sync.Mutex{}
	}
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	r.steps = r.newPlan()
	return r.execute(ctx)
}

func (r *run) setUp(ctx context.Context) error {
	for i := range r.opts.Engines {
		o := engine.Options{Step: engineStepDuration, BatchMax: engineBatchSize, RestartAfter: restartDelay, EventLag: listLag, LoadLag: listLag, DropEventEvery: 7}
		name := fmt.Sprintf("e%d", i+1)
		if _, err := r.h.AddEngine(name, domainOf(i), o); err != nil {
			return err
		}
		r.locks[name] = &sync.Mutex{}
	}
	for i := range r.opts.Plains {
		o := plain.Options{Delay: plainDelay, RestartAfter: restartDelay}
		if _, err := r.h.AddPlain(fmt.Sprintf("p%d", i+1), domainOf(i), o); err != nil {
			return err
		}
	}
	for i := range r.opts.Hosts {
		name := fmt.Sprintf("h%d", i+1)
		if _, err := r.h.StartHost(name, domainOf(i)); err != nil {
			return err
		}
		r.balancedHosts = append(r.balancedHosts, name)
		r.locks[name] = &sync.Mutex{}
	}
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	return r.h.Configure(ctx, r.balancedHosts[0])
}

func domainOf(i int) string { return string(rune('a' + i%domainCount)) }

// execute generates load, executes the plan and returns the result.
func (r *run) execute(ctx context.Context) (*Result, error) {
	r.start = time.Now()
	planCtx, cancel := context.WithTimeout(ctx, maxOvertimeFactor*r.opts.Duration)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sampleCtx, stopSamples := context.WithCancel(ctx)
	defer stopSamples()
	var load, samples sync.WaitGroup
	load.Go(func() { r.generateLoad(loadCtx) })
	samples.Go(func() { r.sampleVersions(sampleCtx) })
	r.executePlan(planCtx)
	sleep(ctx, r.opts.Duration-time.Since(r.start))
	stopLoad()
	load.Wait()
	r.quiesce(ctx)
	stopSamples()
	samples.Wait()
	return r.newResult(), nil
}

// quiesce waits until all calls have completed and no request runs at a target, at
// most quiesceTimeout. It adds a violation for each call and for requests that are
// still unfinished, then checks the interrupted requests.
func (r *run) quiesce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	for _, c := range r.h.Calls() {
		select {
		case <-c.Done():
		case <-ctx.Done():
		}
		if result := c.Result(); result.Ended.IsZero() {
			r.addViolation(GuaranteeCompletion, "%s (%s) has not completed %v after the load stopped", c.Request.Name, result.ID, quiesceTimeout)
		}
	}
	if !harness.Await(ctx, func() bool { return r.h.InProgress() == 0 }) {
		r.addViolation(GuaranteeCompletion, "%d requests are still running at targets %v after the load stopped", r.h.InProgress(), quiesceTimeout)
	}
	r.checkInterrupted(ctx)
}

// sleep waits for d or until ctx is done. It returns false if ctx was done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) addViolation(guarantee, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, harness.Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// randomInt returns a random number in [0, n).
func (r *run) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// Package dispatcher queues requests for the targets that its host owns. It sends
// each request to at most one target, at most once, relays the answer to the gate
// and keeps the outcome for a limited time. A single goroutine, the event loop of
// Run, accesses the tables; other goroutines post functions to it.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/measure"
	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Intervals and limits of the dispatcher.
const (
	// tickInterval is the maximum time between two scheduling passes while the
	// dispatcher has requests.
	tickInterval = 10 * time.Millisecond
	// measureInterval is the minimum time between two updates of the targets'
	// windows (the limits on their concurrent requests).
	measureInterval = 100 * time.Millisecond
	// orphanGrace is how long a queued request waits for its gate to attach again
	// after the gate's connection was closed.
	orphanGrace = 5 * time.Second
	// finishedTTL and maxFinished limit the age and the number of the finished
	// requests kept for lookups, and of the tombstones of cancelled requests.
	finishedTTL     = 120 * time.Second
	maxFinished     = 16384
	postQueueLength = 1024
)

// Membership provides the ownership and the state of targets.
type Membership interface {
	// Owner returns the host that currently owns a target.
	Owner(id tables.TargetID, domain tables.DomainID) tables.HostID
	// TargetState returns the state of a target in the host list; empty if the
	// host list does not contain the target.
	TargetState(id tables.TargetID) tables.HostState
}

// Quarantine decides by their fingerprints which requests may run. It refuses or
// isolates requests that are suspected of crashing targets.
type Quarantine interface {
	// RecordCrash records the fingerprints of the requests that were running at a
	// target when it crashed. The channel is closed once all reachable peers have
	// received the report.
	RecordCrash(id tables.TargetID, inFlight []SuspectFingerprint) <-chan struct{}
	// Check reports whether requests with fingerprint f are refused, and whether
	// they may run only while no other request runs at the target.
	Check(f tables.Fingerprint) (refused, mustRunAlone bool)
}

// SuspectFingerprint is the fingerprint of one or more requests that were running at a target
// when it crashed.
type SuspectFingerprint struct {
	Fingerprint tables.Fingerprint
	Customer    tables.CustomerID
	Service     tables.ServiceID
	// Request is one of the requests with the fingerprint.
	Request tables.RequestID
}

// Outcomes records the outcomes of keyed requests.
type Outcomes interface {
	// Record stores the outcome of a keyed request that ran.
	Record(ctx context.Context, r peer.Record) error
}

// Targets connects to targets.
type Targets interface {
	// Engine returns the client of the model engine at address.
	Engine(address string) target.Engine
	// Plain returns the client of the plain service at address.
	Plain(address string, service tables.ServiceID) target.PlainService
}

// Observer receives the events of the dispatcher that feed the metrics.
type Observer interface {
	// Dispatched is called when a request is sent to a target.
	Dispatched(service tables.ServiceID, tier int, queued time.Duration)
	// Ended is called when a request that was submitted to this dispatcher has an
	// outcome, with or without having run.
	Ended(r *tables.Request, f peer.Finished, now time.Time)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Host       tables.HostID
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Tracer     trace.Tracer
	Document   func() *config.Document
	Membership Membership
	Quarantine Quarantine
	Outcomes   Outcomes
	Targets    Targets
	Observer   Observer
}

// Dispatcher queues requests, sends them to targets and relays their answers. Its
// exported methods are safe for concurrent use.
type Dispatcher struct {
	Options
	ctx        context.Context
	posts      chan func()
	state      *schedule.State
	jobs       map[tables.RequestID]*job
	finished   *expirable.LRU[tables.RequestID, *job]
	tombstones *expirable.LRU[tables.RequestID, struct{}]
	// crashReported holds, for each target, the channel that the quarantine
	// returned for the latest crash.
	crashReported map[tables.TargetID]<-chan struct{}
	// reach tells whether this host reaches targets.
	reach targetReach
	// loadedOrders holds, for each engine, the order that the engine last
	// reported as completed.
	loadedOrders map[tables.TargetID]target.Order
	draining     bool
	lastMeasure  time.Time
	goroutines   sync.WaitGroup
}

// New returns a Dispatcher, which does nothing until Run is called. Its work ends
// with ctx.
func New(ctx context.Context, o Options) *Dispatcher {
	return &Dispatcher{
		Options:       o,
		ctx:           ctx,
		posts:         make(chan func(), postQueueLength),
		state:         schedule.NewState(),
		crashReported: make(map[tables.TargetID]<-chan struct{}),
		loadedOrders:  make(map[tables.TargetID]target.Order),
		jobs:          make(map[tables.RequestID]*job),
		finished:      expirable.NewLRU[tables.RequestID, *job](maxFinished, nil, finishedTTL),
		tombstones:    expirable.NewLRU[tables.RequestID, struct{}](maxFinished, nil, finishedTTL),
	}
}

// Run is the event loop. It returns when the context passed to New ends, and
// abandons the requests that are running then. In a planned shutdown, call Drain
// first.
func (d *Dispatcher) Run() {
	d.SyncTargets()
	for {
		select {
		case <-d.ctx.Done():
			d.goroutines.Wait()
			return
		case f := <-d.posts:
			f()
			d.runPosted()
		case <-d.nextTick():
		}
		d.tick()
	}
}

// nextTick returns the channel that triggers the next scheduling pass if nothing
// is posted before. It returns nil if the dispatcher has no requests.
func (d *Dispatcher) nextTick() <-chan time.Time {
	if len(d.jobs) == 0 {
		return nil
	}
	return d.Clock.After(tickInterval)
}

// runPosted runs the functions that are already posted, so that a burst of them
// needs a single scheduling pass.
func (d *Dispatcher) runPosted() {
	for range postQueueLength {
		select {
		case f := <-d.posts:
			f()
		default:
			return
		}
	}
}

// post queues f for the event loop and does not wait until f has run. It drops f
// if the dispatcher's context has ended.
func (d *Dispatcher) post(f func()) {
	select {
	case d.posts <- f:
	case <-d.ctx.Done():
	}
}

// callInLoop runs f in the event loop and waits for its result.
func callInLoop[T any](ctx context.Context, d *Dispatcher, f func() T) (T, error) {
	done := make(chan T, 1)
	select {
	case d.posts <- func() { done <- f() }:
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
	select {
	case v := <-done:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

func (d *Dispatcher) tick() {
	now := d.Clock.Now()
	if now.Sub(d.lastMeasure) >= measureInterval {
		d.lastMeasure = now
		measure.Tick(now, d.state.Targets)
		d.dropOrphans(now)
	}
	for _, decision := range schedule.Tick(now, d.state) {
		d.applyDecision(decision)
	}
}

func (d *Dispatcher) applyDecision(decision tables.Decision) {
	j := d.jobs[decision.Request]
	if j == nil {
		return
	}
	switch decision.Action {
	case tables.Start:
		d.start(j, decision.Target)
	case tables.Shed:
		d.finish(j, peer.Finished{Kind: decision.Kind, RetryAfter: decision.RetryAfter})
	case tables.Cancel:
		d.cancelRunning(j, decision.Kind)
	}
}

// Summary returns the summaries of the owned targets, which gates use to route
// requests. It returns nil if ctx ends first.
func (d *Dispatcher) Summary(ctx context.Context) []tables.TargetSummary {
	s, err := callInLoop(ctx, d, d.summarize)
	if err != nil {
		return nil
	}
	return s
}

func (d *Dispatcher) summarize() []tables.TargetSummary {
	return d.addUnloaded(schedule.Summary(d.Clock.Now(), d.state))
}

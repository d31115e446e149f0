// Package dispatcher owns some targets: it queues requests in front of them,
// sends each request once, follows its answer and keeps the outcome for a
// while. One goroutine owns all tables; everything else posts to it.
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

// Periods and bounds of the dispatcher.
const (
	// tickPeriod is the longest time between two scheduling decisions while
	// requests wait.
	tickPeriod = 10 * time.Millisecond
	// measurePeriod is the time between updates of windows.
	measurePeriod = 100 * time.Millisecond
	// orphanGrace is how long a queued request waits for its gate to attach
	// again after the connection broke.
	orphanGrace = 5 * time.Second
	// keepFinished and keepCount bound the outcomes kept for look-up.
	keepFinished = 120 * time.Second
	keepCount    = 16384
	postLength   = 1024
)

// Membership is what the dispatcher reads of other hosts and targets.
type Membership interface {
	// Owner returns the host that owns a target now.
	Owner(id tables.TargetID, domain tables.DomainID) tables.HostID
	// TargetState returns the host list's word; empty when not listed.
	TargetState(id tables.TargetID) tables.HostState
}

// Quarantine decides which content may run.
type Quarantine interface {
	// Crashed records the content in flight at a target that crashed. The
	// channel is closed once the peers that could be reached have been told.
	Crashed(id tables.TargetID, inFlight []Suspect) <-chan struct{}
	// Check returns whether f is refused, or may run only alone.
	Check(f tables.Fingerprint) (refused, alone bool)
}

// Suspect is content that was in flight at a crash.
type Suspect struct {
	Fingerprint tables.Fingerprint
	Customer    tables.CustomerID
	Service     tables.ServiceID
	// Request is one request with the content.
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
	Plain(address string, service tables.ServiceID) target.Plain
}

// Observer is told what the dispatcher does; it feeds the metrics.
type Observer interface {
	// Dispatched is called when a request is sent to a target.
	Dispatched(service tables.ServiceID, tier int, queued time.Duration)
	// Ended is called when a request leaves the dispatcher.
	Ended(r *tables.Request, f peer.Finished, now time.Time)
}

// Options are the collaborators of a Dispatcher.
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

// Dispatcher queues, sends and follows requests.
type Dispatcher struct {
	Options
	ctx        context.Context
	posts      chan func()
	state      *schedule.State
	jobs       map[tables.RequestID]*job
	kept       *expirable.LRU[tables.RequestID, *job]
	tombstones *expirable.LRU[tables.RequestID, struct{}]
	// warned holds, by target, the channel of the latest crash.
	warned map[tables.TargetID]<-chan struct{}
	// held is the order that each engine last stated as carried out.
	held     map[tables.TargetID]target.Order
	leaving  bool
	measured time.Time
	running  sync.WaitGroup
}

// New returns a Dispatcher that does nothing before Run; its work ends with ctx.
func New(ctx context.Context, o Options) *Dispatcher {
	return &Dispatcher{
		Options:    o,
		ctx:        ctx,
		posts:      make(chan func(), postLength),
		state:      schedule.NewState(),
		warned:     make(map[tables.TargetID]<-chan struct{}),
		held:       make(map[tables.TargetID]target.Order),
		jobs:       make(map[tables.RequestID]*job),
		kept:       expirable.NewLRU[tables.RequestID, *job](keepCount, nil, keepFinished),
		tombstones: expirable.NewLRU[tables.RequestID, struct{}](keepCount, nil, keepFinished),
	}
}

// Run owns the tables until the context of New ends. Requests that run at that
// moment are abandoned; Drain comes first in a planned stop.
func (d *Dispatcher) Run() {
	d.Sync()
	for {
		select {
		case <-d.ctx.Done():
			d.running.Wait()
			return
		case f := <-d.posts:
			f()
			d.drainPosts()
		case <-d.nextTick():
		}
		d.tick()
	}
}

// nextTick returns the channel of the next decision that time alone brings;
// without requests there is none.
func (d *Dispatcher) nextTick() <-chan time.Time {
	if len(d.jobs) == 0 {
		return nil
	}
	return d.Clock.After(tickPeriod)
}

// drainPosts runs what has been posted so far, so that one scheduling decision
// serves a whole burst.
func (d *Dispatcher) drainPosts() {
	for range postLength {
		select {
		case f := <-d.posts:
			f()
		default:
			return
		}
	}
}

// post hands f to the goroutine that owns the tables.
func (d *Dispatcher) post(f func()) {
	select {
	case d.posts <- f:
	case <-d.ctx.Done():
	}
}

// ask runs f on the owning goroutine and waits for it.
func ask[T any](ctx context.Context, d *Dispatcher, f func() T) (T, error) {
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
	if now.Sub(d.measured) >= measurePeriod {
		d.measured = now
		measure.Tick(now, d.state.Targets)
		d.dropOrphans(now)
	}
	for _, decision := range schedule.Tick(now, d.state) {
		d.carryOut(decision)
	}
}

func (d *Dispatcher) carryOut(decision tables.Decision) {
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

// Summary returns what gates should know of the owned targets.
func (d *Dispatcher) Summary(ctx context.Context) []tables.TargetSummary {
	s, err := ask(ctx, d, d.summary)
	if err != nil {
		return nil
	}
	return s
}

func (d *Dispatcher) summary() []tables.TargetSummary {
	return d.nameUnloaded(schedule.Summary(d.Clock.Now(), d.state))
}

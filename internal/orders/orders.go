// Package orders holds leases through the log and, under them, orders engines
// to hold models, adapters, versions and roles.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/systems/placement"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// tickInterval is the time between two looks at leases and engines.
	tickInterval = 1 * time.Second
	// checkInterval is the time between two readings of one engine.
	checkInterval = 10 * time.Second
	// orderLeasePrefix is followed by a failure domain.
	orderLeasePrefix = "orders/"
)

// Options are the parts of a Controller.
type Options struct {
	Self   tables.Host
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Config returns the configuration in force; nil while there is none.
	Config func() *config.Document
	// Live returns the hosts that may hold leases.
	Live func() []tables.Host
	// Engine returns the client of an engine.
	Engine func(id tables.TargetID, address string) target.Engine
	// Weights is the weight store; nil when loads need no permit.
	Weights ports.WeightStore
	// Measure returns the work asked for at the dispatcher of a host; nil stands
	// for equal demand of all services.
	Measure func(ctx context.Context, h tables.Host) (demand.Rates, error)
}

// Controller holds leases on failure domains and keeps their engines as
// placed.
type Controller struct {
	opts   Options
	leases *streams

	mu sync.Mutex
	// domains are the plans of the failure domains whose lease is held.
	domains map[tables.DomainID]*domain
}

// domain is the work under one lease.
type domain struct {
	fence   ports.Offset
	plan    *placement.Plan
	engines map[tables.TargetID]*engine
	// measured is the demand here.
	measured measured
}

// engine is what the controller knows of one engine.
type engine struct {
	address string
	// adopted is set once the engine's models were taken into the plan.
	adopted bool
	// ordered is set once the engine took an order under the current fence.
	ordered bool
	// fenceSeen is set once the engine stated the current fence.
	fenceSeen bool
	// busy is set while a reading or order is under way.
	busy  bool
	check time.Time
	// wanted is the order of the plan, without a fence.
	wanted target.Order
	// weight is the lease of the load under way; empty when there is none.
	weight string
}

// New returns a controller that holds nothing until Run.
func New(opts Options) *Controller {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Self.Incarnation == 0 {
		opts.Self.Incarnation = opts.Clock.Now().UnixNano()
	}
	return &Controller{
		opts:    opts,
		leases:  newStreams(opts),
		domains: make(map[tables.DomainID]*domain),
	}
}

// Run holds leases and orders engines until ctx ends. It then releases the
// leases and returns the error of ctx.
func (c *Controller) Run(ctx context.Context) error {
	err := c.tickLoop(ctx)
	c.leases.releaseAll(context.WithoutCancel(ctx))
	return err
}

// Holds returns the names of the leases held now, sorted.
func (c *Controller) Holds() []string { return c.leases.names() }

func (c *Controller) tickLoop(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var work errgroup.Group
	work.SetLimit(maxEnginesAtOnce)
	defer func() { _ = work.Wait() }()
	for {
		c.tick(ctx, &work)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

func (c *Controller) tick(ctx context.Context, work *errgroup.Group) {
	doc := c.opts.Config()
	if doc == nil {
		return
	}
	c.plan(doc)
	c.leases.keep(ctx, c.wantedLeases(doc))
	for _, r := range c.dueReports() {
		work.TryGo(func() error {
			c.leases.report(ctx, r)
			return nil
		})
	}
	for _, id := range c.dueMeasurements() {
		work.TryGo(func() error {
			c.measure(ctx, id)
			return nil
		})
	}
	for _, job := range c.due() {
		started := work.TryGo(func() error {
			c.reconcile(ctx, job)
			return nil
		})
		if !started {
			c.idle(job)
		}
	}
}

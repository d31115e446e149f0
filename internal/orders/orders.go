// Package orders is the controller of the model engines. It acquires leases
// through the log and, under a failure domain's lease, sends orders that state
// the models, adapters, model version and role of each engine in the domain.
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
	// tickInterval is the interval at which leases are maintained and due engine
	// checks are started.
	tickInterval = 1 * time.Second
	// checkInterval is the time from the check of an engine in its wanted state to
	// the next check.
	checkInterval = 10 * time.Second
	// orderLeasePrefix followed by a failure domain is the name of the domain's
	// lease.
	orderLeasePrefix = "orders/"
)

// Options are the options and dependencies of a Controller.
type Options struct {
	Self   tables.Host
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Config returns the current configuration, or nil if there is none.
	Config func() *config.Document
	// LiveHosts returns the live hosts, which may hold leases.
	LiveHosts func() []tables.Host
	// Engine returns the client of an engine.
	Engine func(id tables.TargetID, address string) target.Engine
	// WeightStore is the weight store. If it is nil, loads do not need permits.
	WeightStore ports.WeightStore
	// MeasureDemand queries the dispatcher of a host for its demand. If it is nil, this
	// controller does not report demand. Without reports of any controller, the
	// demand counts as equal for all services.
	MeasureDemand func(ctx context.Context, h tables.Host) (demand.Rates, error)
}

// Controller acquires the leases of failure domains, plans the placement of
// models on their engines, and sends orders until the engines match the plan.
type Controller struct {
	opts   Options
	leases *leaseStreams

	mu sync.Mutex
	// domains contains the failure domains whose lease is held.
	domains map[tables.DomainID]*domain
}

// domain is the state of a failure domain whose lease is held.
type domain struct {
	fence       ports.Offset
	plan        *placement.Plan
	engines     map[tables.TargetID]*engine
	measurement demandMeasurement
}

// engine is the state of one engine of a domain.
type engine struct {
	address string
	// adopted is set once the engine was read for the first time and the models
	// that it had loaded were added to the plan. It is also set if that read failed.
	adopted bool
	// orderApplied is set once the engine has accepted an order with the domain's
	// fencing number.
	orderApplied bool
	// fenceSeen is set once the engine has reported an order with the domain's
	// fencing number.
	fenceSeen bool
	// busy is set while there is a job for the engine that has not ended.
	busy bool
	// nextCheck is when the next check of the engine is due.
	nextCheck time.Time
	// wanted is the order that the plan requires, without a fencing number. Its
	// Role is empty until the plan covers the engine.
	wanted target.Order
	// weightLease is the name of the weight-store lease for the engine's current
	// load; empty if there is none.
	weightLease string
}

// New returns a controller. It acquires no leases until Run is called.
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
		leases:  newLeaseStreams(opts),
		domains: make(map[tables.DomainID]*domain),
	}
}

// Run maintains leases and sends orders to engines until ctx is done. It then
// releases the leases and returns ctx.Err().
func (c *Controller) Run(ctx context.Context) error {
	err := c.tickLoop(ctx)
	c.leases.releaseAll(context.WithoutCancel(ctx))
	return err
}

// HeldLeases returns the sorted names of the leases that are held now.
func (c *Controller) HeldLeases() []string { return c.leases.heldNames() }

func (c *Controller) tickLoop(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var work errgroup.Group
	work.SetLimit(maxConcurrentJobs)
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
	c.updatePlans(doc)
	c.leases.maintain(ctx, c.wantedLeases(doc))
	for _, r := range c.dueReports() {
		work.TryGo(func() error {
			c.leases.appendReport(ctx, r)
			return nil
		})
	}
	for _, id := range c.dueMeasurements() {
		work.TryGo(func() error {
			c.measureDemand(ctx, id)
			return nil
		})
	}
	for _, job := range c.dueJobs() {
		started := work.TryGo(func() error {
			c.reconcile(ctx, job)
			return nil
		})
		if !started {
			c.cancelJob(job)
		}
	}
}

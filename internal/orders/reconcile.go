package orders

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// callTimeout is the timeout of reading an engine's state and of acquiring a
	// permit from the weight store.
	callTimeout = 2 * time.Second
	// loadCheckInterval is the time to the next check of an engine that is loading
	// or has just accepted an order.
	loadCheckInterval = 1 * time.Second
	// retryInterval is the time to the next check of an engine that could not be
	// read or to which no order could be sent.
	retryInterval = 2 * time.Second
)

// reconcile checks one engine and schedules its next check.
func (c *Controller) reconcile(ctx context.Context, j reconcileJob) {
	next := c.checkEngine(ctx, j)
	c.mu.Lock()
	defer c.mu.Unlock()
	j.engine.busy = false
	j.engine.nextCheck = c.opts.Clock.Now().Add(next)
}

// checkEngine reads the state of an engine and returns the time to the next check.
// It sends the wanted order if the engine's state differs from it, if the engine
// has not yet accepted an order under the current lease, or if an order under an
// earlier lease has overwritten one under the current lease. It sends nothing
// after the first read of the engine, while the engine is loading or has no
// wanted order, or if the engine has an order under a later lease.
func (c *Controller) checkEngine(ctx context.Context, j reconcileJob) time.Duration {
	client := c.opts.Engine(j.id, j.engine.address)
	state, err := c.readState(ctx, client)
	if err != nil {
		c.adoptModels(j, target.OrderState{})
		c.clearWeightLease(j)
		return retryInterval
	}
	if c.adoptModels(j, state) {
		return 0
	}
	overwritten := c.isOverwritten(j, state)
	if state.Loading {
		return loadCheckInterval
	}
	if planned := j.wanted.Role != ""; !planned || state.Order.Fence > int64(j.fence) {
		return retryInterval
	}
	if SameState(state.Order, j.wanted) && c.isOrderApplied(j) && !overwritten {
		c.clearWeightLease(j)
		return checkInterval
	}
	if c.needsLoad(state.Order, j.wanted) && !c.acquirePermit(ctx, j) {
		return retryInterval
	}
	if !c.sendOrder(ctx, j, client) {
		return retryInterval
	}
	return loadCheckInterval
}

func (c *Controller) readState(ctx context.Context, client target.Engine) (target.OrderState, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, callTimeout)
	defer cancel()
	return client.State(ctx)
}

// adoptModels adds the models that an engine has loaded to the plan if this is
// the first read of the engine, and reports whether it was the first read. state
// is empty if the read failed.
func (c *Controller) adoptModels(j reconcileJob, state target.OrderState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.engine.adopted {
		return false
	}
	j.engine.adopted = true
	if d := c.domains[j.domain]; d != nil {
		d.plan.Adopt(c.opts.Clock.Now(), j.id, state.Order.Models)
	}
	return true
}

// sendOrder sends the wanted order to an engine and reports whether the engine
// accepted it. It checks the lease immediately before sending.
func (c *Controller) sendOrder(ctx context.Context, j reconcileJob, client target.Engine) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, lease.OrderTimeout)
	defer cancel()
	hold, ok := c.usableHold(j.domain, j.fence)
	if !ok {
		return false
	}
	o := j.wanted
	o.Fence = int64(hold.Fence)
	err := client.Apply(ctx, o)
	fields := []zap.Field{zap.String("target", string(j.id)), zap.Int64("fence", o.Fence)}
	if err != nil {
		if errors.Is(err, target.ErrFenced) || errors.Is(err, target.ErrNotAdmitted) {
			event.OrderRefused.Log(c.opts.Logger, append(fields, zap.Error(err))...)
		}
		return false
	}
	event.OrderSent.Log(c.opts.Logger, append(fields, zap.Strings("models", o.Models))...)
	c.mu.Lock()
	j.engine.orderApplied = true
	c.mu.Unlock()
	return true
}

// isOrderApplied reports whether the engine has accepted an order under the
// current lease.
func (c *Controller) isOrderApplied(j reconcileJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return j.engine.orderApplied
}

// isOverwritten reports whether an order under an earlier lease has overwritten an
// order under the current lease. This can't be detected at an engine that does not
// report fencing numbers.
func (c *Controller) isOverwritten(j reconcileJob, state target.OrderState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Order.Fence == int64(j.fence) {
		j.engine.fenceSeen = true
	}
	return j.engine.fenceSeen && state.Order.Fence < int64(j.fence)
}

// SameState reports whether two orders describe the same desired state, whatever
// their fencing numbers.
func SameState(a, b target.Order) bool {
	return a.Role == b.Role && a.Version == b.Version && sameSet(a.Models, b.Models) && sameSet(a.Adapters, b.Adapters)
}

func sameSet(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// needsLoad reports whether the engine must load weights to carry out an order
// and needs a permit for it.
func (c *Controller) needsLoad(current, wanted target.Order) bool {
	if c.opts.WeightStore == nil {
		return false
	}
	missing := func(have, want []string) bool {
		return slices.ContainsFunc(want, func(s string) bool { return !slices.Contains(have, s) })
	}
	return current.Version != wanted.Version || missing(current.Models, wanted.Models) || missing(current.Adapters, wanted.Adapters)
}

// acquirePermit acquires a permit from the weight store under a weight-store
// lease and reports whether the load may start. It returns false while the lease
// is not held yet; the next tick tries to acquire it.
func (c *Controller) acquirePermit(ctx context.Context, j reconcileJob) bool {
	name := c.chooseWeightLease(j)
	if name == "" {
		return false
	}
	hold, ok := c.leases.usableHold(name)
	if !ok {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, callTimeout)
	defer cancel()
	if _, err := c.opts.WeightStore.Acquire(ctx, string(j.id), int64(hold.Fence)); err != nil {
		c.opts.Logger.Debug("weight store did not grant a load permit", zap.String("target", string(j.id)), zap.Error(err))
		return false
	}
	return true
}

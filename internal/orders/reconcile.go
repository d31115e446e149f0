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
	// stateTimeout bounds one reading of an engine.
	stateTimeout = 2 * time.Second
	// loadCheckInterval is the time between two readings of a loading engine.
	loadCheckInterval = 1 * time.Second
	// retryInterval is the wait before an order is tried again.
	retryInterval = 2 * time.Second
)

// reconcile reads one engine and orders it when it does not hold what it
// should, or has not yet seen the current fencing number.
func (c *Controller) reconcile(ctx context.Context, j job) {
	next := c.look(ctx, j)
	c.mu.Lock()
	defer c.mu.Unlock()
	j.engine.busy = false
	j.engine.check = c.opts.Clock.Now().Add(next)
}

// look returns the time to the next look.
func (c *Controller) look(ctx context.Context, j job) time.Duration {
	client := c.opts.Engine(j.id, j.engine.address)
	state, err := c.state(ctx, client)
	if err != nil {
		c.adopt(j, target.OrderState{})
		c.freeWeight(j)
		return retryInterval
	}
	if c.adopt(j, state) {
		return 0
	}
	overwritten := c.overwritten(j, state)
	if state.Loading {
		return loadCheckInterval
	}
	if planned := j.wanted.Role != ""; !planned || state.Order.Fence > int64(j.fence) {
		return retryInterval
	}
	if Same(state.Order, j.wanted) && c.ordered(j) && !overwritten {
		c.freeWeight(j)
		return checkInterval
	}
	if c.needsLoad(state.Order, j.wanted) && !c.permit(ctx, j) {
		return retryInterval
	}
	if !c.order(ctx, j, client) {
		return retryInterval
	}
	return loadCheckInterval
}

func (c *Controller) state(ctx context.Context, client target.Engine) (target.OrderState, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, stateTimeout)
	defer cancel()
	return client.State(ctx)
}

// adopt takes the first reading of an engine into the plan and reports whether
// this was the first.
func (c *Controller) adopt(j job, state target.OrderState) bool {
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

// order sends the wanted state under the lease, which is checked immediately
// before, and reports whether the engine took it.
func (c *Controller) order(ctx context.Context, j job, client target.Engine) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, lease.OrderTimeout)
	defer cancel()
	hold, ok := c.hold(j.domain, j.fence)
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
	j.engine.ordered = true
	c.mu.Unlock()
	return true
}

// ordered reports whether the engine took an order under the current fence.
func (c *Controller) ordered(j job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return j.engine.ordered
}

// overwritten reports whether an earlier holder's order came after one under
// the current fence. An engine that states no fences gives no sign of it.
func (c *Controller) overwritten(j job, state target.OrderState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Order.Fence == int64(j.fence) {
		j.engine.fenceSeen = true
	}
	return j.engine.fenceSeen && state.Order.Fence < int64(j.fence)
}

// Same reports whether two orders ask for the same state; fences aside.
func Same(a, b target.Order) bool {
	return a.Role == b.Role && a.Version == b.Version && sameSet(a.Models, b.Models) && sameSet(a.Adapters, b.Adapters)
}

func sameSet(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// needsLoad reports whether an order makes the engine fetch weights.
func (c *Controller) needsLoad(held, wanted target.Order) bool {
	if c.opts.Weights == nil {
		return false
	}
	missing := func(have, want []string) bool {
		return slices.ContainsFunc(want, func(s string) bool { return !slices.Contains(have, s) })
	}
	return held.Version != wanted.Version || missing(held.Models, wanted.Models) || missing(held.Adapters, wanted.Adapters)
}

// permit gets one of the weight-store leases and a permit of the store; it
// reports whether the load may start.
func (c *Controller) permit(ctx context.Context, j job) bool {
	name := c.takeWeight(j)
	if name == "" {
		return false
	}
	hold, ok := c.leases.hold(name)
	if !ok {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, stateTimeout)
	defer cancel()
	if _, err := c.opts.Weights.Acquire(ctx, string(j.id), int64(hold.Fence)); err != nil {
		c.opts.Logger.Debug("weight store gave no permit", zap.String("target", string(j.id)), zap.Error(err))
		return false
	}
	return true
}

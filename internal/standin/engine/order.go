package engine

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// orderState tracks the order in effect, which lists the models that the engine
// serves. Without an order in effect the engine serves every model. It is not
// safe for concurrent use.
type orderState struct {
	// fence is the highest fencing number applied since the last crash.
	fence      int64
	hasCurrent bool
	current    target.Order
	// previous is in effect until loadingUntil, if hasPrevious is set.
	previous     target.Order
	loadingUntil time.Time
	hasPrevious  bool
}

func (s *orderState) apply(now time.Time, o target.Order, loadTime time.Duration) {
	s.previous, s.hasPrevious = s.effective(now)
	s.current = o
	s.hasCurrent = true
	s.fence = max(s.fence, o.Fence)
	s.loadingUntil = now.Add(loadTime)
}

func (s *orderState) isLoading(now time.Time) bool {
	return s.hasCurrent && now.Before(s.loadingUntil)
}

// effective returns the order in effect, and false if there is none.
func (s *orderState) effective(now time.Time) (target.Order, bool) {
	if s.isLoading(now) {
		return s.previous, s.hasPrevious
	}
	return s.current, s.hasCurrent
}

func (s *orderState) serves(now time.Time, model, adapter string) bool {
	o, ok := s.effective(now)
	if !ok {
		return true
	}
	return slices.Contains(o.Models, model) && (adapter == "" || slices.Contains(o.Adapters, adapter))
}

// applyOrder applies an order. It returns false if it refuses the order for a
// stale fencing number, which it does only with ChecksFencing.
func (e *Engine) applyOrder(o target.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence < e.order.fence {
		e.records.StaleOrdersRefused++
		return false
	}
	if o.Fence < e.order.fence {
		e.records.StaleOrdersApplied++
	}
	e.records.Orders = append(e.records.Orders, o)
	e.order.apply(e.opts.Clock.Now(), o, e.opts.LoadTime)
	return true
}

func (e *Engine) orderStatus() target.OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.OrderState{Order: e.order.current, Loading: e.order.isLoading(e.opts.Clock.Now())}
}

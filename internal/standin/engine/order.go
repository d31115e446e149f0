package engine

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

// orderState is what the engine holds by its orders. An engine without an
// order serves every model.
type orderState struct {
	// fence is the highest fencing number seen.
	fence   int64
	applied bool
	current target.Order
	// previous serves until loadedAt.
	previous target.Order
	loadedAt time.Time
	hadOrder bool
}

func (s *orderState) apply(now time.Time, o target.Order, loadTime time.Duration) {
	s.previous, s.hadOrder = s.holds(now)
	s.current = o
	s.applied = true
	s.fence = max(s.fence, o.Fence)
	s.loadedAt = now.Add(loadTime)
}

func (s *orderState) loading(now time.Time) bool {
	return s.applied && now.Before(s.loadedAt)
}

// holds returns the order in effect; false means that there is none.
func (s *orderState) holds(now time.Time) (target.Order, bool) {
	if s.loading(now) {
		return s.previous, s.hadOrder
	}
	return s.current, s.applied
}

func (s *orderState) serves(now time.Time, model, adapter string) bool {
	o, ok := s.holds(now)
	if !ok {
		return true
	}
	return slices.Contains(o.Models, model) && (adapter == "" || slices.Contains(o.Adapters, adapter))
}

// apply takes an order, or refuses it for its old fencing number.
func (e *Engine) apply(o target.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence < e.order.fence {
		e.records.OrdersFenced++
		return false
	}
	if o.Fence < e.order.fence {
		e.records.OldOrdersApplied++
	}
	e.records.Orders = append(e.records.Orders, o)
	e.order.apply(e.opts.Clock.Now(), o, e.opts.LoadTime)
	return true
}

func (e *Engine) orderState() target.OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.OrderState{Order: e.order.current, Loading: e.order.loading(e.opts.Clock.Now())}
}

package pool

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// rolloutInterval is the time between two decisions on rollouts while one is in progress.
const rolloutInterval = 50 * time.Millisecond

// rollouts is what a coordinator knows of rollouts. The zero value knows none.
type rollouts struct {
	// restricted is true for a local fallback.
	restricted  bool
	controllers map[tables.ServiceID]*rollout.Controller
	// armed is true while a timer runs the next decisions.
	armed bool
	// active holds the orders in progress, for readers without the lock of the coordinator.
	// It is nil if there are none.
	active atomic.Pointer[map[tables.ServiceID]rollout.Order]
}

// restrictRollouts makes this the coordinator of a local fallback, which never exposes a new
// version.
func (c *Coordinator) restrictRollouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts.restricted = true
}

// SetRollouts replaces the orders in force, at most one for each service. records are the
// stored records by service as far as this host knows them. A coordinator takes over what
// they say, unless it has decided later. It may be called again at any time with what has
// changed.
func (c *Coordinator) SetRollouts(orders []rollout.Order, records map[tables.ServiceID]rollout.Record, bounds rollout.Bounds) {
	targets := c.view.Targets()
	c.mu.Lock()
	now := c.clock.Now()
	changed := false
	for _, order := range ordersInForce(orders, records) {
		changed = c.setRollout(now, order, records, bounds) || changed
	}
	c.setRolloutTargets(targets)
	c.updateActive()
	c.armRollouts()
	c.mu.Unlock()
	c.notifyRolloutChange(changed)
	c.schedule()
}

// ordersInForce returns the orders, with those that only a record tells: an order may be
// lost when the store is restored, or be read later than its record.
func ordersInForce(orders []rollout.Order, records map[tables.ServiceID]rollout.Record) []rollout.Order {
	byService := make(map[tables.ServiceID]rollout.Order, len(orders))
	for _, order := range orders {
		byService[order.Service] = order
	}
	for service, r := range records {
		order, known := byService[service]
		if !known || order.ID.Incarnation == r.Order.Incarnation && order.ID.Offset < r.Order.Offset {
			byService[service] = r.OrderOf()
		}
	}
	var out []rollout.Order
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		out = append(out, byService[service])
	}
	return out
}

// setRollout puts an order in force and takes over its stored record. It returns whether the
// phase has changed. The lock must be held.
func (c *Coordinator) setRollout(now time.Time, order rollout.Order, records map[tables.ServiceID]rollout.Record, bounds rollout.Bounds) bool {
	record, stored := records[order.Service]
	controller := c.rollouts.controllers[order.Service]
	begun := false
	switch {
	case controller == nil:
		var previous *rollout.Record
		if stored && !order.Same(record) {
			previous = &record
		}
		controller = c.beginRollout(now, order, bounds, previous)
		begun = true
	case !order.Same(controller.Record(now)):
		previous := controller.Record(now)
		event.RolloutReplaced.Log(c.logger, recordFields(previous)...)
		controller = c.beginRollout(now, order, bounds, &previous)
		begun = true
	default:
		controller.SetOrder(order)
		controller.SetBounds(bounds)
	}
	if stored && order.Same(record) && controller.Adopt(now, record) {
		event.RolloutAdopted.Log(c.logger, recordFields(record)...)
		return true
	}
	return begun
}

func (c *Coordinator) beginRollout(now time.Time, order rollout.Order, bounds rollout.Bounds, previous *rollout.Record) *rollout.Controller {
	controller := rollout.NewController(now, order, bounds, previous)
	controller.SetShare(c.share())
	if c.rollouts.restricted {
		controller.Restrict()
	}
	if now.Sub(c.takeoverAt) < takeoverGrace {
		controller.TakeOver(c.takeoverAt)
	}
	if c.rollouts.controllers == nil {
		c.rollouts.controllers = make(map[tables.ServiceID]*rollout.Controller)
	}
	c.rollouts.controllers[order.Service] = controller
	c.scheduler.SetRules(order.Service, controller)
	event.RolloutBegun.Log(c.logger, zap.String("service", string(order.Service)), zap.String("to", string(order.To)),
		zap.Int64("offset", order.ID.Offset), zap.Duration("duration", order.Duration))
	return controller
}

// setRolloutTargets passes the targets to the rollouts of their services. The lock must be
// held.
func (c *Coordinator) setRolloutTargets(targets []fleet.Target) {
	for service, controller := range c.rollouts.controllers {
		var own []fleet.Target
		for _, t := range targets {
			if t.Service == service {
				own = append(own, t)
			}
		}
		controller.SetTargets(own)
	}
}

// updateActive updates the orders in progress. The lock must be held.
func (c *Coordinator) updateActive() {
	orders := make(map[tables.ServiceID]rollout.Order)
	for service, controller := range c.rollouts.controllers {
		if !controller.Phase().Ended() {
			orders[service] = controller.Order()
		}
	}
	if len(orders) == 0 {
		c.rollouts.active.Store(nil)
		return
	}
	c.rollouts.active.Store(&orders)
}

// rolloutOrder returns the order in progress for a service, if there is one.
func (c *Coordinator) rolloutOrder(service tables.ServiceID) (rollout.Order, bool) {
	orders := c.rollouts.active.Load()
	if orders == nil {
		return rollout.Order{}, false
	}
	order, known := (*orders)[service]
	return order, known
}

// armRollouts arms the timer of the next decisions while a rollout is in progress. The lock
// must be held.
func (c *Coordinator) armRollouts() {
	if c.rollouts.armed || c.rollouts.restricted || c.rollouts.active.Load() == nil {
		return
	}
	c.rollouts.armed = true
	c.clock.AfterFunc(rolloutInterval, c.advanceRollouts)
}

// advanceRollouts takes the decisions on rollouts that are due.
func (c *Coordinator) advanceRollouts() {
	c.mu.Lock()
	c.rollouts.armed = false
	now := c.clock.Now()
	changed, advanced := false, false
	if c.coordinates(now) {
		share := c.share()
		for service, controller := range c.rollouts.controllers {
			controller.SetShare(share)
			old := func(v tables.SoftwareVersion) bool { return controller.Contains(rollout.OldTargets, "", v) }
			before := controller.Phase()
			if step, ok := controller.Advance(now, c.scheduler.InUseAt(service, old)); ok {
				logStep(c.logger, step)
				advanced = true
				changed = changed || step.Phase != before
			}
		}
	}
	c.updateActive()
	c.armRollouts()
	c.mu.Unlock()
	c.notifyRolloutChange(changed)
	if advanced {
		c.schedule()
	}
}

// coordinates reports whether hosts use this one as the coordinator. The lock must be held.
func (c *Coordinator) coordinates(now time.Time) bool {
	return !c.rollouts.restricted && now.Sub(c.lastContact) <= takeoverTimeout
}

func (c *Coordinator) notifyRolloutChange(changed bool) {
	if changed && c.OnRolloutChange != nil {
		c.OnRolloutChange()
	}
}

// takeOverRollouts begins the pause of exposure after a takeover. The lock must be held.
func (c *Coordinator) takeOverRollouts(now time.Time) {
	for _, controller := range c.rollouts.controllers {
		controller.TakeOver(now)
	}
}

// ConfirmRollout records that a record is stored. Exposure of the new version rises only
// after the record of its phase was confirmed.
func (c *Coordinator) ConfirmRollout(r rollout.Record) {
	c.mu.Lock()
	if controller := c.rollouts.controllers[r.Service]; controller != nil {
		controller.Confirm(c.clock.Now(), r)
	}
	c.mu.Unlock()
}

// RolloutRecords returns the records that the store should hold, with those of rollouts
// that have ended, in the order of the services. It is empty on a host that is not the
// coordinator. A record differs from the one returned before at each change of the phase,
// and at most once a second otherwise.
func (c *Coordinator) RolloutRecords(now time.Time) []rollout.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.coordinates(now) {
		return nil
	}
	var out []rollout.Record
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.controllers)) {
		out = append(out, c.rollouts.controllers[service].Record(now))
	}
	return out
}

// RolloutStatus returns the state of each rollout that this host knows, in the order of the
// services.
func (c *Coordinator) RolloutStatus() []rollout.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rollout.Status
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.controllers)) {
		out = append(out, c.rollouts.controllers[service].Status())
	}
	return out
}

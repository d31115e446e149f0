package harness

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Leases returns the names of the leases that the host's controller holds according
// to its own state. It returns none if the controller is paused or not running.
func (n *Host) Leases() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.processes[ProcessController].(interface{ Leases() []string })
	if !ok || n.paused {
		return nil
	}
	return c.Leases()
}

// Holder returns the ID of the first host, in order of names, whose Leases include
// the given lease. It returns the empty ID if there is none.
func (h *Harness) Holder(name string) tables.HostID {
	for _, host := range h.Hosts() {
		if slices.Contains(host.Leases(), name) {
			return host.ID
		}
	}
	return ""
}

// HoldOrders holds the orders of the host's controller until Resume. An order is
// held after the controller has checked its lease for the last time and before the
// order is sent.
func (n *Host) HoldOrders() { n.pauser.holdOrders() }

// Pause pauses the controller once at least the given number of its orders is
// held. It returns an error if ctx ends first.
func (n *Host) Pause(ctx context.Context, orders int) error {
	if err := n.AwaitHeldOrders(ctx, orders); err != nil {
		return err
	}
	n.setPaused(true)
	n.pauser.pause()
	return nil
}

// AwaitHeldOrders waits until at least the given number of the controller's orders
// is held. It returns an error if ctx ends first.
func (n *Host) AwaitHeldOrders(ctx context.Context, orders int) error {
	if !Await(ctx, func() bool { return n.pauser.heldOrderCount() >= orders }) {
		return fmt.Errorf("host %q holds %d orders, not %d", n.ID, n.pauser.heldOrderCount(), orders)
	}
	return nil
}

// Resume lets a paused controller continue and releases its held orders.
func (n *Host) Resume() {
	n.pauser.resume()
	n.setPaused(false)
}

func (n *Host) setPaused(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = paused
}

// OrderState describes the orders that an engine has received.
type OrderState struct {
	// Order is the latest order that the engine applied.
	Order target.Order
	// Current reports whether Order has the highest fencing number of all applied
	// orders.
	Current bool
	// StaleRefused counts the orders that were refused because of an old fencing
	// number, and StaleApplied those that were applied despite one.
	StaleRefused, StaleApplied int
}

// OrderState returns the order state of a model engine. Order and Current are zero
// before the first applied order.
func (t *Target) OrderState() OrderState {
	r := t.Engine.Records()
	s := OrderState{StaleRefused: r.StaleOrdersRefused, StaleApplied: r.StaleOrdersApplied}
	if len(r.Orders) == 0 {
		return s
	}
	s.Order = r.Orders[len(r.Orders)-1]
	newest := slices.MaxFunc(r.Orders, func(a, b target.Order) int { return cmp.Compare(a.Fence, b.Fence) })
	s.Current = s.Order.Fence == newest.Fence
	return s
}

// Unloaded reports whether a running dispatcher that owns the target knows that
// the model of the service is not loaded there.
func (h *Harness) Unloaded(target tables.TargetID, service tables.ServiceID) bool {
	for _, host := range h.Hosts() {
		d, ok := host.runningProcesses()[ProcessDispatcher].(interface {
			Unloaded(tables.TargetID) []tables.ServiceID
		})
		if ok && slices.Contains(d.Unloaded(target), service) {
			return true
		}
	}
	return false
}

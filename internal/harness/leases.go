package harness

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Leases returns the leases that the controller of a host may act on by its own
// word; a frozen one has none.
func (n *Host) Leases() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.processes[PartController].(interface{ Leases() []string })
	if !ok || n.frozen {
		return nil
	}
	return c.Leases()
}

// Holder returns the host that holds a lease; empty when none does.
func (h *Harness) Holder(name string) tables.HostID {
	for _, host := range h.Hosts() {
		if slices.Contains(host.Leases(), name) {
			return host.ID
		}
	}
	return ""
}

// HoldOrders keeps the orders of the host's controller, each after its last
// check of the lease, until Wake.
func (n *Host) HoldOrders() { n.freezer.hold() }

// Pause freezes the controller once a number of its orders is held. It returns
// an error when ctx ends first.
func (n *Host) Pause(ctx context.Context, orders int) error {
	if err := n.AwaitHeldOrders(ctx, orders); err != nil {
		return err
	}
	n.setFrozen(true)
	n.freezer.freeze()
	return nil
}

// AwaitHeldOrders waits until a number of orders of the controller is held.
func (n *Host) AwaitHeldOrders(ctx context.Context, orders int) error {
	if !Await(ctx, func() bool { return n.freezer.waitingOrders() >= orders }) {
		return fmt.Errorf("host %q holds %d orders back and not %d", n.ID, n.freezer.waitingOrders(), orders)
	}
	return nil
}

// Wake lets a paused controller go on and its held orders out.
func (n *Host) Wake() {
	n.freezer.wake()
	n.setFrozen(false)
}

func (n *Host) setFrozen(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = frozen
}

// Standing is the state of an engine by its orders.
type Standing struct {
	// Order is the latest that the engine took.
	Order target.Order
	// Current states that no order with a higher fencing number came before.
	Current bool
	// Refused counts the orders that were refused for their fencing number, and
	// Late those that were taken with an old one.
	Refused, Late int
}

// Standing returns the state of the engine by its orders; it is zero before
// the first one.
func (t *Target) Standing() Standing {
	r := t.Engine.Records()
	s := Standing{Refused: r.StaleOrdersRefused, Late: r.StaleOrdersApplied}
	if len(r.Orders) == 0 {
		return s
	}
	s.Order = r.Orders[len(r.Orders)-1]
	newest := slices.MaxFunc(r.Orders, func(a, b target.Order) int { return cmp.Compare(a.Fence, b.Fence) })
	s.Current = s.Order.Fence == newest.Fence
	return s
}

// Unloaded reports whether the owner of a target knows that it does not hold
// the model of a service.
func (h *Harness) Unloaded(target tables.TargetID, service tables.ServiceID) bool {
	for _, host := range h.Hosts() {
		d, ok := host.running()[PartDispatcher].(interface {
			Unloaded(tables.TargetID) []tables.ServiceID
		})
		if ok && slices.Contains(d.Unloaded(target), service) {
			return true
		}
	}
	return false
}

package watch

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// Order is the order of a rollout with the position of its record, which tells it from
// an earlier order with the same content.
type Order struct {
	fleet.Rollout
	Position Position
}

// updateOrder updates an order from its record, and reports whether the orders have
// changed. Other records of the stream are ignored, as is an order that cannot be
// decoded. The lock must be held.
func (s *State) updateOrder(r Record) bool {
	if !s.decoder.IsRollout(r.Key) {
		return false
	}
	old, known := s.orders[r.Key]
	if r.Value == nil {
		delete(s.orders, r.Key)
		return known
	}
	decoded, err := s.decoder.Rollout(r.Key, r.Value)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return false
	}
	next := Order{Rollout: decoded, Position: r.Position()}
	if next.isCopyOf(s.replacedOrders[r.Key]) {
		// The restored store shows an order that another one had replaced.
		return false
	}
	if known && old.Rollout != next.Rollout {
		s.replacedOrders[r.Key] = old
	}
	s.orders[r.Key] = next
	return !known || old != next
}

// isCopyOf reports whether o is an earlier order as a restored store shows it.
func (o Order) isCopyOf(earlier Order) bool {
	return o.Rollout == earlier.Rollout && o.Position.Offset == earlier.Position.Offset && o.Position.Incarnation > earlier.Position.Incarnation
}

// Listed reports whether the store holds a value for a key, as far as is known. The value
// may be one that cannot be decoded.
func (s *State) Listed(name Stream, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[name].records[key].Value != nil
}

// Orders returns the orders of rollouts in the order of their services.
func (s *State) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Order, 0, len(s.orders))
	for _, o := range s.orders {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Order) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}

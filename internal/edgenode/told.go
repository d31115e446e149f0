package edgenode

import (
	"context"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
)

// told is what the operator was told of a rollout.
type told struct {
	// State is the last state that the store has acknowledged; empty if there is none.
	State fleet.RolloutState `json:"told,omitempty"`
	// Incarnation is that of the store which has acknowledged it.
	Incarnation int64 `json:"told_incarnation,omitempty"`
}

// storedRollout is the shared record of a rollout.
type storedRollout struct {
	rollout.Record
	told
}

// next returns the state that the operator must be told now, or none. A restored store
// may have lost a status, which is then written again. A verdict is never followed by
// another one.
func (t told) next(phase rollout.Phase, incarnation int64) fleet.RolloutState {
	wanted := stateOf(phase)
	switch {
	case t.State == "":
		return fleet.RolloutTakenUp
	case t.State == wanted && t.Incarnation >= incarnation:
		return ""
	case t.State != fleet.RolloutTakenUp && t.State != wanted:
		return ""
	default:
		return wanted
	}
}

func stateOf(phase rollout.Phase) fleet.RolloutState {
	switch phase {
	case rollout.Completed:
		return fleet.RolloutCompleted
	case rollout.RolledBack:
		return fleet.RolloutRolledBack
	default:
		return fleet.RolloutTakenUp
	}
}

// later returns what was told last, of the two.
func (t told) later(other told) told {
	switch {
	case t.State == other.State:
		return told{State: t.State, Incarnation: max(t.Incarnation, other.Incarnation)}
	case t.State == "" || t.State == fleet.RolloutTakenUp && other.State != "":
		return other
	default:
		return t
	}
}

// isSameRollout reports whether two records are of the same rollout. After a restoration
// of the store, the order has another position.
func (s storedRollout) isSameRollout(other rollout.Record) bool {
	if s.Order == other.Order {
		return true
	}
	return s.Order.Incarnation != other.Order.Incarnation && s.To == other.To && s.BegunAtMS == other.BegunAtMS
}

// merge returns what is known of a service after the record other was read from the
// store, which may have been restored.
func (s storedRollout) merge(other storedRollout) storedRollout {
	if !s.isSameRollout(other.Record) {
		if isBefore(other.Order, s.Order) {
			return s
		}
		return other
	}
	merged := other
	if s.Phase.Ended() && !other.Phase.Ended() {
		merged.Record = s.Record
	}
	merged.told = s.later(other.told)
	return merged
}

func isBefore(a, b rollout.OrderID) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Offset < b.Offset
}

// told returns what the operator was told of the rollout of a record.
func (k *rolloutKeeper) told(r rollout.Record) told {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.known[r.Service]; ok && known.isSameRollout(r) {
		return known.told
	}
	return told{}
}

// remember records what the operator was told.
func (k *rolloutKeeper) remember(r rollout.Record, t told) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known[r.Service] = storedRollout{Record: r, told: t}
}

// tell writes the status of a rollout until the operator knows its phase, and returns
// what was told. It stops if another order has followed, which takes the key over.
func (k *rolloutKeeper) tell(ctx context.Context, r rollout.Record, t told) (told, error) {
	for {
		state := t.next(r.Phase, k.incarnation())
		early := k.clock.Now().Sub(k.written[r.Service].phaseAt) < completedDelay
		if state == "" || state == fleet.RolloutCompleted && early || !k.inForce(r) {
			return t, nil
		}
		status := fleet.RolloutStatus{Service: r.Service, To: r.To, State: state}
		incarnation := k.incarnation()
		if state == t.State {
			// The restored store may still hold it.
			held, err := k.status.HasRolloutStatus(ctx, status)
			if err != nil {
				return t, err
			}
			if held {
				t.Incarnation = incarnation
				continue
			}
		}
		position, err := k.status.PutRolloutStatus(ctx, status)
		if err != nil {
			return t, err
		}
		t = told{State: state, Incarnation: max(position.Incarnation, incarnation)}
		event.RolloutStatusWritten.Log(k.logger, zap.String("service", string(r.Service)), zap.String("to", string(r.To)),
			zap.String("state", string(state)), zap.Int64("offset", position.Offset))
	}
}

// inForce reports whether the order of a record has not been followed by another one.
func (k *rolloutKeeper) inForce(r rollout.Record) bool {
	for _, o := range k.state.Orders() {
		if o.Service == r.Service {
			return o.To == r.To && (rollout.OrderID(o.Position) == r.Order || o.Position.Incarnation != r.Order.Incarnation)
		}
	}
	// Only the record tells of the order.
	return true
}

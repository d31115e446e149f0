package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Departure states that one start of a target is leaving or gone. It outlives the
// record of the target: a restored store shows older records again.
type Departure struct {
	Target tables.TargetID `json:"target"`
	// StartedAt is the start that leaves; zero if the target does not report it.
	StartedAt time.Time `json:"started,omitzero"`
	// Announced is true if the target itself said so in an answer. Only a later
	// start is used again then.
	Announced bool `json:"announced,omitempty"`
	// Sequence is that of the target's last record before it left, and Incarnation
	// that of the store which showed it.
	Sequence    int64 `json:"sequence,omitempty"`
	Incarnation int64 `json:"incarnation,omitempty"`
}

// merge returns the more cautious of two departures of the same target, or that of
// the later start.
func (d Departure) merge(other Departure) Departure {
	if !d.StartedAt.Equal(other.StartedAt) {
		if d.StartedAt.After(other.StartedAt) {
			return d
		}
		return other
	}
	return Departure{
		Target: d.Target, StartedAt: d.StartedAt,
		Announced:   d.Announced || other.Announced,
		Sequence:    max(d.Sequence, other.Sequence),
		Incarnation: max(d.Incarnation, other.Incarnation),
	}
}

// covers reports whether the record of a target, as read from an incarnation of the
// store, is of the start that departed. Within one incarnation the order in which the target
// wrote its records decides, since the store may accept a write late.
func (d Departure) covers(t fleet.Target, incarnation int64) bool {
	switch {
	case t.StartedAt.After(d.StartedAt):
		return false
	case d.Announced:
		return true
	case incarnation <= d.Incarnation:
		return t.IsOlder(d.StartedAt, d.Sequence)
	default:
		return t.StartedAt.Before(d.StartedAt) || t.Sequence <= d.Sequence
	}
}

// appliedDeparture is a departure with the sequence number of its application.
type appliedDeparture struct {
	Departure
	seq int
	// observed is true if this host has received the target's answer.
	observed bool
}

// MarkLeaving records that a target has announced in an answer that it is leaving.
func (s *State) MarkLeaving(t fleet.Target) {
	if s.addDeparture(Departure{Target: t.ID, StartedAt: t.StartedAt, Announced: true}, true) {
		event.TargetLeaving.Log(s.logger, zap.String("target", string(t.ID)), zap.String("service", string(t.Service)))
		s.OnChange(Targets)
	}
}

// Departed reports whether a start of a target, which is not listed, is known to have left.
func (s *State) Departed(t fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, listed := s.targets[t.ID]
	d, known := s.departures[t.ID]
	return known && !listed && !t.StartedAt.After(d.StartedAt)
}

// ApplyDepartures applies the departures that a peer has sent.
func (s *State) ApplyDepartures(departures []Departure) {
	changed := false
	for _, d := range departures {
		changed = s.addDeparture(d, false) || changed
	}
	if changed {
		s.OnChange(Targets)
	}
}

// addDeparture calls mergeDeparture with the lock held.
func (s *State) addDeparture(d Departure, observed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeDeparture(d, observed)
}

// mergeDeparture merges a departure with what is known, and reports whether that
// changed it. observed is true if the target announced it to this host. The lock
// must be held.
func (s *State) mergeDeparture(d Departure, observed bool) bool {
	old, known := s.departures[d.Target]
	if known {
		observed = observed || old.observed
		d = old.merge(d)
		if d == old.Departure {
			return false
		}
	}
	s.seq++
	s.departures[d.Target] = appliedDeparture{Departure: d, seq: s.seq, observed: observed}
	incarnation := s.streams[Targets].records[string(d.Target)].Incarnation
	if t, listed := s.targets[d.Target]; listed && d.covers(t, incarnation) {
		t.Leaving = true
		s.targets[d.Target] = t
	}
	return true
}

// departuresSince returns the departures that changed after a sequence number. The
// lock must be held.
func (s *State) departuresSince(seq int, observedOnly bool) []Departure {
	var out []Departure
	for _, d := range s.departures {
		if d.seq > seq && (d.observed || !observedOnly) {
			out = append(out, d.Departure)
		}
	}
	return out
}

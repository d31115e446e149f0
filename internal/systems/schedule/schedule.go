// Package schedule decides, for the targets that a dispatcher owns, which
// queued requests start, which are refused and which running ones are
// cancelled. It is a function of its tables and the time.
package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// State is what the scheduling system reads and writes. One goroutine owns it.
type State struct {
	Requests *tables.Requests
	Targets  *tables.Targets
	Prefixes *prefix.Index
	Lengths  *predict.Lengths
}

// NewState returns empty tables.
func NewState() *State {
	return &State{
		Requests: tables.NewRequests(),
		Targets:  tables.NewTargets(),
		Prefixes: prefix.NewIndex(),
		Lengths:  predict.NewLengths(),
	}
}

// Tick returns the decisions for now. The caller carries them out: a started
// request is set Running by Tick itself; a shed one is left to the caller to
// delete.
func Tick(now time.Time, s *State) []tables.Decision {
	var out []tables.Decision
	s.Requests.All(func(r *tables.Request) {
		if r.State != tables.Queued {
			return
		}
		t := pick(now, s, r)
		if t == nil {
			return
		}
		r.State = tables.Running
		r.Target = t.ID
		r.Started = now
		out = append(out, tables.Decision{Action: tables.Start, Request: r.ID, Target: t.ID})
	})
	return out
}

func pick(now time.Time, s *State, r *tables.Request) *tables.Target {
	for _, id := range r.Allowed {
		t := s.Targets.Get(id)
		if t != nil && t.Owned && t.Open(now) && t.Fits(r) && running(s, id) < t.WindowMax {
			return t
		}
	}
	return nil
}

func running(s *State, id tables.TargetID) int {
	n := 0
	s.Requests.All(func(r *tables.Request) {
		if r.State == tables.Running && r.Target == id {
			n++
		}
	})
	return n
}

// Summary describes each owned target for the gates.
func Summary(_ time.Time, s *State) []tables.PoolSummary {
	var out []tables.PoolSummary
	s.Targets.All(func(t *tables.Target) {
		if t.Owned {
			out = append(out, tables.PoolSummary{Target: t.ID, Free: t.WindowMax - running(s, t.ID)})
		}
	})
	return out
}

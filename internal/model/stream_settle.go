package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// streamSettler carries out one step of the settle system for a generation.
type streamSettler struct {
	h      *host
	id     tables.RequestID
	facts  *settle.Facts
	stop   time.Time
	next   func()
	resume func(*modelTarget)
}

func (s streamSettler) carryOut(done func(errkind.Kind)) {
	step := settle.Next(s.facts)
	switch step.Action {
	case settle.Finish:
		if step.Kind.Answer().Ran == errkind.RanNo {
			s.h.w.count.SettledNotRun++
		}
		done(step.Kind)
	case settle.Wait:
		s.h.later(s.stop.Sub(s.h.w.sim.time), func() {
			s.facts.SenderStopped = true
			s.next()
		})
	case settle.Resume:
		s.resume(s.h.w.targets[step.Targets[0]])
	case settle.Cancel:
		t := s.h.w.targets[step.Targets[s.h.w.sim.rng.IntN(len(step.Targets))]]
		if j := s.h.w.anyHost().jobs[s.id]; j != nil && j.refused() && !s.h.w.rules.AskTarget {
			s.facts.RecordProgress(t.id, target.NeverStarted)
			s.h.later(settlePause, s.next)
			return
		}
		s.h.ask(t, func() target.Progress { return t.cancel(s.id) }, func(p target.Progress) {
			s.facts.RecordProgress(t.id, p)
			s.next()
		}, func() {
			s.facts.RecordFailure(t.id)
			s.h.later(settlePause, s.next)
		})
	case settle.Fetch:
		s.h.w.fail("a generation has no outcome to fetch")
	}
}

package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// streamResolver carries out one step to resolve the outcome of a generation. next
// starts the following step, and resume resumes the stream at a target.
type streamResolver struct {
	h              *host
	id             tables.RequestID
	facts          *settle.Facts
	senderStopTime time.Time
	next           func()
	resume         func(*modelTarget)
}

// run carries out the step that settle.Next returns.
func (s streamResolver) run(onResolved func(errkind.Kind)) {
	step := settle.Next(s.facts)
	switch step.Action {
	case settle.Finish:
		if step.Kind.Answer().Ran == errkind.RanNo {
			s.h.w.count.ResolvedNotRun++
		}
		onResolved(step.Kind)
	case settle.Wait:
		s.h.postAfter(s.senderStopTime.Sub(s.h.w.sim.now), func() {
			s.facts.SenderStopped = true
			s.next()
		})
	case settle.Resume:
		s.resume(s.h.w.targets[step.Targets[0]])
	case settle.Cancel:
		t := s.h.w.targets[step.Targets[s.h.w.sim.rng.IntN(len(step.Targets))]]
		if j := s.h.w.anyHost().jobs[s.id]; j != nil && j.endedUnsent() && !s.h.w.rules.QueryTarget {
			s.facts.RecordProgress(t.id, target.NeverStarted)
			s.h.postAfter(resolveDelay, s.next)
			return
		}
		s.h.query(t, func() target.Progress { return t.cancel(s.id) }, func(p target.Progress) {
			s.facts.RecordProgress(t.id, p)
			s.next()
		}, func() {
			s.facts.RecordFailure(t.id)
			s.h.postAfter(resolveDelay, s.next)
		})
	case settle.Fetch:
		s.h.w.addViolation("settle.Next returned Fetch for a generation")
	}
}

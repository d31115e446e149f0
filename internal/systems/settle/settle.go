package settle

import (
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Action is what a Step tells the caller to do.
type Action int

// The actions.
const (
	// Finish ends the request with Step.Kind.
	Finish Action = iota
	// Resume reads the stream from Step.Offset at Step.Targets on new
	// connections. The caller records the progress InProgress with the first
	// chunk, marks the answer as complete with the last one, and records a
	// missing stream or a failed query. A stream that breaks before its first
	// chunk is a failed query.
	Resume
	// Cancel sets a tombstone at Step.Targets on new connections, so that the
	// targets do not start the request later. The caller records the progress that
	// each target reports, or a failed query.
	Cancel
	// Fetch queries Step.Targets for the outcome of a call that the targets run or
	// ran. The caller records the reported progress, an answer that is not kept,
	// or a failed query.
	Fetch
	// Wait waits until the sender has stopped. The caller then sets
	// Facts.SenderStopped.
	Wait
)

// Step is the next step to resolve an outcome.
type Step struct {
	Action Action
	// Targets are the targets to query, concurrently.
	Targets []tables.TargetID
	// Offset is the index of the first missing token, for Resume.
	Offset int
	// Kind is the outcome of the request, for Finish; None means that the answer
	// is complete.
	Kind errkind.Kind
}

// Next returns the next step. The caller carries it out, updates f and calls
// Next again until it returns Finish.
func Next(f *Facts) Step {
	if f.Complete {
		return finish(errkind.None)
	}
	if !f.MayHaveBeenSent && f.SenderStopped {
		return finish(f.notRunKind())
	}
	if id, r, ok := f.runningTarget(); ok {
		return f.readAnswer(id, r)
	}
	if ids := f.resumeTargets(); len(ids) > 0 {
		return Step{Action: Resume, Targets: ids, Offset: f.Offset}
	}
	if ids := f.cancelTargets(); len(ids) > 0 {
		return Step{Action: Cancel, Targets: ids}
	}
	return f.conclude()
}

// runningTarget returns the target that runs or ran the request, if known.
func (f *Facts) runningTarget() (tables.TargetID, TargetReport, bool) {
	for _, id := range f.candidates() {
		if r := f.reports[id]; r.provesRun() {
			return id, r, true
		}
	}
	return "", TargetReport{}, false
}

// readAnswer returns the step after target id has proved that it runs or ran the
// request. The step reads the answer, or ends the request if the answer cannot be
// read.
func (f *Facts) readAnswer(id tables.TargetID, r TargetReport) Step {
	switch {
	case r.Progress == target.Failed:
		return finish(errkind.RanFailed)
	case r.Progress == target.Cancelled && f.CallerGone:
		return finish(errkind.CancelledWhileRunning)
	case r.Progress == target.Cancelled:
		return finish(errkind.RanFailed)
	case r.AnswerNotKept, r.NoStream && r.Progress == target.Completed:
		return finish(errkind.AnswerNotKept)
	case r.Failures >= MaxFailures && r.Progress == target.Completed:
		return finish(errkind.AnswerNotKept)
	case !f.PlainService && (r.NoStream || r.Failures >= MaxFailures):
		// The generation ran at least in part; the rest of its answer is lost.
		return finish(errkind.RanFailed)
	case r.NoStream, r.Failures >= MaxFailures:
		return finish(errkind.OutcomeUnknown)
	case f.PlainService:
		return Step{Action: Fetch, Targets: []tables.TargetID{id}}
	default:
		return Step{Action: Resume, Targets: []tables.TargetID{id}, Offset: f.Offset}
	}
}

// resumeTargets returns the targets to query for a running stream. They are
// queried before any target is cancelled, because a cancel would end a generation
// that a caller waits for. A stream of which a part has arrived goes on only at the
// target that began it: targets with other software write other text, and a target
// may not check which stream it continues.
func (f *Facts) resumeTargets() []tables.TargetID {
	if f.PlainService || f.CallerGone {
		return nil
	}
	ids := f.filter(func(r TargetReport) bool {
		return r.Progress == "" && !r.NoStream && r.Failures < MaxFailures
	})
	if f.Offset == 0 || f.DispatchTarget == "" {
		return ids
	}
	return slices.DeleteFunc(ids, func(id tables.TargetID) bool { return id != f.DispatchTarget })
}

// cancelTargets returns the targets that have not yet acknowledged a tombstone. A
// target that reported NeverStarted before the sender stopped is cancelled again:
// since the report it may have restarted, lost the tombstone and received the
// request.
func (f *Facts) cancelTargets() []tables.TargetID {
	return f.filter(func(r TargetReport) bool {
		if r.Failures >= MaxFailures {
			return false
		}
		if r.Progress == "" {
			return true
		}
		return r.Progress == target.NeverStarted && f.SenderStopped && !r.AfterSenderStop
	})
}

// conclude ends the request, or waits for the sender to stop, once no target is
// left to query.
func (f *Facts) conclude() Step {
	if f.Offset > 0 {
		return finish(errkind.RanFailed)
	}
	neverStarted := f.filter(func(r TargetReport) bool {
		return r.Progress == target.NeverStarted && r.AfterSenderStop == f.SenderStopped
	})
	if len(f.Allowed) == 0 || len(neverStarted) < len(f.candidates()) {
		return finish(errkind.OutcomeUnknown)
	}
	if !f.SenderStopped {
		return Step{Action: Wait}
	}
	return finish(f.notRunKind())
}

// notRunKind returns the kind of a request that did not run.
func (f *Facts) notRunKind() errkind.Kind {
	if f.CallerGone {
		return errkind.CancelledBeforeRun
	}
	return errkind.NotAdmitted
}

// candidates returns the targets that may have the request, the most likely first.
func (f *Facts) candidates() []tables.TargetID {
	ids := make([]tables.TargetID, 0, len(f.Allowed)+1)
	if f.DispatchTarget != "" {
		ids = append(ids, f.DispatchTarget)
	}
	for _, id := range f.Allowed {
		if id != f.DispatchTarget {
			ids = append(ids, id)
		}
	}
	return ids
}

// filter returns the candidates for which keep returns true.
func (f *Facts) filter(keep func(TargetReport) bool) []tables.TargetID {
	var ids []tables.TargetID
	for _, id := range f.candidates() {
		if keep(f.reports[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

func finish(k errkind.Kind) Step {
	return Step{Action: Finish, Kind: k}
}

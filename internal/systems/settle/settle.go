package settle

import (
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Action is what to do next.
type Action int

// The actions.
const (
	// Finish ends the request with Step.Kind.
	Finish Action = iota
	// Resume reads the stream from Step.Offset at Step.Targets on new
	// connections. Report Heard(InProgress) with the first chunk, set
	// Facts.Whole with the last one, and report HeardNoStream or HeardNothing
	// when it fails.
	Resume
	// Cancel leaves a tombstone at Step.Targets on new connections; report
	// Heard or HeardNothing.
	Cancel
	// Fetch asks Step.Targets for the outcome of a call that they run or
	// ran; report Heard, HeardNotKept or HeardNothing.
	Fetch
	// Wait waits until the sender has stopped, sets Facts.SenderStopped and
	// asks again.
	Wait
)

// Step is one decision.
type Step struct {
	Action Action
	// Targets are asked at the same time.
	Targets []tables.TargetID
	// Offset is the first missing token for Resume.
	Offset int
	// Kind ends the request for Finish; None means that the answer is whole.
	Kind errkind.Kind
}

// Next returns the next step. It is called again whenever facts have changed,
// until it returns Finish.
func Next(f *Facts) Step {
	if f.Whole {
		return finish(errkind.None)
	}
	if !f.MayBeSent && f.SenderStopped {
		return finish(f.notRun())
	}
	if id, a, ok := f.runner(); ok {
		return f.read(id, a)
	}
	if ids := f.unresumed(); len(ids) > 0 {
		return Step{Action: Resume, Targets: ids, Offset: f.Offset}
	}
	if ids := f.untold(); len(ids) > 0 {
		return Step{Action: Cancel, Targets: ids}
	}
	return f.conclude()
}

// runner returns the target that runs or ran the request.
func (f *Facts) runner() (tables.TargetID, Account, bool) {
	for _, id := range f.suspects() {
		if a := f.accounts[id]; a.proves() {
			return id, a, true
		}
	}
	return "", Account{}, false
}

// read gets the answer from the target that runs or ran the request.
func (f *Facts) read(id tables.TargetID, a Account) Step {
	switch {
	case a.Progress == target.Failed:
		return finish(errkind.RanFailed)
	case a.Progress == target.Cancelled && f.CallerLeft:
		return finish(errkind.CancelledWhileRun)
	case a.Progress == target.Cancelled:
		return finish(errkind.RanFailed)
	case a.NotKept, a.NoStream && a.Progress == target.Completed:
		return finish(errkind.AnswerNotKept)
	case a.Failures >= MaxFailures && a.Progress == target.Completed:
		return finish(errkind.AnswerNotKept)
	case !f.Plain && (a.NoStream || a.Failures >= MaxFailures):
		// A generation in progress has run; the rest of its answer is lost.
		return finish(errkind.RanFailed)
	case a.NoStream, a.Failures >= MaxFailures:
		return finish(errkind.OutcomeUnknown)
	case f.Plain:
		return Step{Action: Fetch, Targets: []tables.TargetID{id}}
	default:
		return Step{Action: Resume, Targets: []tables.TargetID{id}, Offset: f.Offset}
	}
}

// unresumed returns the targets to ask for a running stream. A cancel would
// end a generation that somebody waits for, so the stream is sought first.
func (f *Facts) unresumed() []tables.TargetID {
	if f.Plain || f.CallerLeft {
		return nil
	}
	return f.filter(func(a Account) bool {
		return a.Progress == "" && !a.NoStream && a.Failures < MaxFailures
	})
}

// untold returns the targets that have yet to acknowledge a tombstone. A word
// from before the sender stopped is asked for again: the target may have
// restarted, lost the tombstone and got the request since.
func (f *Facts) untold() []tables.TargetID {
	return f.filter(func(a Account) bool {
		if a.Failures >= MaxFailures {
			return false
		}
		if a.Progress == "" {
			return true
		}
		return a.Progress == target.NeverStarted && f.SenderStopped && !a.AfterStop
	})
}

// conclude ends the request when no target has more to say.
func (f *Facts) conclude() Step {
	if f.Offset > 0 {
		return finish(errkind.RanFailed)
	}
	never := f.filter(func(a Account) bool {
		return a.Progress == target.NeverStarted && a.AfterStop == f.SenderStopped
	})
	if len(f.Allowed) == 0 || len(never) < len(f.suspects()) {
		return finish(errkind.OutcomeUnknown)
	}
	if !f.SenderStopped {
		return Step{Action: Wait}
	}
	return finish(f.notRun())
}

func (f *Facts) notRun() errkind.Kind {
	if f.CallerLeft {
		return errkind.CancelledBeforeRun
	}
	return errkind.NotAdmitted
}

// suspects returns the targets that may have the request, the likeliest first.
func (f *Facts) suspects() []tables.TargetID {
	ids := make([]tables.TargetID, 0, len(f.Allowed)+1)
	if f.Started != "" {
		ids = append(ids, f.Started)
	}
	for _, id := range f.Allowed {
		if id != f.Started {
			ids = append(ids, id)
		}
	}
	return ids
}

// filter returns the suspects whose account passes keep.
func (f *Facts) filter(keep func(Account) bool) []tables.TargetID {
	var ids []tables.TargetID
	for _, id := range f.suspects() {
		if keep(f.accounts[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

func finish(k errkind.Kind) Step {
	return Step{Action: Finish, Kind: k}
}

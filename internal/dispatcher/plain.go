package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// outcomePoll is the time between questions about a call that still runs.
const outcomePoll = 200 * time.Millisecond

// runPlain sends a call once and waits for its answer.
func (d *Dispatcher) runPlain(ctx context.Context, j *job, at place) {
	service := d.Targets.Plain(at.address, j.msg.Service)
	answer, err := service.Call(ctx, target.Call{
		ID: j.msg.ID, Service: j.msg.Service, Operation: j.msg.Operation,
		Body: j.msg.Body, Timeout: j.msg.DueIn,
	})
	switch {
	case err == nil:
		d.answered(j, answer)
	case errors.Is(err, target.ErrNotAdmitted):
		d.refused(j, err)
	case errors.Is(err, target.ErrFailed):
		d.failed(j, err)
	default:
		d.settleCall(j, service, err)
	}
}

func (d *Dispatcher) answered(j *job, a target.Answer) {
	d.post(func() {
		d.finish(j, peer.Finished{Kind: errkind.None, Status: a.Status, Body: a.Body, Sent: true})
	})
}

// settleCall finds out what became of a call whose answer was lost. It leaves
// a tombstone first, so that "never started" stays true, and then waits for
// the outcome of a call that runs.
func (d *Dispatcher) settleCall(j *job, service target.Plain, cause error) {
	progress := d.tombstone(j, service)
	for progress == target.InProgress {
		select {
		case <-d.ctx.Done():
			return
		case <-d.Clock.After(outcomePoll):
		}
		progress = d.peekCall(j, service)
	}
	if progress == target.Completed && d.fetchAnswer(j, service) {
		return
	}
	d.post(func() {
		if progress == target.NotKnown {
			d.crashed(j.target)
		}
		d.finish(j, peer.Finished{Kind: settledCallKind(progress), Detail: cause.Error(), Sent: true})
	})
}

func settledCallKind(p target.Progress) errkind.Kind {
	if p == target.Completed {
		return errkind.AnswerNotKept
	}
	return settledKind(p)
}

func (d *Dispatcher) tombstone(j *job, service target.Plain) target.Progress {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	progress, err := service.Cancel(ctx, j.msg.ID)
	if err != nil {
		return target.NotKnown
	}
	return progress
}

func (d *Dispatcher) peekCall(j *job, service target.Plain) target.Progress {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	_, progress, err := service.Outcome(ctx, j.msg.ID)
	if err != nil {
		return target.NotKnown
	}
	return progress
}

// fetchAnswer ends j with the answer that the service kept, if it kept one.
func (d *Dispatcher) fetchAnswer(j *job, service target.Plain) bool {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	answer, progress, err := service.Outcome(ctx, j.msg.ID)
	if err != nil || progress != target.Completed || answer.Status == 0 {
		return false
	}
	d.answered(j, answer)
	return true
}

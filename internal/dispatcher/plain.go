package dispatcher

import (
	"context"
	"errors"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

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
		s := d.newSettler(j, at)
		s.cause = err
		s.run()
	}
}

func (d *Dispatcher) answered(j *job, a target.Answer) {
	d.post(func() {
		d.finish(j, peer.Finished{Kind: errkind.None, Status: a.Status, Body: a.Body, Sent: true})
	})
}

// failed ends j by the target's own word that it ran and failed, or was
// cancelled.
func (d *Dispatcher) failed(j *job, cause error) {
	d.post(func() {
		kind := errkind.RanFailed
		if j.reason != errkind.None {
			kind = j.reason
		}
		d.finish(j, peer.Finished{Kind: kind, Detail: cause.Error(), Sent: true})
	})
}

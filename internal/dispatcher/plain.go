package dispatcher

import (
	"context"
	"errors"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// callEnd is how the sending of a call ended.
type callEnd struct {
	answer target.Answer
	err    error
}

// runPlain sends a call once and waits for its answer. While none comes it asks
// for the outcome on new connections, since the first one may have gone silent.
// A service that does not run the call will not answer on the first one: the
// connection is given up and the outcome settled at once.
func (d *Dispatcher) runPlain(ctx context.Context, j *job, at place) {
	service := d.Targets.Plain(at.address, j.msg.Service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan callEnd, 1)
	go func() {
		answer, err := service.Call(ctx, target.Call{
			ID: j.msg.ID, Service: j.msg.Service, Operation: j.msg.Operation,
			Body: j.msg.Body, Timeout: j.msg.DueIn,
		})
		ended <- callEnd{answer, err}
	}()
	for {
		select {
		case e := <-ended:
			d.endCall(j, at, e)
			return
		case <-d.Clock.After(streamSilence):
		}
		if !d.stillRuns(j, service) {
			cancel()
			d.endCall(j, at, <-ended)
			return
		}
	}
}

// stillRuns reports whether the service runs the call, as far as it can be
// asked.
func (d *Dispatcher) stillRuns(j *job, service target.Plain) bool {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	_, progress, err := service.Outcome(ctx, j.msg.ID)
	return err != nil || progress == target.InProgress
}

func (d *Dispatcher) endCall(j *job, at place, e callEnd) {
	switch {
	case e.err == nil:
		d.answered(j, e.answer)
	case errors.Is(e.err, target.ErrNotAdmitted):
		d.refused(j, e.err)
	case errors.Is(e.err, target.ErrFailed):
		d.failed(j, e.err)
	default:
		s := d.newSettler(j, at)
		s.cause = e.err
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

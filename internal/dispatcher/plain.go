package dispatcher

import (
	"context"
	"errors"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// callResult is the result of a call to a plain service.
type callResult struct {
	answer target.Response
	err    error
}

// runPlain sends a call once and waits for its answer. While there is no answer,
// it queries the service for the outcome on new connections, because the first
// connection may be dead. If the service does not run the call, no answer will
// arrive on the first connection, so the connection is closed and the outcome is
// resolved immediately.
func (d *Dispatcher) runPlain(ctx context.Context, j *job) {
	service := d.Targets.Plain(j.endpoint.address, j.msg.Service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 1)
	go func() {
		answer, err := service.Call(ctx, target.Call{
			ID: j.msg.ID, Service: j.msg.Service, Operation: j.msg.Operation,
			Body: j.msg.Body, Timeout: j.msg.DueIn,
		})
		results <- callResult{answer, err}
	}()
	for {
		select {
		case result := <-results:
			d.handleCallResult(j, result)
			return
		case <-d.Clock.After(streamStallTimeout):
		}
		if !d.mayBeRunning(j, service) {
			cancel()
			d.handleCallResult(j, <-results)
			return
		}
	}
}

// mayBeRunning reports whether the service runs the call. If the query fails, it
// returns true. It asks again about a call that the service has not started.
func (d *Dispatcher) mayBeRunning(j *job, service target.PlainService) bool {
	progress, err := d.queryProgress(j, service)
	if err == nil && progress == target.NeverStarted {
		d.sleep(unknownDispatchDelay)
		progress, err = d.queryProgress(j, service)
	}
	return err != nil || progress == target.InProgress
}

func (d *Dispatcher) queryProgress(j *job, service target.PlainService) (target.Progress, error) {
	ctx, cancel := context.WithTimeout(d.ctx, targetTimeout)
	defer cancel()
	_, progress, err := service.Outcome(ctx, j.msg.ID)
	return progress, err
}

func (d *Dispatcher) handleCallResult(j *job, result callResult) {
	switch {
	case result.err == nil:
		d.finishAnswered(j, result.answer)
	case errors.Is(result.err, target.ErrNotAdmitted):
		d.finishNotAdmitted(j, result.err)
	case errors.Is(result.err, target.ErrFailed):
		d.finishFailed(j, result.err)
	default:
		r := d.newResolver(j)
		r.lastErr = result.err
		r.run()
	}
}

func (d *Dispatcher) finishAnswered(j *job, a target.Response) {
	d.reach.recordAnswer(d.Clock.Now())
	d.post(func() {
		d.finish(j, peer.Finished{Kind: errkind.None, Status: a.Status, Body: a.Body, Sent: true})
	})
}

// finishFailed ends j after the target reported that the request ran and failed
// or was cancelled.
func (d *Dispatcher) finishFailed(j *job, cause error) {
	d.post(func() {
		kind := errkind.RanFailed
		if j.cancelReason != errkind.None {
			kind = j.cancelReason
		}
		d.finish(j, peer.Finished{Kind: kind, Detail: cause.Error(), Sent: true})
	})
}

package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
)

// serve sends the request until one target has answered it or none may be
// tried any more. bounded ends at the deadline, caller when the caller leaves.
func (x *exchange) serve(bounded, caller context.Context) error {
	var last error
	for {
		grant, target, err := x.place(bounded, len(x.tried) > 0)
		if err != nil {
			return x.unplaced(caller, err, last)
		}
		outcome, err := x.send(bounded, grant, target)
		grant.End(outcome, x.relay.pause())
		if err == nil {
			return nil
		}
		last = err
		if caller.Err() != nil || !x.mayRepeat(bounded, err) {
			return x.final(bounded, err)
		}
	}
}

// unplaced is the answer when there is no place: the reason, or the failure of
// the send before, which may have run.
func (x *exchange) unplaced(caller context.Context, err, last error) error {
	if last != nil {
		return x.final(caller, last)
	}
	if caller.Err() == nil && errkind.Of(err) == errkind.CancelledBeforeRun {
		return errkind.New(errkind.DeadlineUnmeetable, "no place came free before the deadline")
	}
	return err
}

// send carries one call and relays its answer. Errors are of type *SendError
// or end the request.
func (x *exchange) send(ctx context.Context, grant *pool.Grant, target fleet.Target) (place.Outcome, error) {
	call := Call{
		Request: x.request,
		Left:    defaultPatience,
		After:   x.relay.lastEvent(x.request.After),
		Fresh:   !x.route.Repeatable(),
	}
	if !x.until.IsZero() {
		call.Left = x.until.Sub(x.server.Clock.Now())
	}
	if x.customer != nil {
		call.Customer = x.customer.Name
	}
	began := x.server.Clock.Now()
	event.PlaceGranted.Log(x.server.Logger, zap.String("request", x.request.ID), zap.String("target", string(target.ID)),
		zap.Duration("expected", grant.Expected), zap.Duration("waited", began.Sub(x.request.Arrived)), zap.Uint64("config", x.config.Version))
	x.server.Metrics.Sent(string(x.service))
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if x.mayMoveOn() {
		x.silence = watchSilence(x.server.Clock, max(firstSilence*grant.Expected, minSilent), cancel)
		defer x.silence.stop()
	}
	err := x.exchangeWith(sending, target, call, func() { grant.First(x.server.Clock.Now().Sub(began)) })
	if err != nil {
		x.sendFailed(target, err)
		return outcomeOf(ctx, err), err
	}
	return place.Good, nil
}

// mayMoveOn reports whether the request could go to a further target after
// this one, however far this one has come.
func (x *exchange) mayMoveOn() bool {
	return x.route.Repeatable() && len(x.tried)+1 < x.route.MaxTargets
}

// exchangeWith sends a call and relays its answer.
func (x *exchange) exchangeWith(ctx context.Context, target fleet.Target, call Call, onFirst func()) error {
	answer, err := x.server.Targets.Send(ctx, target, call)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	x.tried = append(x.tried, target.ID)
	return x.take(ctx, answer, onFirst)
}

func (x *exchange) sendFailed(target fleet.Target, err error) {
	var failed *SendError
	if errors.As(err, &failed) && failed.Proof == MayHaveRun {
		x.relay.mayHaveRun = true
	}
	if errors.As(err, &failed) && failed.Proof != Unsent {
		if n := len(x.tried); n == 0 || x.tried[n-1] != target.ID {
			x.tried = append(x.tried, target.ID)
		}
	}
	x.server.Metrics.SendFailed(string(x.service))
	event.SendFailed.Log(x.server.Logger, zap.String("request", x.request.ID), zap.String("target", string(target.ID)), zap.Error(err))
}

// outcomeOf tells the home what a failed send says of its target.
func outcomeOf(ctx context.Context, err error) place.Outcome {
	var failed *SendError
	switch {
	case ctx.Err() != nil || !errors.As(err, &failed):
		return place.Left
	case failed.Proof == NotRun:
		return place.NotRun
	case failed.Proof == OtherTarget:
		return place.Replaced
	case errors.Is(err, errServerError):
		return place.Failed
	default:
		return place.Broken
	}
}

// mayRepeat reports whether the request may go to another target after err.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	var failed *SendError
	if !errors.As(err, &failed) || ctx.Err() != nil {
		return false
	}
	if len(x.tried) >= x.route.MaxTargets {
		return false
	}
	if failed.Proof == MayHaveRun && !x.route.Repeatable() {
		return false
	}
	return !x.relay.begun || x.relay.resumable()
}

// final is the answer after the last send.
func (x *exchange) final(ctx context.Context, err error) error {
	var failed *SendError
	if !errors.As(err, &failed) {
		return err
	}
	if x.relay.failure != nil && !x.relay.begun {
		x.deliver(x.relay.failure)
		return nil
	}
	if failed.Proof != MayHaveRun && !x.ranBefore() {
		return errkind.Wrap(err, errkind.NotAdmitted, "no target has run the request")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the deadline has passed")
	}
	return errkind.Wrap(err, errkind.RanFailed, fmt.Sprintf("sent to %v", x.tried))
}

// ranBefore reports whether an earlier send may have run.
func (x *exchange) ranBefore() bool { return x.relay.mayHaveRun }

// pauseOf is the mean pause of events between two times.
func pauseOf(first, last time.Time, events int) time.Duration {
	if events < minPauseEvents {
		return 0
	}
	return last.Sub(first) / time.Duration(events-1)
}

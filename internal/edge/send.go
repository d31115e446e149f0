package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxUnsent is the number of slots after which a request ends whose calls could never be
// sent. Coordinators of the build before allocation.Unsent grant the same target at once
// again.
const maxUnsent = 20

// serve sends the request to one target after another until one has responded
// or no further attempt is allowed. ctx ends at the deadline, callerCtx when
// the caller disconnects.
func (ex *exchange) serve(ctx, callerCtx context.Context) error {
	defer func() { ex.nextSlot.release() }()
	var lastErr error
	for {
		slot, err := ex.takeSlot(ctx)
		if err != nil {
			return ex.noSlotError(callerCtx, err, lastErr)
		}
		if err := ex.server.Poison.Check(ex.request.ID, ex.traits); err != nil {
			slot.release()
			return ex.noSlotError(callerCtx, err, lastErr)
		}
		err = ex.sendAndRelease(ctx, slot)
		if err == nil {
			return nil
		}
		lastErr = err
		if callerCtx.Err() != nil || !ex.mayRetry(ctx, err) {
			return ex.concludeFailed(ctx, err)
		}
	}
}

// AtTargets returns the number of requests that are at a target now.
func (s *Server) AtTargets() int { return int(s.atTargets.Load()) }

// sendAndRelease makes one call and releases its slot, also if the call panics.
func (ex *exchange) sendAndRelease(ctx context.Context, slot *heldSlot) (err error) {
	ex.server.atTargets.Add(1)
	outcome := allocation.Abandoned
	defer func() {
		ex.server.atTargets.Add(-1)
		slot.grant.ReportEvents(ex.call.events)
		slot.grant.Release(outcome, ex.relay.meanGap())
	}()
	outcome, err = ex.send(ctx, slot)
	return err
}

// takeSlot returns the slot that was found while the target before was silent, or
// acquires one. The stream may have begun since that slot was requested, at another version
// than that of its target.
func (ex *exchange) takeSlot(ctx context.Context) (*heldSlot, error) {
	need := ex.need()
	if slot := ex.nextSlot; slot != nil {
		ex.nextSlot = nil
		if need.mayUse(slot.grant, slot.target) {
			return slot, nil
		}
		slot.release()
	}
	return ex.acquireSlot(ctx, need)
}

// noSlotError returns the error of a request that got no slot. The failure of an
// earlier call takes precedence, since its target may have run the request.
func (ex *exchange) noSlotError(callerCtx context.Context, err, lastErr error) error {
	if lastErr != nil {
		return ex.concludeFailed(callerCtx, lastErr)
	}
	if callerCtx.Err() == nil && errkind.Of(err) == errkind.CancelledBeforeRun {
		return errkind.New(errkind.DeadlineUnmeetable, "no place came free before the deadline")
	}
	return err
}

// send makes one call and relays its response. An error that is not a
// *SendError ends the request.
func (ex *exchange) send(ctx context.Context, slot *heldSlot) (allocation.Outcome, error) {
	grant, target := slot.grant, slot.target
	startedAt := ex.server.Clock.Now()
	ex.target = target
	ex.call = callProgress{}
	call := Call{
		Request:       ex.request,
		Timeout:       defaultTimeout,
		LastEventID:   ex.lastEventID(),
		NewConnection: !ex.route.Retryable(),
		Resumable:     ex.mayBeTakenUp(),
		Through:       grant.Through,
		OnNotice:      func(n TargetNotice) { ex.server.RecordNotice(target, n, startedAt) },
	}
	if !ex.deadline.IsZero() {
		call.Timeout = ex.deadline.Sub(ex.server.Clock.Now())
	}
	ex.targetDeadline = startedAt.Add(call.Timeout)
	if ex.customer != nil {
		call.Customer = ex.customer.Name
	}
	event.SlotGranted.Log(ex.server.Logger, zap.String("request", ex.request.ID), zap.String("target", string(target.ID)),
		zap.String("version", string(target.Version)), zap.String("first_attempt", ex.request.FirstAttempt), zap.String("after", call.LastEventID),
		zap.Duration("expected", grant.ExpectedFirstByte), zap.Duration("waited", startedAt.Sub(ex.request.Arrived)), zap.Uint64("config", ex.config.Version))
	ex.server.Metrics.Sent(string(ex.service))
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ex.failover = ex.newFailover(ctx, slot, cancel)
	// Without effect unless the call panics: failover.stop returns a slot only once.
	defer func() { ex.failover.stop().release() }()
	ex.silence = ex.newSilenceLimit(cancel)
	defer ex.silence.stop()
	ex.confirmation = ex.newConfirmationLimit(cancel)
	defer ex.confirmation.stop()
	onFirstByte := func() {
		grant.SentBy(ex.call.via)
		grant.ReportFirstByte(ex.server.Clock.Now().Sub(startedAt))
	}
	err := ex.sendAndRelay(sending, target, call, onFirstByte)
	ex.nextSlot = ex.failover.stop()
	if err != nil {
		ex.recordSendFailure(target, startedAt, err)
		ex.checkVersion(target, call, startedAt)
		if ex.relay.versionInDoubt {
			grant.ContradictOrigin(ex.relay.laterVersion)
		}
		ex.checkEmptyEnd(err)
		ex.recordSilence(sending, target, err)
		grant.SentBy(viaOf(err, ex.call.via))
		outcome := outcomeOf(ctx, context.Cause(sending), err)
		ex.recordLoss(target, outcome, err)
		return outcome, err
	}
	ex.recordWholeAnswer()
	ex.recordRun(slot, startedAt)
	return allocation.Succeeded, nil
}

// mayFailOver reports whether the request may be sent to another target after
// the current one, even if the current one may have run it.
func (ex *exchange) mayFailOver(current tables.TargetID) bool {
	count := len(ex.tried)
	if !slices.Contains(ex.tried, current) {
		count++
	}
	return ex.route.Retryable() && count < ex.route.MaxTargets
}

// mayTryMore reports whether the request may be sent to a target that it was not sent to.
func (ex *exchange) mayTryMore() bool { return len(ex.tried) < ex.route.MaxTargets }

// recordTried records that the request was sent to a target.
func (ex *exchange) recordTried(id tables.TargetID) {
	if !slices.Contains(ex.tried, id) {
		ex.tried = append(ex.tried, id)
	}
}

// avoided returns the targets that must not get the request next: those that got it, and those
// that have started again since they were listed. If it may return to a silent one, that one is
// left out, and all others of the service are added if the request may not be sent to more of
// them.
func (ex *exchange) avoided() []tables.TargetID {
	ids := slices.Concat(ex.tried, ex.restarted)
	if !ex.mayReturn {
		return ids
	}
	ids = slices.DeleteFunc(ids, func(id tables.TargetID) bool { return id == ex.silent })
	if ex.mayTryMore() {
		return ids
	}
	for _, t := range ex.server.Directory.Targets() {
		if t.Service == ex.service && !slices.Contains(ex.tried, t.ID) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// sendAndRelay sends a call and relays its response.
func (ex *exchange) sendAndRelay(ctx context.Context, target fleet.Target, call Call, onFirstByte func()) error {
	resp, err := ex.server.Transport.Send(ctx, target, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	ex.call = callProgress{answered: true, status: resp.Status, framed: resp.Framed, via: resp.Via}
	ex.server.Metrics.Answered(resp.Framed)
	if ex.route.Kind == fleet.Stream && isStream(resp.Status) {
		ex.call.unusualEnd = ex.server.framings.record(target, resp.Framed)
	}
	ex.silence.reset()
	ex.recordTried(target.ID)
	return ex.relayResponse(ctx, resp, onFirstByte)
}

func (ex *exchange) recordSendFailure(target fleet.Target, startedAt time.Time, err error) {
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.Delivery == MayHaveRun {
		ex.relay.mayHaveRun = true
	}
	switch {
	case errors.Is(err, ErrRestarted):
		ex.restarted = append(ex.restarted, target.ID)
	case errors.As(err, &sendErr):
		ex.recordDelivery(target.ID, sendErr.Delivery)
	}
	ex.server.Metrics.SendFailed(string(ex.service))
	event.SendFailed.Log(ex.server.Logger, zap.String("request", ex.request.ID), zap.String("target", string(target.ID)), zap.Error(err), zap.String("via", string(viaOf(err, ex.call.via))),
		zap.Duration("after", ex.server.Clock.Now().Sub(startedAt)), zap.Bool("answered", ex.call.answered), zap.Bool("framed", ex.call.framed),
		zap.Int("events", ex.call.events), zap.Strings("parts", ex.request.PromptParts))
}

// recordDelivery records how far a failed call to a target got.
func (ex *exchange) recordDelivery(target tables.TargetID, d Delivery) {
	if d == Unsent {
		ex.unsent++
		return
	}
	ex.recordTried(target)
}

// recordSilence keeps a target that was left because it was silent, with ctx as the
// context of the call. If the next one does not run the request, the silent one may get
// it again. It stays among those that were tried.
func (ex *exchange) recordSilence(ctx context.Context, target fleet.Target, err error) {
	var sendErr *SendError
	notRun := errors.As(err, &sendErr) && sendErr.Delivery != MayHaveRun
	switch {
	case errors.Is(context.Cause(ctx), errIdleTimeout):
		ex.silent, ex.mayReturn = target.ID, false
	case notRun && target.ID != ex.silent:
		ex.mayReturn = slices.Contains(ex.tried, ex.silent)
	default:
		ex.silent, ex.mayReturn = "", false
	}
}

// viaOf returns the host that sent a failed call; answered is the one that passed on the
// beginning of the answer.
func viaOf(err error, answered tables.HostID) tables.HostID {
	var sendErr *SendError
	if errors.As(err, &sendErr) && sendErr.Via != "" {
		return sendErr.Via
	}
	return answered
}

// outcomeOf returns the outcome that is reported to the coordinator for a failed
// call. cause is why the call was ended; nil if it was not.
func outcomeOf(ctx context.Context, cause, err error) allocation.Outcome {
	var sendErr *SendError
	switch {
	case ctx.Err() != nil || !errors.As(err, &sendErr) || errors.Is(err, ErrHostLost):
		return allocation.Abandoned
	case sendErr.Delivery == Unsent:
		return allocation.Unsent
	case errors.Is(err, ErrRestarted):
		// The coordinator may already know the later start, which may be granted.
		return allocation.Unused
	case sendErr.Delivery == NotRun:
		return allocation.NotRun
	case sendErr.Delivery == WrongTarget:
		return allocation.TargetReplaced
	case errors.Is(cause, errIdleTimeout), errors.Is(cause, errSilentTooLong):
		return allocation.Silent
	case errors.Is(err, errNothingFollows), errors.Is(err, errEndUnconfirmed), errors.Is(cause, errNotConfirmed):
		// A stream that succeeds has ended, and its version is soon forgotten.
		return allocation.Abandoned
	case errors.Is(err, errServerError), errors.Is(err, errNotResumed), errors.Is(err, errClaimsNotRun):
		return allocation.Failed
	default:
		return allocation.ConnectionLost
	}
}

// mayRetry reports whether the request may be sent to another target after err.
func (ex *exchange) mayRetry(ctx context.Context, err error) bool {
	var sendErr *SendError
	if !errors.As(err, &sendErr) || ctx.Err() != nil {
		return false
	}
	if !ex.mayTryMore() && !ex.mayReturn {
		return false
	}
	if sendErr.Delivery == MayHaveRun && !ex.route.Retryable() {
		return false
	}
	if sendErr.Delivery == Unsent && ex.unsent >= maxUnsent {
		return false
	}
	if end := &ex.relay.emptyEnd; end.isRegular() && end.holds() && !ex.server.Clock.Now().Before(end.confirmBy) {
		return false
	}
	return !ex.relay.started || ex.relay.resumable() && !ex.relay.versionInDoubt
}

// concludeFailed ends the request after its last call has failed. It relays the
// empty end of a stream or a buffered server error if there is one, and otherwise
// returns the error for the caller.
func (ex *exchange) concludeFailed(ctx context.Context, err error) error {
	var sendErr *SendError
	if !errors.As(err, &sendErr) {
		return err
	}
	if ex.deliverEmptyEnd() {
		return nil
	}
	if ex.relay.serverError != nil && !ex.relay.started {
		ex.deliver(ex.relay.serverError)
		return nil
	}
	if sendErr.Delivery != MayHaveRun && !ex.mayHaveRun() {
		return errkind.Wrap(err, errkind.NotAdmitted, "no target has run the request")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the deadline has passed")
	}
	return errkind.Wrap(err, errkind.RanFailed, ex.failureDetail())
}

// failureDetail describes a failure after which the request may have run.
func (ex *exchange) failureDetail() string {
	detail := fmt.Sprintf("sent to %v", ex.tried)
	if ex.relay.withheldStatus != 0 {
		detail += fmt.Sprintf("; an answer with status %d was withheld, since it does not prove that the request has not run", ex.relay.withheldStatus)
	}
	return detail
}

// mayHaveRun reports whether the target of an earlier failed call may have run
// the request.
func (ex *exchange) mayHaveRun() bool { return ex.relay.mayHaveRun }

// meanEventGap returns the mean gap between events, or zero if there are too
// few.
func meanEventGap(first, last time.Time, events int) time.Duration {
	if events < minGapEvents {
		return 0
	}
	return last.Sub(first) / time.Duration(events-1)
}

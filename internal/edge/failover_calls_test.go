package edge

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

func TestRequestThatMayRunOnceStaysWithItsSilentTarget(t *testing.T) {
	for name, route := range map[string]*fleet.Route{
		"non-idempotent":                 {Kind: fleet.NonIdempotent, MaxTargets: 3},
		"a stream that is not resumable": {Kind: fleet.Stream, MaxTargets: 3},
		"an idempotent one at its last":  {Kind: fleet.Idempotent, MaxTargets: 1},
	} {
		e := newTestServer(t, zap.NewNop(), route, 2, silentAfter(""))
		ctx, cancel := context.WithCancel(t.Context())
		e.serveOne(ctx)
		receive(t, e.transport.called, "call")
		receive(t, e.transport.silent, "silence")
		e.clock.Advance(5 * time.Second)
		receiveNothing(t, e.done, name+": the request ended")
		receiveNothing(t, e.transport.called, name+": the request moved")
		if n := len(e.slots.requests()); n != 1 {
			t.Errorf("%s: %d slot requests", name, n)
		}
		cancel()
		receive(t, e.done, "end")
	}
}

func TestSearchIsARetryThatAvoidsTheSilentTarget(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(3), 2, silentAfter(oneEvent), silentAfter(""))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.serveOne(ctx)
	first := receive(t, e.transport.called, "call")
	receive(t, e.caller.written, "event")
	e.passSilence(t, silentFor)
	receive(t, e.transport.called, "next call")
	asked := e.slots.requests()
	if len(asked) != 2 || !asked[1].Retry || !slices.Contains(asked[1].Avoid, first) {
		t.Errorf("slot requests %+v", asked)
	}
}

func TestSearchIsWithdrawnWhenItsCallEnds(t *testing.T) {
	for _, end := range []string{"call", "request"} {
		clock := clockwork.NewFakeClock()
		began, withdrawn := make(chan struct{}), make(chan struct{})
		seek := func(ctx context.Context, _ time.Time) (*heldSlot, error) {
			close(began)
			<-ctx.Done()
			close(withdrawn)
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		f := startFailover(ctx, clock, time.Second, seek, func(error) { t.Error("the call was ended") })
		clock.Advance(time.Second)
		receive(t, began, "search")
		if end == "call" {
			f.stop()
		} else {
			cancel()
		}
		receive(t, withdrawn, "withdrawal of the search at the end of the "+end)
		cancel()
		f.stop()
	}
}

func TestSlotOfAWithdrawnSearchDoesNotEndTheCall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	began, answer, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	seek := func(context.Context, time.Time) (*heldSlot, error) {
		close(began)
		<-answer
		return nil, nil
	}
	f := startFailover(t.Context(), clock, time.Second, seek, func(cause error) { ended <- cause })
	clock.Advance(time.Second)
	receive(t, began, "search")
	f.reset(time.Hour)
	close(answer)
	receiveNothing(t, ended, "the call was ended")
	if slot := f.stop(); slot != nil {
		t.Errorf("slot %v", slot)
	}
}

func TestStreamWithoutEventIDsIsNotCutWhenItsTargetFallsSilent(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(3), 2, silentAfter("data: a\n\n"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.serveOne(ctx)
	receive(t, e.transport.called, "call")
	e.passSilence(t, silentFor)
	receiveNothing(t, e.done, "the stream was cut")
}

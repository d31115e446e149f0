package edge

import (
	"context"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestEachRequestAfterASilentTargetIsARetry(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(3), 4, silentAfter(oneEvent), fails(Unsent), silentAfter(""))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.serveOne(ctx)
	receive(t, e.transport.called, "first call")
	receive(t, e.caller.written, "first event")
	e.passSilence(t, silentFor)
	receive(t, e.transport.called, "second call")
	receive(t, e.transport.called, "third call")
	for n, r := range e.slots.requests()[1:] {
		if !r.Retry {
			t.Errorf("slot request %d of a request that a target may have run is not a retry", n+2)
		}
	}
}

func TestRequestRunsAtNoMoreTargetsThanItMayAlsoIfOneCouldNotBeReached(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(2), 4, silentAfter(oneEvent), fails(Unsent), silentAfter(numberedEvent(2)), silentAfter(numberedEvent(3)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.serveOne(ctx)
	first := receive(t, e.transport.called, "first call")
	receive(t, e.caller.written, "first event")
	e.passSilence(t, silentFor)
	receive(t, e.transport.called, "the call that is not sent")
	second := receive(t, e.transport.called, "second run")
	receive(t, e.caller.written, "second event")
	// The first target has been ejected for a while because it was silent.
	receive(t, e.transport.silent, "silence of the second run")
	e.clock.Advance(400 * time.Millisecond)
	e.fill(t, first)
	e.clock.Advance(2100 * time.Millisecond)
	select {
	case third := <-e.transport.called:
		if third != first && third != second {
			t.Errorf("a request that may run at two targets runs at %s, %s and %s", first, second, third)
		}
	case <-time.After(testPause):
	}
}

// fill takes the free slots of a target.
func (e *testServer) fill(t *testing.T, id tables.TargetID) {
	t.Helper()
	var others []tables.TargetID
	for _, other := range e.directory.Targets() {
		if other.ID != id {
			others = append(others, other.ID)
		}
	}
	for range 2 * testSlots {
		_, _ = e.slots.inner.Acquire(t.Context(), pool.SlotRequest{Service: "s", FirstByteBudget: time.Hour, Avoid: others})
	}
}

func TestStreamReturnsToItsSilentTargetIfTheNextDoesNotRunIt(t *testing.T) {
	for _, c := range []struct {
		name       string
		maxTargets int
		next       step
	}{
		{"refused", 3, fails(NotRun)},
		{"refused by the last target that is allowed", 2, fails(NotRun)},
		{"not reached", 2, fails(Unsent)},
		{"another target at the address", 2, fails(WrongTarget)},
	} {
		e := newTestServer(t, zap.NewNop(), resumableStream(c.maxTargets), 2, silentAfter(oneEvent), c.next, answers(200, numberedEvent(2)))
		e.serveOne(t.Context())
		first := receive(t, e.transport.called, "first call")
		receive(t, e.caller.written, "first event")
		e.passSilence(t, silentFor)
		receive(t, e.transport.called, "second call")
		if id := e.nextCall(t); id != first {
			t.Errorf("%s: goes on at %s, want %s", c.name, id, first)
		}
		receive(t, e.done, "end of the request")
		if got := e.caller.body.String(); got != oneEvent+numberedEvent(2) || e.caller.aborted {
			t.Errorf("%s: the caller got %q, aborted %v", c.name, got, e.caller.aborted)
		}
	}
}

// nextCall lets the time pass until the next call.
func (e *testServer) nextCall(t *testing.T) tables.TargetID {
	t.Helper()
	for range 300 {
		select {
		case id := <-e.transport.called:
			return id
		case <-e.done:
			// The call may have come just before the end.
			if len(e.transport.called) > 0 {
				return <-e.transport.called
			}
			t.Fatalf("the request ended: %v, aborted %v", e.caller.refused, e.caller.aborted)
		case <-time.After(time.Millisecond):
			e.clock.Advance(10 * time.Millisecond)
		}
	}
	t.Fatal("no call")
	return ""
}

func TestRequestAtItsLastTargetMayOnlyReturn(t *testing.T) {
	ex := &exchange{
		server: &Server{Directory: &fixedDirectory{targets: newTestServer(t, zap.NewNop(), resumableStream(2), 4).directory.targets}},
		route:  resumableStream(2), service: "s", tried: []tables.TargetID{"t3", "t2"}, silent: "t3", mayReturn: true,
	}
	avoided := ex.avoided()
	slices.Sort(avoided)
	if !slices.Equal(avoided, []tables.TargetID{"t1", "t2", "t4"}) {
		t.Errorf("avoids %v", avoided)
	}
}

func TestSilentTargetThatRefusesOnReturnIsNotTriedAgain(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(2), 3, silentAfter(oneEvent), fails(NotRun))
	e.serveOne(t.Context())
	first := receive(t, e.transport.called, "first call")
	receive(t, e.caller.written, "first event")
	e.passSilence(t, silentFor)
	second := receive(t, e.transport.called, "second call")
	third := e.nextCall(t)
	receive(t, e.done, "end of the request")
	if first == second || third != first || len(e.transport.called) > 0 || !e.caller.aborted {
		t.Errorf("calls at %s, %s, %s and %d more, aborted %v", first, second, third, len(e.transport.called), e.caller.aborted)
	}
}

package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
)

// unknownRun is how long a stream of resumableStream is expected to run if nothing is known.
const unknownRun = time.Second

// takeSlots takes all slots that the only target of the server has for requests of unknown length.
func (e *testServer) takeSlots(t *testing.T) (release func()) {
	t.Helper()
	var grants []*pool.Grant
	for range 2 {
		grant, err := e.slots.inner.Acquire(t.Context(), pool.SlotRequest{Service: "s", FirstByteBudget: time.Second, MaxWait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		grants = append(grants, grant)
	}
	return func() {
		for _, g := range grants {
			g.Release(allocation.Unused, 0)
		}
	}
}

// expectShuttingDown checks that a request was refused as not run, and that no target got it.
func (e *testServer) expectShuttingDown(t *testing.T, caller *recordedCaller) {
	t.Helper()
	if errkind.Of(caller.refused) != errkind.ShuttingDown {
		t.Errorf("refused with %v", caller.refused)
	}
	if n := len(e.transport.called); n != 0 {
		t.Errorf("%d calls were made", n)
	}
}

// expectFreeSlots checks that the target takes as many requests as before.
func (e *testServer) expectFreeSlots(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	// The coordinator passes over its queue at the next time of its timer.
	e.clock.Advance(time.Second)
	for range 2 {
		if _, err := e.slots.inner.Acquire(ctx, pool.SlotRequest{Service: "s", FirstByteBudget: time.Second, MaxWait: time.Second}); err != nil {
			t.Errorf("a slot is still in use: %v", err)
		}
	}
}

// Guards against a request that goes on waiting for a slot until the process cuts it off, and
// whose place in the queue is kept.
func TestStoppingHostWithdrawsWaitsThatItCannotServe(t *testing.T) {
	hosts := []fleet.Host{selfHost}
	for name, c := range map[string]struct {
		left     time.Duration
		waitsFor time.Duration
		hosts    []fleet.Host
	}{
		"no time for the run":                        {unknownRun, 0, hosts},
		"half of what is left":                       {unknownRun + answerTime + 2*time.Second, time.Second, hosts},
		"no time for the run, at the local fallback": {unknownRun, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestServer(t, zap.NewNop(), resumableStream(1), 1, answers(http.StatusOK, oneEvent))
			e.slots.inner = newSlotClientAmong(t, c.hosts, e.directory, e.clock, zap.NewNop())
			e.Shutdown = NewShutdown()
			release := e.takeSlots(t)
			e.serveOne(t.Context())
			receive(t, e.slots.asking, "slot request")
			e.Shutdown.Begin(e.clock.Now().Add(c.left))
			if c.waitsFor > 0 {
				receiveNothing(t, e.done, "the wait has ended too early")
				e.clock.Advance(c.waitsFor)
			}
			receive(t, e.done, "refusal")
			e.expectShuttingDown(t, e.caller)
			release()
			e.expectFreeSlots(t)
		})
	}
}

// answerTime is more than a refusal needs to reach its caller.
const answerTime = 100 * time.Millisecond

// Guards against a request that is sent though the process ends before its run: a grant may
// arrive at the moment at which the stop begins.
func TestSlotThatIsGrantedAsTheStopBeginsIsGivenBackUnused(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(1), 1, answers(http.StatusOK, oneEvent))
	e.Shutdown = NewShutdown()
	e.slots.onAsk = func() { e.Shutdown.Begin(e.clock.Now().Add(unknownRun)) }
	caller := e.serveParts(t, "r")
	e.expectShuttingDown(t, caller)
	e.expectFreeSlots(t)
}

func TestStoppingHostServesWhatItCanComplete(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(1), 1, answers(http.StatusOK, oneEvent))
	e.Shutdown = NewShutdown()
	e.Shutdown.Begin(e.clock.Now().Add(unknownRun + 2*answerTime))
	if caller := e.serveParts(t, "r"); caller.refused != nil {
		t.Errorf("refused with %v", caller.refused)
	}
}

// Guards against a wait for the next target that lasts until the process cuts the request off, and
// against a refusal as not run of a request that may have run.
func TestRequestThatHasFailedIsNotRepeatedByAStoppingHost(t *testing.T) {
	for name, c := range map[string]struct {
		first step
		want  errkind.Kind
		// aborted is whether the caller has a part of the answer.
		aborted bool
	}{
		"not run":      {fails(NotRun), errkind.NotAdmitted, false},
		"may have run": {fails(MayHaveRun), errkind.RanFailed, false},
		"begun":        {brokenAfter(oneEvent), "", true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestServer(t, zap.NewNop(), resumableStream(2), 2, nil, answers(http.StatusOK, numberedEvent(2)))
			e.Shutdown = NewShutdown()
			e.transport.steps[0] = func(ctx context.Context, silent chan<- struct{}) (*Response, error) {
				e.Shutdown.Begin(e.clock.Now().Add(unknownRun / 2))
				return c.first(ctx, silent)
			}
			caller := e.serveParts(t, "r")
			if got := errkind.Of(caller.refused); got != c.want || caller.aborted != c.aborted {
				t.Errorf("refused with %v, aborted: %v", caller.refused, caller.aborted)
			}
			if n := len(e.transport.called); n != 1 {
				t.Errorf("%d calls were made", n)
			}
		})
	}
}

// Guards against a host that leaves a silent target for one whose answer it could not wait for.
func TestStoppingHostStaysWithASilentTarget(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), resumableStream(2), 2, silentAfter(oneEvent), answers(http.StatusOK, numberedEvent(2)))
	e.Shutdown = NewShutdown()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.serveOne(ctx)
	receive(t, e.transport.called, "call")
	receive(t, e.caller.written, "event")
	e.Shutdown.Begin(e.clock.Now().Add(silentFor + unknownRun/2))
	e.passSilence(t, silentFor)
	receiveNothing(t, e.transport.called, "a second call was made")
	receiveNothing(t, e.done, "the request has ended")
}

// Guards against an upload that is cut off at the end of the process, and against one that is ended
// because it is done.
func TestUploadMayLastUntilItsRequestCouldNotBeServed(t *testing.T) {
	const left = 3 * time.Second
	e := newTestServer(t, zap.NewNop(), resumableStream(1), 1, answers(http.StatusOK, oneEvent))
	e.Shutdown = NewShutdown()
	head := &Request{ID: "r", Host: "h", Path: "/x", Arrived: e.clock.Now()}
	uploading, done := e.AllowUpload(t.Context(), head)
	defer done()
	whole, end := e.AllowUpload(t.Context(), head)
	e.Shutdown.Begin(e.clock.Now().Add(left))
	receiveNothing(t, uploading.Done(), "the upload has ended too early")
	end()
	if err := e.UploadError(whole, head); err != nil {
		t.Errorf("an upload that is whole is refused: %v", err)
	}
	e.clock.Advance(left - unknownRun)
	receive(t, uploading.Done(), "end of the upload")
	if err := e.UploadError(uploading, head); errkind.Of(err) != errkind.ShuttingDown {
		t.Errorf("refused with %v", err)
	}
}

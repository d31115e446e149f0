package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// passUntilDone lets the time pass in steps until the request ends.
func (e *testServer) passUntilDone(t *testing.T, what string) {
	t.Helper()
	for range 1000 {
		select {
		case <-e.done:
			return
		case <-time.After(5 * time.Millisecond):
			e.clock.Advance(100 * time.Millisecond)
		}
	}
	t.Errorf("%s: no end", what)
}

func TestRequestWithoutADeadlineEndsIfItsTargetIsSilentForGood(t *testing.T) {
	for name, c := range map[string]struct {
		route *fleet.Route
		sent  string
	}{
		"idempotent":                       {&fleet.Route{Kind: fleet.Idempotent, MaxTargets: 2}, ""},
		"non-idempotent":                   {&fleet.Route{Kind: fleet.NonIdempotent, MaxTargets: 2}, ""},
		"non-idempotent, part of its body": {&fleet.Route{Kind: fleet.NonIdempotent, MaxTargets: 2}, "x"},
		"stream":                           {resumableStream(2), oneEvent},
	} {
		e := newTestServer(t, zap.NewNop(), c.route, 1, silentAfter(c.sent))
		ctx, cancel := context.WithCancel(t.Context())
		e.serveOne(ctx)
		receive(t, e.transport.silent, name)
		e.clock.Advance(defaultTimeout - time.Millisecond)
		receiveNothing(t, e.done, name+": the request ended")
		e.clock.Advance(time.Millisecond)
		e.passUntilDone(t, name)
		if !e.caller.aborted && errkind.Of(e.caller.refused) != errkind.RanFailed {
			t.Errorf("%s: refused with %v", name, e.caller.refused)
		}
		cancel()
		receive(t, e.done, name)
	}
}

// gapBody is a body with a gap before each part that is shorter than defaultTimeout.
type gapBody struct {
	ctx   context.Context
	clock *clockwork.FakeClock
	parts []string
}

func (b *gapBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	b.clock.Advance(defaultTimeout - time.Second)
	// What the clock has fired runs in other goroutines.
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-time.After(testPause / 10):
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

func (b *gapBody) Close() error { return nil }

// pausingCaller takes longer than defaultTimeout for each part.
type pausingCaller struct {
	*recordedCaller
	clock *clockwork.FakeClock
}

func (c *pausingCaller) Write(p []byte) error {
	c.clock.Advance(2 * defaultTimeout)
	return c.recordedCaller.Write(p)
}

func TestRequestWithoutADeadlineMayTakeLong(t *testing.T) {
	for name, route := range map[string]*fleet.Route{
		"stream":         {Kind: fleet.Stream, MaxTargets: 1},
		"non-idempotent": {Kind: fleet.NonIdempotent, MaxTargets: 1},
	} {
		var e *testServer
		parts := []string{numberedEvent(1), numberedEvent(2), numberedEvent(3), numberedEvent(4)}
		e = newTestServer(t, zap.NewNop(), route, 1, func(ctx context.Context, _ chan<- struct{}) (*Response, error) {
			body := &gapBody{ctx, e.clock, parts}
			return &Response{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, Body: body}, nil
		})
		caller := &pausingCaller{e.caller, e.clock}
		e.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/x", Header: http.Header{}, Arrived: e.clock.Now()}, caller)
		if got := caller.body.String(); got != strings.Join(parts, "") || caller.aborted || caller.refused != nil {
			t.Errorf("%s: the caller got %q, refused with %v", name, got, caller.refused)
		}
	}
}

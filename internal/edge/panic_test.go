package edge

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// panickingCaller panics when a response begins, as net/http does on a status below 100.
type panickingCaller struct{ recordedCaller }

func (c *panickingCaller) Begin(int, http.Header, int64) { panic("invalid status") }

// Guards against a slot that is held for good after a call that panicked.
func TestPanicInACallReleasesItsSlot(t *testing.T) {
	e := newTestServer(t, zap.NewNop(), &fleet.Route{Kind: fleet.NonIdempotent, MaxTargets: 1}, 1, answers(http.StatusOK, "body"))
	for range 2 * testSlots {
		r := &Request{ID: "r", Method: http.MethodPost, Host: "h", URI: "/x", Path: "/x", Header: http.Header{}, Arrived: e.clock.Now()}
		panicked := make(chan any, 1)
		go func() {
			defer func() { panicked <- recover() }()
			e.Serve(t.Context(), r, &panickingCaller{})
		}()
		select {
		case cause := <-panicked:
			if cause == nil {
				t.Fatal("the call did not panic")
			}
		case <-time.After(time.Second):
			t.Fatal("no slot is free, although all calls have ended")
		}
	}
}

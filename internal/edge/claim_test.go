package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// claims is a target that answers with a status that states that the request has not run, and does
// not prove it.
func claims(status int) step {
	answer := answers(status, "claim")
	return func(ctx context.Context, silent chan<- struct{}) (*Response, error) {
		resp, err := answer(ctx, silent)
		resp.ClaimsNotRun = true
		return resp, err
	}
}

// claimStatuses are the statuses that make callers repeat a request that may run once.
var claimStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// claimTestTargets is the number of targets to which the requests of these tests may be sent.
const claimTestTargets = 2

// routesOnce are routes whose requests may run once, routesRepeatable those whose requests may be
// sent again after they have run.
func routesOnce() []*fleet.Route {
	return []*fleet.Route{{Kind: fleet.NonIdempotent, MaxTargets: claimTestTargets}, {Kind: fleet.Stream, MaxTargets: claimTestTargets}}
}

func routesRepeatable() []*fleet.Route {
	return []*fleet.Route{{Kind: fleet.Idempotent, MaxTargets: claimTestTargets}, resumableStream(claimTestTargets)}
}

// claimCase is what targets do with the calls of one request, and the statuses that the caller gets.
type claimCase struct {
	name             string
	steps            []step
	once, repeatable int
	// notRun is true if it is proved that no target has run the request.
	notRun bool
}

func claimCases() []claimCase {
	cases := []claimCase{
		{"refused", []step{fails(NotRun)}, 503, 503, true},
		{"another target at the address", []step{fails(WrongTarget)}, 503, 503, true},
		{"not reached", []step{fails(Unsent)}, 503, 503, true},
		{"refused, then not reached", []step{fails(NotRun), fails(Unsent)}, 503, 503, true},
		{"lost", []step{fails(MayHaveRun)}, 502, 502, false},
		{"lost, then refused", []step{fails(MayHaveRun), fails(NotRun)}, 502, 502, false},
		{"lost, then another target", []step{fails(MayHaveRun), fails(WrongTarget)}, 502, 502, false},
		{"lost, then not reached", []step{fails(MayHaveRun), fails(Unsent)}, 502, 502, false},
		{"refused, then lost", []step{fails(NotRun), fails(MayHaveRun)}, 502, 502, false},
		{"not reached, then lost", []step{fails(Unsent), fails(MayHaveRun)}, 502, 502, false},
		{"server error", []step{answers(500, "e")}, 500, 500, false},
		{"too early", []step{answers(425, "e")}, 425, 425, false},
		{"server error, then refused", []step{answers(500, "e"), fails(NotRun)}, 500, 500, false},
		{"unsigned server error", []step{unsignedAnswer(answers(500, "e"))}, 502, 502, false},
	}
	for _, status := range claimStatuses {
		claim := func(name string) string { return fmt.Sprintf("claim %d%s", status, name) }
		cases = append(cases,
			claimCase{claim(""), []step{claims(status)}, 502, 502, false},
			claimCase{claim(" without a signature"), []step{unsignedAnswer(claims(status))}, 502, 502, false},
			claimCase{claim(", then refused"), []step{claims(status), fails(NotRun)}, 502, 502, false},
			claimCase{claim(" after a refusal"), []step{fails(NotRun), claims(status)}, 502, 502, false},
			claimCase{claim(" after a loss"), []step{fails(MayHaveRun), claims(status)}, 502, 502, false},
			claimCase{claim(" after a server error"), []step{answers(500, "e"), claims(status)}, 500, 500, false},
			claimCase{claim(", then a server error"), []step{claims(status), answers(500, "e")}, 502, 500, false},
			claimCase{claim(", then an answer"), []step{claims(status), answers(404, "e")}, 502, 404, false},
		)
	}
	return cases
}

// Guards against callers that repeat a request which has run, because they got a status that states
// that it has not: of a target, or of this host after another target has refused the request.
func TestCallerIsToldThatARequestHasNotRunOnlyIfThatIsProved(t *testing.T) {
	for _, c := range claimCases() {
		for _, route := range slices.Concat(routesOnce(), routesRepeatable()) {
			want := c.once
			if route.Retryable() {
				want = c.repeatable
			}
			e := newTestServer(t, zap.NewNop(), route, claimTestTargets+1, c.steps...)
			e.serveOne(t.Context())
			e.letEnd(t, c.name)
			got := e.caller.status()
			if got != want || !c.notRun && slices.Contains(claimStatuses, got) {
				t.Errorf("%s, kind %v, may be repeated %v: status %d, want %d", c.name, route.Kind, route.Retryable(), got, want)
			}
		}
	}
}

// Guards against a refusal by the coordinator, the local fallback, the retry budget or a stop that
// takes the place of what became of an earlier call.
func TestRefusalOfAFurtherSlotDoesNotHideThatTheRequestMayHaveRun(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		for _, first := range []claimCase{
			{"lost", []step{fails(MayHaveRun)}, 502, 502, false},
			{"claim", []step{claims(503)}, 502, 502, false},
			{"refused", []step{fails(NotRun)}, 503, 503, true},
		} {
			for _, route := range slices.Concat(routesOnce(), routesRepeatable()) {
				e := newTestServer(t, zap.NewNop(), route, claimTestTargets+1, first.steps...)
				e.slots.refuse = func(n int) error {
					if n == 1 {
						return nil
					}
					return errkind.New(kind, "no further slot")
				}
				e.serveOne(t.Context())
				receive(t, e.done, "end of the request")
				if got := e.caller.status(); got != first.once {
					t.Errorf("%s, then %s, kind %v, may be repeated %v: status %d, want %d", first.name, kind, route.Kind, route.Retryable(), got, first.once)
				}
			}
		}
	}
}

// letEnd lets the time pass until the request has ended.
func (e *testServer) letEnd(t *testing.T, what string) {
	t.Helper()
	for limit := time.Now().Add(testLimit); time.Now().Before(limit); {
		select {
		case <-e.done:
			return
		case <-time.After(time.Millisecond):
			e.clock.Advance(100 * time.Millisecond)
		}
	}
	t.Fatalf("%s: the request has not ended", what)
}

// status returns the status that the caller got; zero if its connection was closed.
func (c *recordedCaller) status() int {
	switch {
	case len(c.begun) > 0:
		return c.begun[0]
	case c.refused != nil:
		return errkind.Of(c.refused).Answer().Status
	default:
		return 0
	}
}

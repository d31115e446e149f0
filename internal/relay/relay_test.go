package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// fakeTargets answers with the forwarded body, or fails.
type fakeTargets struct {
	fail error
	// direct counts the calls over connections of the host, forwarded those for others.
	direct, forwarded int
	// notice is what the target says of itself in its answers to others.
	notice edge.TargetNotice
}

func (f *fakeTargets) Send(context.Context, fleet.Target, edge.Call) (*edge.Response, error) {
	f.direct++
	return nil, &edge.SendError{Delivery: edge.Unsent, Cause: errors.New("refused")}
}

func (f *fakeTargets) SendThrough(ctx context.Context, through http.RoundTripper, t fleet.Target, c edge.Call) (*edge.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+"/x", strings.NewReader(string(c.Request.Body)))
	if err != nil {
		return nil, err
	}
	resp, err := through.RoundTrip(req) //nolint:bodyclose // The caller closes the body of the edge.Response.
	var stated *edge.SendError
	switch {
	case errors.As(err, &stated):
		return nil, stated
	case err != nil:
		return nil, &edge.SendError{Delivery: edge.MayHaveRun, Cause: err}
	}
	return &edge.Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body}, nil
}

func (f *fakeTargets) Forward(_ context.Context, _ fleet.Target, r ForwardedRequest) (*http.Response, error) {
	if f.fail != nil {
		return nil, f.fail
	}
	f.forwarded++
	if r.OnNotice != nil {
		r.OnNotice(f.notice)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Own": {"1"}, headerResult: {"forged"}}, ContentLength: int64(len(r.Body)), Body: io.NopCloser(strings.NewReader(string(r.Body)))}, nil
}

func (f *fakeTargets) Probe(context.Context, fleet.Target) error { return errors.New("cut") }

func (f *fakeTargets) ProbeEnd(context.Context, fleet.Target, time.Duration) answerend.Probe {
	return answerend.Unanswered
}

func (f *fakeTargets) Ask(context.Context, fleet.Target) answerend.Reply { return answerend.Reply{} }

func newTestRouter(id tables.HostID, targets Targets, hosts ...fleet.Host) *Router {
	r := NewRouter()
	r.Self, r.Targets, r.Clock, r.Logger = fleet.Host{ID: id, Domain: "d"}, targets, clockwork.NewRealClock(), zap.NewNop()
	r.Hosts = func() []fleet.Host { return hosts }
	r.Target = func(tables.TargetID) (fleet.Target, bool) { return fleet.Target{}, false }
	r.Listed = func() []fleet.Target { return nil }
	return r
}

// serveHost serves a handler at the address at which a host takes requests of others.
func serveHost(t *testing.T, id tables.HostID, handler http.Handler) fleet.Host {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	return fleet.Host{ID: id, Domain: "d", Cores: 1, Address: net.JoinHostPort(host, strconv.Itoa(number-PortOffset))}
}

func handlerOf(targets Targets, stopping bool) *Handler {
	return &Handler{Router: newTestRouter("other", targets), Logger: zap.NewNop(), Stopping: func() bool { return stopping }}
}

func send(r *Router, body string) (string, error) {
	call := edge.Call{Request: &edge.Request{ID: "r", Body: []byte(body)}, Timeout: time.Second}
	resp, err := r.Send(context.Background(), fleet.Target{ID: "t", Address: "127.0.0.1:1"}, call)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if resp.Header.Get(headerResult) != "" || resp.Header.Get("X-Own") != "1" || resp.Length != int64(len(body)) || resp.Via != "other" {
		return "", fmt.Errorf("header %v, length %d, via %q", resp.Header, resp.Length, resp.Via)
	}
	return string(got), err
}

func TestRequestWhoseTargetCannotBeReachedGoesThroughAnotherHost(t *testing.T) {
	direct := &fakeTargets{}
	r := newTestRouter("self", direct, serveHost(t, "other", handlerOf(&fakeTargets{}, false)))
	for range 3 {
		if got, err := send(r, "body"); err != nil || got != "body" {
			t.Errorf("%q, %v", got, err)
		}
	}
	if direct.direct != 1 {
		t.Errorf("%d attempts over the lost path", direct.direct)
	}
}

func TestHopWithoutAnAnswerIsNeverSaidNotToHaveRun(t *testing.T) {
	cutOff := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for name, handler := range map[string]http.Handler{
		"the hop broke":             cutOff,
		"the target sent no answer": handlerOf(&fakeTargets{fail: &edge.SendError{Delivery: edge.MayHaveRun, Cause: io.EOF}}, false),
		"the answer has no last word": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerResult, resultAnswered)
			w.Header().Set("X-Own", "1")
			w.Header().Set(headerLength, "4")
			_, _ = io.WriteString(w, "body")
		}),
	} {
		r := newTestRouter("self", &fakeTargets{}, serveHost(t, "other", handler))
		_, err := send(r, "body")
		var sendErr *edge.SendError
		if !errors.As(err, &sendErr) || sendErr.Delivery != edge.MayHaveRun {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestHostThatDoesNotSendIsToldApart(t *testing.T) {
	for name, handler := range map[string]http.Handler{
		"stopping":        handlerOf(&fakeTargets{}, true),
		"unreachable":     handlerOf(&fakeTargets{fail: &edge.SendError{Delivery: edge.Unsent, Cause: io.EOF}}, false),
		"another program": http.NotFoundHandler(),
		"too long a body": handlerOf(&fakeTargets{}, false),
	} {
		body := "body"
		if name == "too long a body" {
			body = strings.Repeat("x", maxBodyBytes+1)
		}
		r := newTestRouter("self", &fakeTargets{}, serveHost(t, "other", handler))
		_, err := send(r, body)
		var sendErr *edge.SendError
		if !errors.As(err, &sendErr) || sendErr.Delivery != edge.Unsent {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a request that a host begins to send for another one though it has been told to stop
// while the body arrived, and which it may have to cut off.
func TestRequestWhoseBodyArrivesDuringTheStopIsNotSent(t *testing.T) {
	targets := &fakeTargets{}
	handler := handlerOf(targets, false)
	var stopping atomic.Bool
	handler.Stopping = stopping.Load
	r := httptest.NewRequest(http.MethodPost, "/x", &bodyDuringStop{rest: strings.NewReader("body"), stopping: &stopping})
	r.ContentLength = int64(len("body"))
	r.Header.Set(headerTarget, "t")
	r.Header.Set(headerTargetAddress, "127.0.0.1:1")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if got := w.Header().Get(headerResult); got != resultRefused || targets.forwarded > 0 {
		t.Errorf("result %q, %d requests were sent", got, targets.forwarded)
	}
}

// bodyDuringStop is a body with whose bytes the stop begins.
type bodyDuringStop struct {
	rest     io.Reader
	stopping *atomic.Bool
}

func (b *bodyDuringStop) Read(p []byte) (int, error) {
	b.stopping.Store(true)
	return b.rest.Read(p)
}

func TestAddressOfAHostThatNamesNoneIsEmpty(t *testing.T) {
	if got := Address("10.0.0.1:7600"); got != "10.0.0.1:7602" {
		t.Error(got)
	}
	for _, address := range []string{"", "x", "10.0.0.1:port"} {
		if got := Address(address); got != "" {
			t.Errorf("%q: %q", address, got)
		}
	}
}

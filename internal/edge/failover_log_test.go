package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

// pausedBody is a body that is silent after its first part until goOn is closed.
type pausedBody struct {
	*silentBody
	goOn <-chan struct{}
	rest io.Reader
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if n, err := b.start.Read(p); err == nil {
		return n, nil
	}
	select {
	case b.silent <- struct{}{}:
	default:
	}
	select {
	case <-b.goOn:
		return b.rest.Read(p)
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
}

// silentUntil is a target that falls silent after first, and sends the rest once goOn is
// closed.
func silentUntil(goOn <-chan struct{}, first, rest string) step {
	return func(ctx context.Context, silent chan<- struct{}) (*Response, error) {
		body := &pausedBody{&silentBody{ctx, strings.NewReader(first), silent}, goOn, strings.NewReader(rest)}
		return &Response{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, Body: body}, nil
	}
}

// serveLogged serves a stream of up to two events whose target falls silent until a search
// has begun. It returns the events for silent targets.
func serveLogged(t *testing.T, targets int, leave bool) int {
	core, logs := observer.New(zapcore.InfoLevel)
	goOn := make(chan struct{})
	e := newTestServer(t, zap.NewNop(), resumableStream(3), targets, silentUntil(goOn, oneEvent, numberedEvent(2)), answers(http.StatusOK, numberedEvent(2)))
	e.Logger = zap.New(core)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.serveOne(ctx)
	receive(t, e.slots.asking, "first slot request")
	receive(t, e.caller.written, "first event")
	e.passSilence(t, silentFor)
	receive(t, e.slots.asking, "search")
	if leave {
		cancel()
	} else if targets == 1 {
		close(goOn)
	}
	receive(t, e.done, "end of the request")
	receiveNothing(t, e.slots.asking, "a further slot request")
	return logs.FilterMessage(event.TargetSilent.Message).Len()
}

func TestWithdrawnSearchIsNotLogged(t *testing.T) {
	if n := serveLogged(t, 1, false); n != 0 {
		t.Errorf("the target went on: %d events", n)
	}
	if n := serveLogged(t, 1, true); n != 0 {
		t.Errorf("the caller left: %d events", n)
	}
	if n := serveLogged(t, 2, false); n != 1 {
		t.Errorf("the request moved: %d events", n)
	}
}

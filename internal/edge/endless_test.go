package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/observe"
)

// endlessCap ends also what nobody stops reading, so that a test ends. It is in bytes.
const endlessCap = 8 << 20

// endlessBody is a body that begins with a text and then repeats another one.
type endlessBody struct {
	first, repeated string
	read            int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.read >= endlessCap {
		return 0, io.EOF
	}
	text := b.first
	if b.read > 0 {
		text = strings.Repeat(b.repeated, len(p)/len(b.repeated))
	}
	n := copy(p, text)
	b.read += n
	return n, nil
}

func (b *endlessBody) Close() error { return nil }

// keptCaller keeps what the caller of a request receives.
type keptCaller struct{ body strings.Builder }

func (c *keptCaller) Begin(int, http.Header, int64) {}
func (c *keptCaller) Write(p []byte) error {
	_, err := c.body.Write(p)
	return err
}
func (c *keptCaller) Refuse(error) {}
func (c *keptCaller) Abort()       {}

func TestResponseWithoutEndIsReadUpToItsBound(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for _, c := range []struct {
		name, first, repeated string
		kind                  fleet.RouteKind
		status, limit         int
		received              string
	}{
		{"an event", event, "x", fleet.Stream, http.StatusOK, MaxEventBytes, event},
		{"no event", event, "\n", fleet.Stream, http.StatusOK, MaxEventBytes, event},
		{"a stream without events", "x", "x", fleet.Stream, http.StatusOK, MaxEventBytes, ""},
		{"a body", "x", "x", fleet.Idempotent, http.StatusOK, MaxBufferedBody, ""},
		{"a server error", "x", "x", fleet.Idempotent, http.StatusInternalServerError, MaxBufferedBody, ""},
	} {
		body := &endlessBody{first: c.first, repeated: c.repeated}
		caller := &keptCaller{}
		ex := &exchange{
			server: &Server{Clock: clockwork.NewFakeClock(), Metrics: observe.NewEdgeMetrics()}, request: &Request{},
			route: &fleet.Route{Kind: c.kind}, caller: caller,
		}
		err := ex.relayResponse(context.Background(), &Response{Status: c.status, Signed: true, Length: -1, Body: body}, func() {})
		var sendErr *SendError
		if !errors.As(err, &sendErr) || sendErr.Delivery != MayHaveRun {
			t.Errorf("%s: error %v", c.name, err)
		}
		if limit := c.limit + 2*readBufferSize; body.read > limit {
			t.Errorf("%s: %d bytes read, want %d at most", c.name, body.read, limit)
		}
		if caller.body.String() != c.received {
			t.Errorf("%s: the caller received %d bytes, want %d", c.name, caller.body.Len(), len(c.received))
		}
	}
}

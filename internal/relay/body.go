package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// watch returns the body of an answer that came over a connection of this host, to a request
// that was sent at a time.
func (r *Router) watch(ctx context.Context, t fleet.Target, request string, begunAt time.Time, body io.ReadCloser, framed bool) io.ReadCloser {
	heard := &heardBody{body, r, t.Address}
	if framed || body == http.NoBody {
		return heard
	}
	return r.judged(ctx, t, request, begunAt, heard)
}

// judged returns the body of an answer without a length, whose end this host judges.
func (r *Router) judged(ctx context.Context, t fleet.Target, request string, begunAt time.Time, body io.ReadCloser) io.ReadCloser {
	return &judgedBody{ReadCloser: body, judge: func() error { return r.judgeEnd(ctx, t, request, begunAt) }}
}

// confirmed returns the body of an answer in chunks, whose end may have to be confirmed.
func (r *Router) confirmed(ctx context.Context, t fleet.Target, begunAt time.Time, body io.ReadCloser) io.ReadCloser {
	return &judgedBody{ReadCloser: body, judge: func() error { return r.confirmEnd(ctx, t, begunAt) }}
}

// heardBody records that a target has sent something to this host.
type heardBody struct {
	io.ReadCloser
	router  *Router
	address string
}

// Read implements io.Reader.
func (b *heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.router.received()
		b.router.ends.heard(b.router.Clock.Now(), b.address)
	}
	return n, err
}

// endedBody calls end when it is closed.
type endedBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *endedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// watch returns the body of an answer that came over a connection of this host.
func (r *Router) watch(ctx context.Context, t fleet.Target, request string, body io.ReadCloser, framed bool) io.ReadCloser {
	heard := &heardBody{body, r, t.Address}
	if framed || body == http.NoBody {
		return heard
	}
	return &unframedBody{ReadCloser: heard, judge: func() error { return r.judgeEnd(ctx, t, request) }}
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

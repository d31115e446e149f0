package httpcall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrNotPermitted is the cause of a call whose permit said no when its
// connection was ready.
var ErrNotPermitted = errors.New("the permit to send has lapsed")

type permitKey struct{}

// WithPermit makes calls under ctx ask permit after their connection was made
// and before the first byte is written. A process that was paused in between
// asks only when it runs again, and writes to a connection from before the
// pause. permit is called from any goroutine.
func WithPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

func permitOf(ctx context.Context) func() bool {
	permit, _ := ctx.Value(permitKey{}).(func() bool)
	return permit
}

// guard puts permit in front of the body. The transport buffers the header
// until the body was read for the first time, and drops both when that fails.
func guard(req *http.Request, body []byte, permit func() bool, sent *atomic.Bool) {
	open := func() (io.ReadCloser, error) {
		return &guardedBody{Reader: bytes.NewReader(body), permit: permit, sent: sent}, nil
	}
	req.Body, _ = open()
	req.GetBody = open
	req.ContentLength = int64(len(body))
}

type guardedBody struct {
	*bytes.Reader
	permit func() bool
	sent   *atomic.Bool
	asked  bool
}

// Read asks the permit once and then reads the body. The error is
// ErrNotPermitted.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		if !b.permit() {
			return 0, ErrNotPermitted
		}
		b.sent.Store(true)
	}
	return b.Reader.Read(p)
}

// WriteTo hides that of the Reader, which would go round Read.
func (b *guardedBody) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{b})
}

// Close does nothing.
func (b *guardedBody) Close() error { return nil }

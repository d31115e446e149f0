package edge

import (
	"errors"
	"fmt"
	"io"
)

const (
	// MaxBufferedBody bounds the size of responses that are buffered before any
	// part is relayed.
	MaxBufferedBody = 1 << 20
	// maxBufferedBodies bounds the size of all of them at the same time, in bytes.
	// Bodies that are not longer than ordinaryBody are read in any case.
	maxBufferedBodies = 32 << 20
	ordinaryBody      = 64 << 10
)

var (
	errBodyTooLong   = fmt.Errorf("the body exceeds %d bytes", MaxBufferedBody)
	errBodiesTooLong = fmt.Errorf("the bodies of all requests exceed %d bytes", maxBufferedBodies)
)

// readBody reads a whole body. Its bytes count until releaseBodies is called.
func (ex *exchange) readBody(body io.Reader) ([]byte, error) {
	before := ex.bufferedBytes
	data, err := io.ReadAll(&bodyReader{ex: ex, body: io.LimitReader(body, MaxBufferedBody+1)})
	switch {
	case errors.Is(err, errBodiesTooLong):
	case err != nil:
		err = fmt.Errorf("%w: %w", errTruncated, err)
	case len(data) > MaxBufferedBody:
		err = errBodyTooLong
	default:
		return data, nil
	}
	ex.countBody(before - ex.bufferedBytes)
	return nil, err
}

// releaseBodies ends the use of all bodies of the request.
func (ex *exchange) releaseBodies() { ex.countBody(-ex.bufferedBytes) }

// countBody adds n bytes to those of the request and returns those of all requests;
// room is false if they are more than the budget of the host allows.
func (ex *exchange) countBody(n int64) (all int64, room bool) {
	ex.bufferedBytes += n
	room = true
	if n > 0 {
		room = ex.answers.Force(n)
	} else {
		ex.answers.Release(-n)
	}
	return ex.server.bufferedBytes.Add(n), room
}

// bodyReader counts the bytes of a body. It fails once the body is not an ordinary one
// and the bodies of all requests are too long.
type bodyReader struct {
	ex   *exchange
	body io.Reader
	read int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, ErrEndUnconfirmed) {
		// What is not a stream can't go on elsewhere.
		err = io.EOF
	}
	r.read += n
	if n > 0 {
		r.ex.silence.reset()
	}
	if all, room := r.ex.countBody(int64(n)); (all > maxBufferedBodies || !room) && r.read > ordinaryBody {
		return n, errBodiesTooLong
	}
	return n, err
}

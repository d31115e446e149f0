package connlimit

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxDiscarded bounds the bytes of an unread body that are read after its request was
	// refused. Some callers read the answer only once they have sent the whole body.
	maxDiscarded = 256 << 10
	// discardTime is how long that may take. A connection that is closed while bytes come may
	// lose its answer.
	discardTime = 500 * time.Millisecond
)

var errDiscarded = errors.New("the body of a refused request is not read to its end")

// lingering is the end of a connection after its last answer. It is safe for concurrent use.
type lingering struct {
	// since is when the last answer was given, in ns since 1970; zero before.
	since atomic.Int64
	// discarding is true if what still comes is not passed on.
	discarding atomic.Bool
}

// begin records that the last answer was given.
func (g *lingering) begin(now time.Time) { g.since.Store(now.UnixNano()) }

// begunAt returns when the last answer was given; zero before.
func (g *lingering) begunAt() time.Time {
	if ns := g.since.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// endRequest is called when the handler of a request has returned. If the connection ends
// after the answer, what still comes of the body is discarded without being decoded.
func (c *conn) endRequest(w http.ResponseWriter, r *http.Request) {
	if !c.limiter.Budget.Bounded() || w.Header().Get("Connection") != "close" {
		return
	}
	c.linger.begin(c.limiter.clock.Now())
	c.linger.discarding.Store(r.ContentLength != 0)
}

// discard reads and drops what comes until the time is over or the caller ends the connection.
func (c *conn) discard(buffer []byte) error {
	if err := c.Conn.SetReadDeadline(time.Now().Add(discardTime)); err != nil {
		return err
	}
	for left := maxDiscarded; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return err
		}
		left -= n
	}
	// The rest stays in the socket until the caller has had time to read the answer.
	time.Sleep(time.Until(c.linger.begunAt().Add(discardTime)))
	return errDiscarded
}

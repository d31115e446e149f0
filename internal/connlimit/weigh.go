package connlimit

import (
	"bytes"
	"net"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/membudget"
)

// fieldBytes is the memory that a header field takes beside its own bytes until its request has
// ended. http.Server keeps it in a map, and there are two copies of that for a target: 2,600
// fields with names of two bytes took 94 bytes each when they were read, and 95 in each copy.
const fieldBytes = 320

// valueBytes is the same for each value of a field: 4,000 of them took 21 bytes each when they
// were read, and 16 in each copy.
const valueBytes = 80

// ordinaryWeight is the weight that is not counted: the bound of the connections covers it.
const ordinaryWeight = 6 << 10

// weightOf returns the memory of a part of a header.
func weightOf(part []byte) int64 {
	return int64(len(part)) + fieldBytes*int64(bytes.Count(part, []byte{'\n'}))
}

// headerWeight counts the memory of the header that a connection reads or has read. The lock of
// the connection guards its fields.
type headerWeight struct {
	account *membudget.Account
	// begun is the weight of what has been read of the present header.
	begun int64
	// latest is the weight of the latest bytes that http.Server has buffered, which may
	// include a part of the next header.
	latest int64
	// after is how many bytes have been read after the end of the present header; negative if
	// unknown. expected is the length of its body; negative if unknown.
	after, expected int64
	// beyond is true if a header without a body came together with more bytes.
	beyond bool
}

// serverBuffer is the size of the buffer of http.Server. Longer reads are those of a body and
// do not go beyond its end.
const serverBuffer = 4 << 10

var headerEnd = []byte("\r\n\r\n")

// readHeader records a part of a header, which may go on after its end.
func (w *headerWeight) readHeader(part []byte) {
	w.latest = weightOf(part)
	w.begun += w.latest
	w.after = -1
	_, after, found := bytes.Cut(part, headerEnd)
	if found {
		w.after = int64(len(after))
	}
	// Some callers send a line end that belongs to no request.
	w.beyond = found && len(bytes.Trim(after, "\r\n")) > 0
}

// readBody records a read of a body into a buffer of a length.
func (w *headerWeight) readBody(part []byte, length int) {
	if w.after >= 0 {
		w.after += int64(len(part))
	}
	w.latest = 0
	if length <= serverBuffer {
		w.latest = weightOf(part)
	}
}

// endRequest records the end of a request. What may have been read of the next header is its
// beginning.
func (w *headerWeight) endRequest() {
	w.begun = w.latest
	if w.after >= 0 && w.expected >= 0 && w.after <= w.expected {
		w.begun = 0
	}
	w.after = -1
}

func (l *Limiter) newConn(inner net.Conn) *conn {
	return &conn{Conn: inner, limiter: l, openedAt: l.clock.Now(), weight: headerWeight{account: l.Budget.Open()}}
}

// await begins the wait for the next header. The lock of the connection must be held.
func (w *headerWeight) await(c *conn) {
	w.account.Release(w.account.Held())
	w.endRequest()
	if counted := w.begun - ordinaryWeight; counted > 0 && !w.account.TryReserve(counted) {
		go c.closeUnlessServing()
	}
	w.account.AllowEviction(func() { go c.closeUnlessServing() })
}

// closeUnlessServing closes the connection unless its request has been read.
func (c *conn) closeUnlessServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		c.closeLocked()
		c.limiter.refused()
	}
}

// weigh counts what has been read of a header into a buffer of a length. It returns false if
// there is no memory for it. Bytes of a body are counted where it is read.
func (c *conn) weigh(part []byte, length int) bool {
	if !c.limiter.Budget.Bounded() {
		return true
	}
	counted := c.recordRead(part, length)
	if counted <= 0 {
		return true
	}
	c.weight.account.Arrived(len(part))
	if c.weight.account.Resize(counted) {
		return true
	}
	c.limiter.refused()
	return false
}

// recordRead records what has been read and returns how much of a header is to be counted.
func (c *conn) recordRead(part []byte, length int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != serving:
		c.weight.readHeader(part)
		return c.weight.begun - ordinaryWeight
	case length == backgroundRead:
		c.early.note(part[0], c.limiter.clock.Now())
	default:
		c.weight.readBody(part, length)
	}
	return 0
}

func (l *Limiter) refused() {
	if l.OnRefuse != nil {
		l.OnRefuse()
	}
}

// admit counts the memory of a header that was read as a whole. It answers the request and
// returns false if there is none.
func (c *conn) admit(w http.ResponseWriter, r *http.Request) bool {
	if !c.limiter.Budget.Bounded() {
		return true
	}
	// A pipelined request may not have been seen by Read.
	c.beginServing()
	c.early.hold(w, r)
	if c.beginBody(r.ContentLength) {
		c.early.notice(c.limiter.clock.Now())
	}
	if c.weight.account.Resize(max(requestWeight(r)-ordinaryWeight, 0)) {
		return true
	}
	c.limiter.refused()
	w.Header().Set("Connection", "close")
	c.limiter.Refuse.ServeHTTP(w, r)
	return false
}

// beginBody records the length of the body of a request, negative if unknown. It reports whether
// the next request has come with this one.
func (c *conn) beginBody(length int64) (more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weight.expected = length
	return length == 0 && c.weight.beyond
}

// requestWeight returns the memory of the header of a request.
func requestWeight(r *http.Request) int64 {
	weight := int64(len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		weight += int64(len(name)) + fieldBytes
		for _, v := range values {
			weight += int64(len(v)) + valueBytes
		}
	}
	return weight
}

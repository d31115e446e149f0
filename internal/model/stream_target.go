package model

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// Sizes of a generation and the time between two of its tokens.
const (
	minTokens = 2
	maxTokens = 12
	tokenGap  = 400 * time.Millisecond
	maxCut    = 3
)

// reader is a connection that gets the tokens of a call in order, in parts that
// it cuts in its own way.
type reader struct {
	t    *modelTarget
	id   tables.RequestID
	next int
	cut  int
	// at is the arrival of the latest part.
	at time.Time
	// over is set by either side; nothing new is written then.
	over  bool
	chunk func(target.Chunk)
	broke func()
}

// token is the text of one token. No two dispatches have one in common.
func (t *modelTarget) token(id tables.RequestID, i int) string {
	return fmt.Sprintf("%s/%s/%d ", t.id, id, i)
}

// generate starts a generation that arrives on a connection to an incarnation.
// It returns false when it is refused, and the reader of the new stream.
func (t *modelTarget) generate(f *flight, r *reader) bool {
	if t.tombstones[f.id] || t.calls[f.id] != nil {
		return false
	}
	c := &modelCall{progress: target.InProgress, size: minTokens + t.w.sim.rng.IntN(maxTokens)}
	t.calls[f.id] = c
	t.w.ran(f)
	c.readers = append(c.readers, r)
	t.computeNext(f.id, c)
	return true
}

// computeNext computes the tokens of a call one after the other.
func (t *modelTarget) computeNext(id tables.RequestID, c *modelCall) {
	incarnation := t.incarnation
	t.w.sim.after(t.w.sim.between(time.Millisecond, tokenGap), func() {
		if t.incarnation != incarnation || c.progress != target.InProgress {
			return
		}
		t.w.own[id] += t.token(id, c.tokens)
		c.tokens++
		if c.tokens == c.size {
			c.progress = target.Completed
			c.ended = t.w.sim.time
		}
		for _, r := range c.readers {
			r.write(c)
		}
		if c.tokens < c.size {
			t.computeNext(id, c)
		}
	})
}

// hasStream reports whether the stream of a call can be resumed.
func (t *modelTarget) hasStream(id tables.RequestID) bool {
	c := t.calls[id]
	if c == nil || c.progress == target.Cancelled {
		return false
	}
	return c.progress == target.InProgress || t.w.sim.time.Sub(c.ended) <= answerKept
}

// resume adds a reader from its next token on.
func (t *modelTarget) resume(r *reader) {
	c := t.calls[r.id]
	c.readers = append(c.readers, r)
	r.write(c)
}

// write sends what a reader has not got, once it fills a part.
func (r *reader) write(c *modelCall) {
	if r.cut == 0 {
		r.cut = 1 + r.t.w.sim.rng.IntN(maxCut)
	}
	whole := c.tokens == c.size
	for !r.over && r.next < c.tokens && (whole || c.tokens-r.next >= r.cut) {
		part := target.Chunk{Offset: r.next, Tokens: min(r.cut, c.tokens-r.next)}
		for i := range part.Tokens {
			part.Text += r.t.token(r.id, r.next+i)
		}
		r.next += part.Tokens
		part.Final = r.next == c.size
		r.send(part)
	}
}

// send delivers a part behind those before it, unless the connection breaks or
// falls silent for good.
func (r *reader) send(part target.Chunk) {
	w := r.t.w
	if w.sim.chance(w.faults.lostMessage) || r.t.silent {
		w.count.LostMessages++
		r.over = true
		if w.sim.chance(0.5) {
			w.sim.after(w.sim.delay(), r.broke)
		}
		return
	}
	r.at = later(r.at, w.sim.time.Add(w.sim.delay()))
	w.sim.after(r.at.Sub(w.sim.time), func() { r.chunk(part) })
}

// dropReaders breaks the connections to a call.
func (c *modelCall) dropReaders() {
	for _, r := range c.readers {
		if !r.over {
			r.over = true
			r.t.w.sim.after(r.t.w.sim.delay(), r.broke)
		}
	}
	c.readers = nil
}

package model

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// A generation has minTokens to minTokens+tokenRange-1 tokens.
const (
	minTokens  = 2
	tokenRange = 12
	// maxTokenGap is the maximum time between two tokens.
	maxTokenGap    = 400 * time.Millisecond
	maxChunkTokens = 3
)

// reader is a connection that receives the tokens of a call in order, in chunks of
// chunkTokens tokens. The last chunk may be shorter.
type reader struct {
	target     *modelTarget
	id         tables.RequestID
	nextOffset int
	// chunkTokens is chosen at random when the stream is first written; zero before.
	chunkTokens int
	// lastArrival is the arrival time of the latest chunk.
	lastArrival time.Time
	// closed is set when either side ended the connection. No chunk is sent after that.
	closed   bool
	onChunk  func(target.Chunk)
	onBroken func()
}

// token returns the text of a token, which is unique to the target, the dispatch and the
// index of the token.
func (t *modelTarget) token(id tables.RequestID, i int) string {
	return fmt.Sprintf("%s/%s/%d ", t.id, id, i)
}

// generate starts the generation of a request and attaches r to its stream. It returns
// false if the target refuses the request because of a tombstone or an earlier call.
func (t *modelTarget) generate(req *gateRequest, r *reader) bool {
	if t.tombstones[req.id] || t.calls[req.id] != nil {
		return false
	}
	c := &modelCall{progress: target.InProgress, answerTokens: minTokens + t.w.sim.rng.IntN(tokenRange)}
	t.calls[req.id] = c
	t.w.recordRun(req)
	c.readers = append(c.readers, r)
	t.scheduleToken(req.id, c)
	return true
}

// scheduleToken schedules the next token of a call. Each token schedules the next one
// until the answer is complete, the call is cancelled or the target restarts.
func (t *modelTarget) scheduleToken(id tables.RequestID, c *modelCall) {
	incarnation := t.incarnation
	t.w.sim.after(t.w.sim.between(time.Millisecond, maxTokenGap), func() {
		if t.incarnation != incarnation || c.progress != target.InProgress {
			return
		}
		t.w.generated[id] += t.token(id, c.generated)
		c.generated++
		if c.generated == c.answerTokens {
			c.progress = target.Completed
			c.completedAt = t.w.sim.now
		}
		for _, r := range c.readers {
			r.sendChunks(c)
		}
		if c.generated < c.answerTokens {
			t.scheduleToken(id, c)
		}
	})
}

// hasStream reports whether the stream of a call can be resumed.
func (t *modelTarget) hasStream(id tables.RequestID) bool {
	c := t.calls[id]
	if c == nil || c.progress == target.Cancelled {
		return false
	}
	return c.progress == target.InProgress || t.w.sim.now.Sub(c.completedAt) <= answerRetention
}

// attachReader attaches a reader to the stream of its call and sends the tokens from
// nextOffset on.
func (t *modelTarget) attachReader(r *reader) {
	c := t.calls[r.id]
	c.readers = append(c.readers, r)
	r.sendChunks(c)
}

// sendChunks sends the new tokens in full chunks, and the rest once the answer is
// complete.
func (r *reader) sendChunks(c *modelCall) {
	if r.chunkTokens == 0 {
		r.chunkTokens = 1 + r.target.w.sim.rng.IntN(maxChunkTokens)
	}
	complete := c.generated == c.answerTokens
	for !r.closed && r.nextOffset < c.generated && (complete || c.generated-r.nextOffset >= r.chunkTokens) {
		chunk := target.Chunk{Offset: r.nextOffset, Tokens: min(r.chunkTokens, c.generated-r.nextOffset)}
		for i := range chunk.Tokens {
			chunk.Text += r.target.token(r.id, r.nextOffset+i)
		}
		r.nextOffset += chunk.Tokens
		chunk.Final = r.nextOffset == c.answerTokens
		r.sendChunk(chunk)
	}
}

// sendChunk sends a chunk, which arrives after the chunks before it. If the chunk is
// lost, the connection ends: the receiver either detects the break or receives nothing
// more.
func (r *reader) sendChunk(chunk target.Chunk) {
	w := r.target.w
	if w.sim.chance(w.faults.lostMessage) || r.target.unreachable {
		w.count.LostMessages++
		r.closed = true
		if w.sim.chance(0.5) {
			w.sim.after(w.sim.messageDelay(), r.onBroken)
		}
		return
	}
	r.lastArrival = laterOf(r.lastArrival, w.sim.now.Add(w.sim.messageDelay()))
	w.sim.after(r.lastArrival.Sub(w.sim.now), func() { r.onChunk(chunk) })
}

// breakReaders breaks all connections to the stream of a call.
func (c *modelCall) breakReaders() {
	for _, r := range c.readers {
		if !r.closed {
			r.closed = true
			r.target.w.sim.after(r.target.w.sim.messageDelay(), r.onBroken)
		}
	}
	c.readers = nil
}

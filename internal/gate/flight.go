package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/stream"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// flight is one open request. Its driver goroutine talks to dispatchers; any
// number of readers follow the answer.
type flight struct {
	g       *Gate
	id      tables.RequestID
	msg     peer.Submit
	arrived time.Time
	keyed   bool
	claimed targetSet
	// attempt counts the submissions; the driver alone uses it.
	attempt int
	// settled is set when the gate itself found the outcome at the targets; the
	// driver alone uses it.
	settled bool

	mu      sync.Mutex
	changed chan struct{}
	// source is the connection that the flight listens to. What others still
	// deliver is about an attempt that is over.
	source *peer.Conn
	target tables.TargetID
	parts  stream.Answer
	// verdict is the end that a dispatcher gave; the driver makes it the
	// outcome or tries another dispatcher.
	verdict *peer.Finished
	outcome *peer.Finished
	// gap is set when a part of the answer did not arrive.
	gap     bool
	readers int
	// left is closed when the last reader of an unkeyed request is gone.
	left chan struct{}
}

func newFlight(g *Gate, adm admitted) *flight {
	return &flight{
		g:       g,
		id:      adm.msg.ID,
		msg:     adm.msg,
		arrived: adm.arrived,
		keyed:   adm.msg.Key != "",
		claimed: adm.claimed,
		changed: make(chan struct{}),
		left:    make(chan struct{}),
	}
}

// update changes the flight and wakes everyone who waits on it.
func (f *flight) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// listen makes conn the source of the flight and forgets the end that an earlier
// one told.
func (f *flight) listen(conn *peer.Conn) {
	f.update(func() {
		f.source = conn
		f.verdict = nil
		f.gap = false
	})
}

// heard changes the flight by a message that came over conn.
func (f *flight) heard(conn *peer.Conn, change func()) {
	f.update(func() {
		if f.source == conn {
			change()
		}
	})
}

func (f *flight) onStarted(conn *peer.Conn, s peer.Started) {
	f.heard(conn, func() { f.target = s.Target })
}

// onChunk appends c when it continues the answer. A part that is already here
// is dropped, and a part from further on marks a gap.
func (f *flight) onChunk(conn *peer.Conn, c target.Chunk) {
	f.heard(conn, func() {
		if f.outcome == nil && f.parts.Add(c) == stream.MissingChunk {
			f.gap = true
		}
	})
}

func (f *flight) onFinished(conn *peer.Conn, end peer.Finished) {
	f.heard(conn, func() { f.verdict = &end })
}

// finish sets the outcome; the first one stands. A gate that was killed tells
// no more outcomes, since it can no longer find out any.
func (f *flight) finish(end peer.Finished) {
	if f.g.ctx.Err() != nil {
		return
	}
	end.ID = f.id
	f.update(func() {
		if f.outcome == nil {
			end = f.wholeOrFailed(end)
			end.Tokens = f.parts.Tokens()
			if end.Target == "" {
				end.Target = f.target
			}
			f.outcome = &end
			f.g.learn(f.msg, end)
		}
	})
}

// wholeOrFailed makes a success of which a part is missing here a failure, so
// that no reader takes a part for the whole.
func (f *flight) wholeOrFailed(end peer.Finished) peer.Finished {
	if end.Kind != errkind.None || f.msg.Plain || end.Tokens == f.parts.Tokens() {
		return end
	}
	event.InvariantFailed.Log(f.g.Logger, zap.String("request", string(f.id)),
		zap.Int("tokens", f.parts.Tokens()), zap.Int("whole", end.Tokens))
	end.Kind = errkind.RanFailed
	end.Detail = fmt.Sprintf("%d of %d tokens of the answer arrived", f.parts.Tokens(), end.Tokens)
	return end
}

// progress is a consistent view of a flight.
type progress struct {
	chunks  []target.Chunk
	tokens  int
	target  tables.TargetID
	verdict *peer.Finished
	outcome *peer.Finished
	gap     bool
	changed <-chan struct{}
}

// since returns the state of the flight with the chunks from index on.
func (f *flight) since(index int) progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return progress{
		chunks:  f.parts.Chunks()[index:],
		tokens:  f.parts.Tokens(),
		target:  f.target,
		verdict: f.verdict,
		outcome: f.outcome,
		gap:     f.gap,
		changed: f.changed,
	}
}

// join adds a reader; the returned function takes it away.
func (f *flight) join() (leave func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
	return f.leave
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers--
	if f.readers == 0 && !f.keyed && f.outcome == nil {
		close(f.left)
	}
}

// callerLeft reports whether nobody waits for the answer.
func (f *flight) callerLeft() bool {
	select {
	case <-f.left:
		return true
	default:
		return false
	}
}

// wait blocks until the flight has an outcome and returns it.
func (f *flight) wait(ctx context.Context) (peer.Finished, error) {
	for {
		p := f.since(0)
		if p.outcome != nil {
			return *p.outcome, nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return peer.Finished{}, ctx.Err()
		}
	}
}

// whole returns the answer of a finished model request as one text.
func (f *flight) whole() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Text()
}

// error converts a refusal or failure to an error of its kind, or nil.
func finishedError(end peer.Finished) error {
	if end.Kind == errkind.None {
		return nil
	}
	return &errkind.Error{Kind: end.Kind, Detail: end.Detail, RetryAfter: end.RetryAfter}
}

// register makes f reachable for notifications and counts it as open. When an
// open flight has the same request already, that one is returned instead.
func (g *Gate) register(f *flight) *flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open := g.flights[f.id]; open != nil {
		return open
	}
	g.flights[f.id] = f
	g.open.Add(1)
	g.Observer.Opened()
	return f
}

// unregister ends f and keeps it for look-up.
func (g *Gate) unregister(f *flight) {
	g.forget(f)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kept.Add(f.id, f)
}

// forget takes f back out of the open requests.
func (g *Gate) forget(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, f.id)
	g.open.Done()
	g.Observer.Closed()
}

// find returns the flight of id, open or kept, or nil.
func (g *Gate) find(id tables.RequestID) *flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.flights[id]; f != nil {
		return f
	}
	f, _ := g.kept.Get(id)
	return f
}

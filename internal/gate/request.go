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

// requestState is the state of one request at this gate. One goroutine dispatches
// the request; any number of readers follow the answer.
type requestState struct {
	g              *Gate
	id             tables.RequestID
	msg            peer.Submit
	arrived        time.Time
	keyed          bool
	targetsInClaim targetSet
	// attempt is the number of submissions so far. Only the dispatching goroutine
	// uses it.
	attempt int
	// addresses are the addresses at which targets may have received the request. Only
	// the dispatching goroutine uses it.
	addresses targetSet
	// resolvedAtTargets is set if the gate resolved the outcome by querying the
	// targets. Only the dispatching goroutine uses it.
	resolvedAtTargets bool

	mu      sync.Mutex
	changed chan struct{}
	// source is the connection of the current attempt. Messages from other
	// connections belong to earlier attempts and are ignored.
	source *peer.Conn
	target tables.TargetID
	answer stream.Answer
	// finished is the result that the dispatcher of the current attempt reported.
	// The dispatching goroutine makes it the outcome or tries another dispatcher.
	finished *peer.Finished
	outcome  *peer.Finished
	// missingChunk is set if a chunk was lost in the current attempt.
	missingChunk bool
	readers      int
	// noReaders is closed when the last reader of an unkeyed request leaves
	// before the outcome.
	noReaders chan struct{}
}

func newRequestState(g *Gate, adm admittedRequest) *requestState {
	return &requestState{
		g:              g,
		id:             adm.msg.ID,
		msg:            adm.msg,
		arrived:        adm.arrived,
		keyed:          adm.msg.Key != "",
		targetsInClaim: adm.targetsInClaim,
		changed:        make(chan struct{}),
		noReaders:      make(chan struct{}),
	}
}

// update applies change and notifies everyone who waits for a change.
func (rs *requestState) update(change func()) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	change()
	close(rs.changed)
	rs.changed = make(chan struct{})
}

// setSource starts an attempt on conn and clears the result of the previous one.
func (rs *requestState) setSource(conn *peer.Conn) {
	rs.update(func() {
		rs.source = conn
		rs.finished = nil
		rs.missingChunk = false
	})
}

// currentSource returns the connection of the current attempt.
func (rs *requestState) currentSource() *peer.Conn {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.source
}

// updateFrom applies change if conn is the connection of the current attempt.
func (rs *requestState) updateFrom(conn *peer.Conn, change func()) {
	rs.update(func() {
		if rs.source == conn {
			change()
		}
	})
}

func (rs *requestState) onStarted(conn *peer.Conn, s peer.Started) {
	rs.updateFrom(conn, func() { rs.target = s.Target })
}

// onChunk appends c if it continues the answer. It drops a chunk that was already
// received and sets missingChunk if an earlier chunk is missing.
func (rs *requestState) onChunk(conn *peer.Conn, c target.Chunk) {
	rs.updateFrom(conn, func() {
		if rs.outcome == nil && rs.answer.Add(c) == stream.MissingChunk {
			rs.missingChunk = true
		}
	})
}

func (rs *requestState) onFinished(conn *peer.Conn, outcome peer.Finished) {
	rs.updateFrom(conn, func() { rs.finished = &outcome })
}

// finish sets the outcome unless there is one already. It does nothing after the
// gate's context has ended, because the gate can then no longer determine an
// outcome.
func (rs *requestState) finish(outcome peer.Finished) {
	if rs.g.ctx.Err() != nil {
		return
	}
	outcome.ID = rs.id
	rs.update(func() {
		if rs.outcome == nil {
			outcome = rs.failIfIncomplete(outcome)
			outcome.Tokens = rs.answer.EndOffset()
			if outcome.Target == "" {
				outcome.Target = rs.target
			}
			rs.outcome = &outcome
			rs.g.observeLength(rs.msg, outcome)
		}
	})
}

// failIfIncomplete turns a success into a failure if chunks of the answer are
// missing, so that no reader takes an incomplete answer for a complete one.
func (rs *requestState) failIfIncomplete(outcome peer.Finished) peer.Finished {
	if outcome.Kind != errkind.None || rs.msg.Plain || outcome.Tokens == rs.answer.EndOffset() {
		return outcome
	}
	event.InvariantFailed.Log(rs.g.Logger, zap.String("request", string(rs.id)),
		zap.Int("tokens", rs.answer.EndOffset()), zap.Int("whole", outcome.Tokens))
	outcome.Kind = errkind.RanFailed
	outcome.Detail = fmt.Sprintf("%d of %d tokens of the answer arrived", rs.answer.EndOffset(), outcome.Tokens)
	return outcome
}

// snapshot is a consistent copy of the state of a request.
type snapshot struct {
	chunks       []target.Chunk
	tokens       int
	target       tables.TargetID
	finished     *peer.Finished
	outcome      *peer.Finished
	missingChunk bool
	changed      <-chan struct{}
}

// snapshotFrom returns a snapshot with the chunks from the given index on.
func (rs *requestState) snapshotFrom(index int) snapshot {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return snapshot{
		chunks:       rs.answer.Chunks()[index:],
		tokens:       rs.answer.EndOffset(),
		target:       rs.target,
		finished:     rs.finished,
		outcome:      rs.outcome,
		missingChunk: rs.missingChunk,
		changed:      rs.changed,
	}
}

// addReader adds a reader. The returned function removes it.
func (rs *requestState) addReader() (leave func()) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.readers++
	return rs.removeReader
}

func (rs *requestState) removeReader() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.readers--
	if rs.readers == 0 && !rs.keyed && rs.outcome == nil {
		close(rs.noReaders)
	}
}

// abandoned reports whether the last reader of an unkeyed request left before the
// outcome.
func (rs *requestState) abandoned() bool {
	select {
	case <-rs.noReaders:
		return true
	default:
		return false
	}
}

// wait blocks until the request has an outcome or ctx ends.
func (rs *requestState) wait(ctx context.Context) (peer.Finished, error) {
	for {
		snap := rs.snapshotFrom(0)
		if snap.outcome != nil {
			return *snap.outcome, nil
		}
		select {
		case <-snap.changed:
		case <-ctx.Done():
			return peer.Finished{}, ctx.Err()
		}
	}
}

// answerText returns the text of the answer received so far.
func (rs *requestState) answerText() []byte {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.answer.Text()
}

// finishedError returns the error of a refusal or failure, or nil for a success.
func finishedError(outcome peer.Finished) error {
	if outcome.Kind == errkind.None {
		return nil
	}
	return &errkind.Error{Kind: outcome.Kind, Detail: outcome.Detail, RetryAfter: outcome.RetryAfter}
}

// register adds rs to the open requests, so that it receives notifications. If a
// request with the same ID is already open, register returns that one and does
// not add rs.
func (g *Gate) register(rs *requestState) *requestState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open := g.active[rs.id]; open != nil {
		return open
	}
	g.active[rs.id] = rs
	g.activeWait.Add(1)
	g.Observer.RequestOpened()
	return rs
}

// unregister removes rs from the open requests and keeps it for look-ups.
func (g *Gate) unregister(rs *requestState) {
	g.removeActive(rs)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended.Add(rs.id, rs)
}

// removeActive removes rs from the open requests.
func (g *Gate) removeActive(rs *requestState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, rs.id)
	g.activeWait.Done()
	g.Observer.RequestClosed()
}

// find returns the open or recently ended request with the given ID, or nil.
func (g *Gate) find(id tables.RequestID) *requestState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rs := g.active[id]; rs != nil {
		return rs
	}
	rs, _ := g.ended.Get(id)
	return rs
}

package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// answerRetention is how long a target keeps an answer after the call completed.
const answerRetention = 30 * time.Second

// modelTarget simulates a target for plain calls and generations. It loses its state
// when it restarts.
type modelTarget struct {
	w           *world
	id          tables.TargetID
	incarnation int
	calls       map[tables.RequestID]*modelCall
	tombstones  map[tables.RequestID]bool
	// unreachable is set while queries do not reach the target and its streams send nothing.
	// Requests still reach it.
	unreachable bool
}

// modelCall is a call that a target has started.
type modelCall struct {
	progress    target.Progress
	completedAt time.Time
	// generated is the number of tokens generated so far, of answerTokens. Both are zero
	// for a plain call.
	generated    int
	answerTokens int
	readers      []*reader
}

// restart breaks all streams and drops all calls and tombstones.
func (t *modelTarget) restart() {
	t.w.count.TargetRestarts++
	t.incarnation++
	for _, c := range t.calls {
		c.breakReaders()
	}
	t.calls = make(map[tables.RequestID]*modelCall)
	t.tombstones = make(map[tables.RequestID]bool)
}

// deliver starts a plain call that arrives on a connection to an incarnation of the
// target. onResult is called with Completed, with NeverStarted if the target refuses
// the call, or with NotKnown if the connection broke.
func (t *modelTarget) deliver(req *gateRequest, incarnation int, onResult func(target.Progress)) {
	if t.incarnation != incarnation {
		onResult(target.NotKnown)
		return
	}
	if t.tombstones[req.id] || t.calls[req.id] != nil {
		onResult(target.NeverStarted)
		return
	}
	c := &modelCall{progress: target.InProgress}
	t.calls[req.id] = c
	t.w.recordRun(req)
	t.w.sim.after(t.w.sim.between(time.Millisecond, 3*time.Second), func() {
		if t.incarnation != incarnation {
			onResult(target.NotKnown)
			return
		}
		c.progress = target.Completed
		c.completedAt = t.w.sim.now
		onResult(target.Completed)
	})
}

// cancel sets a tombstone for a request and returns its progress. It stops a running
// generation, but not a plain call.
func (t *modelTarget) cancel(id tables.RequestID) target.Progress {
	t.tombstones[id] = true
	if c := t.calls[id]; c != nil && c.answerTokens > 0 && c.progress == target.InProgress {
		c.progress = target.Cancelled
		c.breakReaders()
	}
	return t.progress(id)
}

// progress returns the progress of a request. For an unknown request, it returns
// NeverStarted, or NotKnown if the target has restarted and may have lost the request.
func (t *modelTarget) progress(id tables.RequestID) target.Progress {
	if c := t.calls[id]; c != nil {
		return c.progress
	}
	if t.incarnation > 0 {
		return target.NotKnown
	}
	return target.NeverStarted
}

// keptAnswer returns the answer of a completed plain call while the target keeps it.
func (t *modelTarget) keptAnswer(id tables.RequestID) (body string, kept bool) {
	c := t.calls[id]
	if c == nil || c.progress != target.Completed || t.w.sim.now.Sub(c.completedAt) > answerRetention {
		return "", false
	}
	return expectedAnswer(id), true
}

// expectedAnswer returns the correct answer to a plain call.
func expectedAnswer(id tables.RequestID) string { return "answer to " + string(id) }

package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// answerKept is how long a target can repeat an answer.
const answerKept = 30 * time.Second

// modelTarget is a plain service that forgets everything when it restarts.
type modelTarget struct {
	w           *world
	id          tables.TargetID
	incarnation int
	calls       map[tables.RequestID]*modelCall
	tombstones  map[tables.RequestID]bool
	// silent is set while no question reaches the target.
	silent bool
}

type modelCall struct {
	progress target.Progress
	ended    time.Time
	// tokens are the parts of a stream that are computed, of size.
	tokens  int
	size    int
	readers []*reader
}

func (t *modelTarget) restart() {
	t.w.count.TargetRestarts++
	t.incarnation++
	for _, c := range t.calls {
		c.dropReaders()
	}
	t.calls = make(map[tables.RequestID]*modelCall)
	t.tombstones = make(map[tables.RequestID]bool)
}

// deliver starts a call that arrives on a connection to an incarnation.
// answered gets Completed, NeverStarted for a refusal, or NotKnown when the
// connection broke.
func (t *modelTarget) deliver(f *flight, incarnation int, answered func(target.Progress)) {
	if t.incarnation != incarnation {
		answered(target.NotKnown)
		return
	}
	if t.tombstones[f.id] || t.calls[f.id] != nil {
		answered(target.NeverStarted)
		return
	}
	c := &modelCall{progress: target.InProgress}
	t.calls[f.id] = c
	t.w.ran(f)
	t.w.sim.after(t.w.sim.between(time.Millisecond, 3*time.Second), func() {
		if t.incarnation != incarnation {
			answered(target.NotKnown)
			return
		}
		c.progress = target.Completed
		c.ended = t.w.sim.time
		answered(target.Completed)
	})
}

// cancel leaves a tombstone.
func (t *modelTarget) cancel(id tables.RequestID) target.Progress {
	t.tombstones[id] = true
	if c := t.calls[id]; c != nil && c.size > 0 && c.progress == target.InProgress {
		c.progress = target.Cancelled
		c.dropReaders()
	}
	return t.progress(id)
}

func (t *modelTarget) progress(id tables.RequestID) target.Progress {
	if c := t.calls[id]; c != nil {
		return c.progress
	}
	if t.incarnation > 0 {
		return target.NotKnown
	}
	return target.NeverStarted
}

// answer returns the whole answer of a completed call while it is kept.
func (t *modelTarget) answer(id tables.RequestID) (body string, kept bool) {
	c := t.calls[id]
	if c == nil || c.progress != target.Completed || t.w.sim.time.Sub(c.ended) > answerKept {
		return "", false
	}
	return answerOf(id), true
}

// answerOf is the only right answer to a request.
func answerOf(id tables.RequestID) string { return "answer to " + string(id) }

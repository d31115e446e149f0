// Package quiet keeps the times for which targets want no requests from a host. It
// uses no clock and does no I/O: callers pass in the time.
package quiet

import (
	"maps"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Times holds the quiet times of targets. A quiet time applies to one start of a
// target. The zero value is empty. It is not safe for concurrent use.
type Times struct {
	until map[tables.TargetID]quietTime
}

type quietTime struct {
	startedAt time.Time
	until     time.Time
}

// Set records that a target wants no requests for d. The longest time that a start
// of a target has asked for applies.
func (q *Times) Set(now time.Time, t fleet.Target, d time.Duration) {
	if q.until == nil {
		q.until = make(map[tables.TargetID]quietTime)
	}
	maps.DeleteFunc(q.until, func(_ tables.TargetID, e quietTime) bool { return !now.Before(e.until) })
	old, known := q.until[t.ID]
	entry := quietTime{startedAt: t.StartedAt, until: now.Add(d)}
	if known && old.startedAt.Equal(t.StartedAt) && old.until.After(entry.until) {
		return
	}
	q.until[t.ID] = entry
}

// Remaining returns how long a target still wants no requests; zero if it accepts
// them.
func (q *Times) Remaining(now time.Time, t fleet.Target) time.Duration {
	e, known := q.until[t.ID]
	if !known || !e.startedAt.Equal(t.StartedAt) {
		return 0
	}
	return max(e.until.Sub(now), 0)
}

// Len returns the number of quiet times, which may include some that have passed.
func (q *Times) Len() int { return len(q.until) }

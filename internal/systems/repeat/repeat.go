// Package repeat decides when a request may be sent again: by what is proved
// of its last send, and by a budget. It has no clock and no I/O.
package repeat

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Budget bounds the repeats of one service over all hosts.
type Budget struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Slack is the number of repeats that are always allowed in a window.
	Slack  float64
	Window time.Duration
}

// Counter counts requests and repeats in windows. One goroutine or lock owns
// it.
type Counter struct {
	budget Budget
	rows   map[tables.ServiceID]*window
}

// slices is the number of parts of a window; it moves by one part at a time.
const slices = 10

type window struct {
	requests [slices]float64
	repeats  [slices]float64
	part     int64
}

// NewCounter returns a counter with a budget.
func NewCounter(b Budget) *Counter {
	return &Counter{budget: b, rows: make(map[tables.ServiceID]*window)}
}

// SetBudget replaces the budget. A new window starts the counts anew.
func (c *Counter) SetBudget(b Budget) {
	if b.Window != c.budget.Window {
		clear(c.rows)
	}
	c.budget = b
}

// Request counts the first send of a request.
func (c *Counter) Request(now time.Time, s tables.ServiceID) {
	row := c.row(now, s)
	row.requests[row.part%slices]++
}

// Allow counts a repeat and reports whether it may be sent. share is the part
// of the slack that this place may use, from 0 to 1.
func (c *Counter) Allow(now time.Time, s tables.ServiceID, share float64) bool {
	if c.budget.Window <= 0 {
		return true
	}
	row := c.row(now, s)
	if sum(row.repeats)+1 > c.budget.Ratio*sum(row.requests)+c.budget.Slack*share {
		return false
	}
	row.repeats[row.part%slices]++
	return true
}

func (c *Counter) row(now time.Time, s tables.ServiceID) *window {
	row := c.rows[s]
	part := now.UnixNano() / max(int64(c.budget.Window/slices), 1)
	if row == nil {
		row = &window{part: part}
		c.rows[s] = row
	}
	for steps := 0; row.part < part && steps < slices; steps++ {
		row.part++
		row.requests[row.part%slices] = 0
		row.repeats[row.part%slices] = 0
	}
	row.part = part
	return row
}

func sum(parts [slices]float64) float64 {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	return total
}

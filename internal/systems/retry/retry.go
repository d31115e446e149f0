// Package retry decides whether a request may be retried: it keeps a retry
// budget and records refusals with the advised time of a retry. It uses no clock and
// does no I/O: callers pass in the time.
package retry

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Budget bounds the retries of one service across all hosts.
type Budget struct {
	// Ratio is the allowed number of retries per request.
	Ratio float64
	// Slack is the number of retries that are always allowed in a window.
	Slack  float64
	Window time.Duration
}

// Counter counts requests and retries in a sliding window and enforces the
// retry budget. It is not safe for concurrent use.
type Counter struct {
	budget  Budget
	windows map[tables.ServiceID]*window
}

// windowParts is the number of parts of a sliding window, which advances by one
// part at a time.
const windowParts = 10

type window struct {
	requests [windowParts]float64
	retries  [windowParts]float64
	part     int64
}

// NewCounter returns a counter with the given budget.
func NewCounter(b Budget) *Counter {
	return &Counter{budget: b, windows: make(map[tables.ServiceID]*window)}
}

// SetBudget replaces the budget. A change of the window resets the counts.
func (c *Counter) SetBudget(b Budget) {
	if b.Window != c.budget.Window {
		clear(c.windows)
	}
	c.budget = b
}

// RecordRequest counts a request when it is first sent.
func (c *Counter) RecordRequest(now time.Time, s tables.ServiceID) {
	w := c.window(now, s)
	w.requests[w.part%windowParts]++
}

// AllowRetry reports whether a retry is within the budget and counts it if so.
// share is the fraction of the slack that this host may use, from 0 to 1.
func (c *Counter) AllowRetry(now time.Time, s tables.ServiceID, share float64) bool {
	if c.budget.Window <= 0 {
		return true
	}
	w := c.window(now, s)
	if sum(w.retries)+1 > c.budget.Ratio*sum(w.requests)+c.budget.Slack*share {
		return false
	}
	w.retries[w.part%windowParts]++
	return true
}

// ReturnRetry takes off a retry that AllowRetry counted at countedAt, since nothing was
// sent to a target.
func (c *Counter) ReturnRetry(now, countedAt time.Time, s tables.ServiceID) {
	if c.budget.Window <= 0 {
		return
	}
	w := c.window(now, s)
	part := c.partOf(countedAt)
	if part > w.part || part <= w.part-windowParts {
		return
	}
	w.retries[part%windowParts] = max(w.retries[part%windowParts]-1, 0)
}

// partOf returns the number of the part of a window to which a time belongs.
func (c *Counter) partOf(t time.Time) int64 {
	return t.UnixNano() / max(int64(c.budget.Window/windowParts), 1)
}

func (c *Counter) window(now time.Time, s tables.ServiceID) *window {
	w := c.windows[s]
	part := c.partOf(now)
	if w == nil {
		w = &window{part: part}
		c.windows[s] = w
	}
	for steps := 0; w.part < part && steps < windowParts; steps++ {
		w.part++
		w.requests[w.part%windowParts] = 0
		w.retries[w.part%windowParts] = 0
	}
	w.part = part
	return w
}

func sum(parts [windowParts]float64) float64 {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	return total
}

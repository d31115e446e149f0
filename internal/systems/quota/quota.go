// Package quota bounds the tokens that each customer uses over all hosts. It
// has no clock and no I/O.
package quota

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Buckets holds a token bucket for each customer. One goroutine or lock owns
// it.
type Buckets struct {
	rows  map[tables.CustomerID]*bucket
	start float64
	slack Slack
}

// Slack is what may be used beyond the quota of a customer.
type Slack struct {
	// Rate and Burst are shares of the configured rate and burst.
	Rate, Burst float64
	// Tokens are added to the burst.
	Tokens float64
}

type bucket struct {
	quota fleet.Quota
	level float64
	at    time.Time
}

// NewBuckets returns empty buckets. A bucket begins with a share of its burst,
// which is less than 1 where an unknown part may have been used before.
func NewBuckets(startShare float64, slack Slack) *Buckets {
	return &Buckets{rows: make(map[tables.CustomerID]*bucket), start: startShare, slack: slack}
}

// Take uses tokens of a customer, or returns the wait after which they are
// there. share is the part of the quota that this place may give, from 0 to 1.
func (b *Buckets) Take(now time.Time, id tables.CustomerID, q fleet.Quota, share float64, tokens int) (wait time.Duration) {
	if q.TokensPerSecond <= 0 {
		return 0
	}
	row := b.refill(now, id, q, share)
	need := min(float64(tokens), b.burst(q, share))
	if row.level >= need {
		row.level -= float64(tokens)
		return 0
	}
	seconds := (need - row.level) / b.rate(q, share)
	return time.Duration(seconds * float64(time.Second))
}

// Return gives back the tokens of a request that did not run.
func (b *Buckets) Return(id tables.CustomerID, tokens int) {
	if row := b.rows[id]; row != nil {
		row.level += float64(tokens)
	}
}

// Used takes tokens that were given elsewhere.
func (b *Buckets) Used(now time.Time, id tables.CustomerID, q fleet.Quota, share float64, tokens float64) {
	if q.TokensPerSecond <= 0 {
		return
	}
	b.refill(now, id, q, share).level -= tokens
}

func (b *Buckets) rate(q fleet.Quota, share float64) float64 {
	return max(q.TokensPerSecond*(1+b.slack.Rate)*share, 1)
}

func (b *Buckets) burst(q fleet.Quota, share float64) float64 {
	return max((q.Burst*(1+b.slack.Burst)+b.slack.Tokens)*share, 1)
}

func (b *Buckets) refill(now time.Time, id tables.CustomerID, q fleet.Quota, share float64) *bucket {
	row := b.rows[id]
	if row == nil {
		row = &bucket{quota: q, level: b.start * b.burst(q, share), at: now}
		b.rows[id] = row
	}
	row.quota = q
	if elapsed := now.Sub(row.at).Seconds(); elapsed > 0 {
		row.level += elapsed * b.rate(q, share)
		row.at = now
	}
	row.level = min(row.level, b.burst(q, share))
	return row
}

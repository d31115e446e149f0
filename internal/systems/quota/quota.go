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
	rows   map[tables.CustomerID]*bucket
	start  float64
	bounds Bounds
}

// Bounds says what a customer may use in any window: its rate times the window
// and its burst, lengthened by Overshoot as a share, and Slack tokens.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// burstShare of a customer's burst may be used at once; the rest of what a
// window allows is spread over it, so that one customer's burst does not crowd
// the others out.
const burstShare = 0.5

type bucket struct {
	quota fleet.Quota
	level float64
	// fair is what the customer has left of its bare rate; below zero, others of
	// its tier go first.
	fair float64
	at   time.Time
}

const (
	// fairBurst is the time at its rate that a customer may use at once and
	// still count as within it.
	fairBurst = time.Second
	// fairDebt bounds how long a customer counts as above its rate after it has
	// slowed down.
	fairDebt = 2 * time.Second
)

// NewBuckets returns empty buckets. A bucket begins with a share of its burst,
// which is less than 1 where an unknown part may have been used before.
func NewBuckets(startShare float64, bounds Bounds) *Buckets {
	return &Buckets{rows: make(map[tables.CustomerID]*bucket), start: startShare, bounds: bounds}
}

// SetBounds replaces the bounds.
func (b *Buckets) SetBounds(bounds Bounds) { b.bounds = bounds }

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
		row.fair = max(row.fair-float64(tokens), -fairDebt.Seconds()*q.TokensPerSecond*share)
		return 0
	}
	seconds := (need - row.level) / b.rate(q, share)
	return time.Duration(seconds * float64(time.Second))
}

// Above reports whether a customer has lately used more than its bare rate,
// without what the bounds allow beyond it.
func (b *Buckets) Above(id tables.CustomerID) bool {
	row := b.rows[id]
	return row != nil && row.fair < 0
}

// Return gives back the tokens of a request that did not run.
func (b *Buckets) Return(id tables.CustomerID, tokens int) {
	if row := b.rows[id]; row != nil {
		row.level += float64(tokens)
	}
}

// Use is what a host says that a customer has used through it.
type Use struct {
	Tokens float64
	// Over is the time in which it was used.
	Over time.Duration
	// Part of the customer's use goes through that host, from 0 to 1.
	Part float64
}

// Used takes what was given elsewhere beyond what the bucket would have gained
// in that time.
func (b *Buckets) Used(now time.Time, id tables.CustomerID, q fleet.Quota, share float64, u Use) {
	if q.TokensPerSecond <= 0 {
		return
	}
	gained := b.rate(q, share) * u.Over.Seconds() * u.Part
	b.refill(now, id, q, share).level -= max(u.Tokens-gained, 0)
}

// rate is what a bucket gains in a second, such that no window gives more than
// the bounds.
func (b *Buckets) rate(q fleet.Quota, share float64) float64 {
	window := b.bounds.Window.Seconds()
	if window <= 0 {
		return max(q.TokensPerSecond*share, 1)
	}
	most := (q.TokensPerSecond*window+q.Burst)*(1+b.bounds.Overshoot) + b.bounds.Slack
	return max((most-burstShare*q.Burst)/window*share, 1)
}

func (b *Buckets) burst(q fleet.Quota, share float64) float64 {
	return max(burstShare*q.Burst*share, 1)
}

func (b *Buckets) refill(now time.Time, id tables.CustomerID, q fleet.Quota, share float64) *bucket {
	row := b.rows[id]
	if row == nil {
		row = &bucket{quota: q, level: b.start * b.burst(q, share), fair: fairBurst.Seconds() * q.TokensPerSecond * share, at: now}
		b.rows[id] = row
	}
	row.quota = q
	if elapsed := now.Sub(row.at).Seconds(); elapsed > 0 {
		row.level += elapsed * b.rate(q, share)
		row.fair = min(row.fair+elapsed*q.TokensPerSecond*share, fairBurst.Seconds()*q.TokensPerSecond*share)
		row.at = now
	}
	row.level = min(row.level, b.burst(q, share))
	return row
}

// Package quota bounds the tokens that each customer uses over all hosts. It
// has no clock and no I/O.
package quota

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Buckets counts the tokens of each customer in two ways. A sliding window
// keeps any span of its length within the bounds. A token bucket, which refills
// as fast as a window allows, spreads the use, so that little can have been used
// at once before a loss of what the buckets know. One goroutine or lock owns
// them.
type Buckets struct {
	rows   map[tables.CustomerID]*bucket
	bounds Bounds
	// epoch is when slot 0 began, on the steady clock.
	epoch time.Time
	// since is from when all use is counted here, and known the part of the
	// hosts that have told their use of the window before.
	since time.Time
	known float64
}

// Bounds says what a customer may use in any window: its rate times the window
// and its burst, lengthened by Overshoot as a share, and Slack tokens.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// defaultWindow stands for a window that is not configured.
const defaultWindow = time.Second

const (
	// burstShare of a customer's burst may be used at once.
	burstShare = 0.8
	// marginShare of Overshoot and Slack is kept for the time that a request
	// takes to its target and for a loss of what the buckets know.
	marginShare = 0.15
	// fairBurst is the time at its rate that a customer may use at once and
	// still count as within it.
	fairBurst = time.Second
	// fairDebt bounds how long a customer counts as above its rate after it has
	// slowed down.
	fairDebt = 2 * time.Second
)

type bucket struct {
	used window
	// opened is the slot from which charges are in used.
	opened int64
	level  float64
	// fair is what the customer has left of its bare rate; below zero, others of
	// its tier go first.
	fair float64
	at   time.Time
}

// Charge is what a request took.
type Charge struct {
	Customer tables.CustomerID
	Tokens   int
	slot     int64
}

// NewBuckets returns buckets that know of no use before the first call.
func NewBuckets(bounds Bounds) *Buckets {
	return &Buckets{rows: make(map[tables.CustomerID]*bucket), bounds: bounds}
}

// SetBounds replaces the bounds. Another window begins with nothing known.
func (b *Buckets) SetBounds(bounds Bounds) {
	if bounds.Window != b.bounds.Window {
		*b = Buckets{rows: make(map[tables.CustomerID]*bucket)}
	}
	b.bounds = bounds
}

// TakeOver forgets all: others have decided lately.
func (b *Buckets) TakeOver(now time.Time) {
	clear(b.rows)
	b.since = now
	b.known = 0
}

// Take uses tokens of a customer, or returns the wait after which they are
// there. share is the part of the quota that this place may give, from 0 to 1.
func (b *Buckets) Take(now time.Time, id tables.CustomerID, q fleet.Quota, share float64, tokens int) (Charge, time.Duration) {
	charge := Charge{Customer: id, Tokens: tokens, slot: b.slot(now)}
	if q.TokensPerSecond <= 0 {
		return charge, 0
	}
	row := b.refill(now, id, q, share)
	if wait := b.wait(row, q, share, float64(tokens)); wait > 0 {
		return Charge{}, wait
	}
	row.level -= float64(tokens)
	row.used.add(charge.slot, float64(tokens))
	row.fair = max(row.fair-float64(tokens), -fairDebt.Seconds()*q.TokensPerSecond*share)
	return charge, 0
}

// wait is the time until a customer may use tokens; a request that is larger
// than all that is allowed waits until nothing is used.
func (b *Buckets) wait(row *bucket, q fleet.Quota, share, tokens float64) time.Duration {
	var wait time.Duration
	if need := min(tokens, b.burst(q, share)); row.level < need {
		wait = time.Duration((need - row.level) / b.rate(q, share) * float64(time.Second))
	}
	if slots := row.used.slotsUntil(max(b.most(q)*share-tokens, 0)); slots > 0 {
		wait = max(wait, time.Duration(slots)*b.slotWidth())
	}
	return wait
}

// Started counts a charge from now on, when its request goes to a target, and
// returns the charge as it stands then.
func (b *Buckets) Started(now time.Time, c Charge) Charge {
	row := b.rows[c.Customer]
	if row == nil {
		return c
	}
	moved := c
	moved.slot = b.slot(now)
	row.used.advance(moved.slot)
	if row.counts(c) {
		row.used.add(c.slot, -float64(c.Tokens))
	}
	row.used.add(moved.slot, float64(c.Tokens))
	return moved
}

// Return gives back the tokens of a request that did not run.
func (b *Buckets) Return(c Charge) {
	row := b.rows[c.Customer]
	if row == nil || !row.counts(c) {
		return
	}
	row.level += float64(c.Tokens)
	row.used.add(c.slot, -float64(c.Tokens))
}

// counts reports whether a charge is part of the window: it was made since the
// bucket was opened and has not left the window.
func (r *bucket) counts(c Charge) bool { return c.slot >= r.opened && r.used.covers(c.slot) }

// Above reports whether a customer has lately used more than its bare rate,
// without what the bounds allow beyond it.
func (b *Buckets) Above(id tables.CustomerID) bool {
	row := b.rows[id]
	return row != nil && row.fair < 0
}

// Told is what a host says of the use that went through it.
type Told struct {
	Tokens map[tables.CustomerID]float64
	// Over is the time that Tokens covers, up to now.
	Over time.Duration
	// Part of all use goes through that host, from 0 to 1.
	Part float64
}

// Told takes in what a host says of the time before TakeOver. quotas are those
// of all customers.
func (b *Buckets) Told(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64, told Told) {
	for id, q := range quotas {
		if q.TokensPerSecond > 0 {
			b.refill(now, id, q, share).used.spread(b.slot(now), told.Tokens[id], int64(told.Over/b.slotWidth()))
		}
	}
	if told.Over < b.window() {
		return
	}
	b.known = min(b.known+told.Part, 1)
	for id, row := range b.rows {
		q := quotas[id]
		row.level = min(row.level+told.Part*(b.burst(q, share)-b.unknown(q, share)), b.burst(q, share))
	}
}

// spread counts tokens evenly over the latest slots.
func (w *window) spread(slot int64, tokens float64, over int64) {
	over = min(max(over, 1), windowSlots)
	for i := range over {
		w.add(slot-i, tokens/float64(over))
	}
}

// most is what any window may hold for all hosts together.
func (b *Buckets) most(q fleet.Quota) float64 {
	return max(q.TokensPerSecond*b.window().Seconds()+q.Burst+b.allowed(q)*(1-marginShare), 1)
}

// allowed is what the bounds allow beyond rate and burst.
func (b *Buckets) allowed(q fleet.Quota) float64 {
	return (q.TokensPerSecond*b.window().Seconds()+q.Burst)*b.bounds.Overshoot + b.bounds.Slack
}

// rate is what a bucket gains in a second.
func (b *Buckets) rate(q fleet.Quota, share float64) float64 {
	return b.most(q) / b.window().Seconds() * share
}

func (b *Buckets) burst(q fleet.Quota, share float64) float64 {
	return max(burstShare*q.Burst*share, 1)
}

// unknown is the level at which a bucket begins when nothing is known of the
// use before. With it, a window that contains the loss stays within the bounds
// also where the customer had used its burst just before.
func (b *Buckets) unknown(q fleet.Quota, share float64) float64 {
	return min(marginShare*b.allowed(q)*share-b.burst(q, share), 0)
}

func (b *Buckets) window() time.Duration {
	if b.bounds.Window <= 0 {
		return defaultWindow
	}
	return b.bounds.Window
}

func (b *Buckets) slotWidth() time.Duration { return b.window() / windowSlots }

// slot numbers time; slots count from windowSlots on, so that the window before
// the first call has numbers too.
func (b *Buckets) slot(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return int64(now.Sub(b.epoch)/b.slotWidth()) + windowSlots
}

func (b *Buckets) refill(now time.Time, id tables.CustomerID, q fleet.Quota, share float64) *bucket {
	row := b.rows[id]
	if row == nil {
		row = b.open(now, q, share)
		b.rows[id] = row
	}
	row.used.advance(b.slot(now))
	if elapsed := now.Sub(row.at).Seconds(); elapsed > 0 {
		row.level += elapsed * b.rate(q, share)
		row.fair = min(row.fair+elapsed*q.TokensPerSecond*share, fairBurst.Seconds()*q.TokensPerSecond*share)
		row.at = now
	}
	row.level = min(row.level, b.burst(q, share))
	return row
}

// open returns the bucket of a customer who has used nothing here yet.
func (b *Buckets) open(now time.Time, q fleet.Quota, share float64) *bucket {
	if b.since.IsZero() {
		b.since = now
	}
	unknown := b.unknown(q, share)
	return &bucket{
		used:   window{newest: b.slot(now)},
		opened: b.slot(now),
		level:  unknown + b.known*(b.burst(q, share)-unknown),
		fair:   fairBurst.Seconds() * q.TokensPerSecond * share,
		at:     b.since,
	}
}

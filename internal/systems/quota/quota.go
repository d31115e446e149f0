// Package quota limits the tokens that each customer uses across all hosts. It
// uses no clock and does no I/O: callers pass in the time.
package quota

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Buckets limits the tokens of each customer with a sliding window and a token
// bucket. The window keeps the use in any period of its length within the
// bounds. The bucket refills at the rate that the window allows and limits
// bursts. The limit on bursts also bounds how much a customer can have used
// shortly before the recorded use is lost. Buckets is not safe for concurrent
// use.
type Buckets struct {
	buckets map[tables.CustomerID]*customerBucket
	bounds  Bounds
	// epoch is the first time passed to intervalAt. It is the start of the
	// interval with the number windowIntervals. It keeps its monotonic clock
	// reading, so that intervals do not depend on changes of the wall clock.
	epoch time.Time
	// countingSince is the time since which all use is recorded here.
	// knownShare is the fraction of the hosts that have reported their use in
	// the window before countingSince, from 0 to 1.
	countingSince time.Time
	knownShare    float64
}

// Bounds defines the tokens that a customer may use in any window: its rate
// times the window plus its burst, increased by the fraction Overshoot, plus
// Slack tokens.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// defaultWindow applies if no window is configured.
const defaultWindow = time.Second

const (
	// burstShare is the fraction of a customer's burst that may be used at once.
	burstShare = 0.8
	// marginShare is the fraction of Overshoot and Slack that is held back. It
	// covers requests that reach their targets late, and a loss of the recorded
	// use.
	marginShare = 0.15
	// maxRateCredit limits rateCredit to the tokens that the customer's rate
	// yields in this time. A customer that has not used tokens for that long may
	// use as many at once without counting as above its rate.
	maxRateCredit = time.Second
	// maxRateDebt limits how far rateCredit falls below zero, to the tokens that
	// the customer's rate yields in this time. It bounds how long a customer
	// counts as above its rate after it has slowed down.
	maxRateDebt = 2 * time.Second
)

type customerBucket struct {
	used window
	// firstInterval is the first interval whose charges are counted in used.
	firstInterval int64
	// level is the number of tokens in the bucket. A new bucket may start below
	// zero; see initialLevel.
	level float64
	// rateCredit is the number of tokens that the customer's rate, without
	// burst and tolerance, has yielded and the customer has not used. Refunded
	// tokens count as used. While rateCredit is negative, requests of other
	// customers with equal tier and urgency are served first.
	rateCredit float64
	refilledAt time.Time
}

// Charge is the tokens taken from the quota of a customer for one request.
type Charge struct {
	Customer tables.CustomerID
	Tokens   int
	interval int64
}

// NewBuckets returns buckets without recorded use. Use before countingSince counts
// as unknown. The first call of Take or ApplyReport for a customer with a limit
// sets countingSince for all customers.
func NewBuckets(bounds Bounds) *Buckets {
	return &Buckets{buckets: make(map[tables.CustomerID]*customerBucket), bounds: bounds}
}

// SetBounds replaces the bounds. A change of the window discards all recorded
// use.
func (b *Buckets) SetBounds(bounds Bounds) {
	if bounds.Window != b.bounds.Window {
		*b = Buckets{buckets: make(map[tables.CustomerID]*customerBucket)}
	}
	b.bounds = bounds
}

// Reset discards all recorded use. It is called when this host takes over as the
// coordinator, since another host may have granted tokens before.
func (b *Buckets) Reset(now time.Time) {
	clear(b.buckets)
	b.countingSince = now
	b.knownShare = 0
}

// Take takes tokens from the quota of a customer, or returns the time until
// they are available. A quota with a rate of zero is no limit. share is the
// fraction of the quota that this host may grant, from 0 to 1.
func (b *Buckets) Take(now time.Time, id tables.CustomerID, q fleet.Quota, share float64, tokens int) (Charge, time.Duration) {
	charge := Charge{Customer: id, Tokens: tokens, interval: b.intervalAt(now)}
	if q.TokensPerSecond <= 0 {
		return charge, 0
	}
	bucket := b.refill(now, id, q, share)
	if wait := b.wait(bucket, q, share, float64(tokens)); wait > 0 {
		return Charge{}, wait
	}
	bucket.level -= float64(tokens)
	bucket.used.add(charge.interval, float64(tokens))
	bucket.rateCredit = max(bucket.rateCredit-float64(tokens), -maxRateDebt.Seconds()*q.TokensPerSecond*share)
	return charge, 0
}

// wait returns the time until a customer may use tokens. A request that exceeds
// the burst must wait until the bucket is full, and one that exceeds the limit
// of a window until the window is empty.
func (b *Buckets) wait(bucket *customerBucket, q fleet.Quota, share, tokens float64) time.Duration {
	var wait time.Duration
	if need := min(tokens, b.burst(q, share)); bucket.level < need {
		wait = time.Duration((need - bucket.level) / b.refillRate(q, share) * float64(time.Second))
	}
	if intervals := bucket.used.intervalsUntil(max(b.windowLimit(q)*share-tokens, 0)); intervals > 0 {
		wait = max(wait, time.Duration(intervals)*b.intervalLength())
	}
	return wait
}

// MarkSent moves a charge to the current interval when its request is sent to a
// target, and returns the updated charge.
func (b *Buckets) MarkSent(now time.Time, c Charge) Charge {
	bucket := b.buckets[c.Customer]
	if bucket == nil {
		return c
	}
	updated := c
	updated.interval = b.intervalAt(now)
	bucket.used.advance(updated.interval)
	if bucket.includes(c) {
		bucket.used.add(c.interval, -float64(c.Tokens))
	}
	bucket.used.add(updated.interval, float64(c.Tokens))
	return updated
}

// Refund refunds the tokens of a request that did not run. It does not change
// whether the customer counts as above its rate.
func (b *Buckets) Refund(c Charge) {
	bucket := b.buckets[c.Customer]
	if bucket == nil || !bucket.includes(c) {
		return
	}
	bucket.level += float64(c.Tokens)
	bucket.used.add(c.interval, -float64(c.Tokens))
}

// includes reports whether a charge is counted in the window: it was made
// since the bucket was created and its interval has not expired.
func (b *customerBucket) includes(c Charge) bool {
	return c.interval >= b.firstInterval && b.used.covers(c.interval)
}

// OverRate reports whether a customer recently exceeded its rate. The burst and
// the extra tokens that the bounds allow are not part of that rate.
func (b *Buckets) OverRate(id tables.CustomerID) bool {
	bucket := b.buckets[id]
	return bucket != nil && bucket.rateCredit < 0
}

// UsageReport is a host's report of the tokens used through it.
type UsageReport struct {
	Tokens map[tables.CustomerID]float64
	// Period is the period that Tokens covers, up to now.
	Period time.Duration
	// HostShare is 1 divided by the number of hosts, the fraction of all reports that
	// this one makes up.
	HostShare float64
}

// ApplyReport applies a host's report of the tokens used before this host took
// over as the coordinator. quotas are the quotas of all customers. share is the
// same as in Take.
func (b *Buckets) ApplyReport(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64, report UsageReport) {
	for id, q := range quotas {
		if q.TokensPerSecond > 0 {
			b.refill(now, id, q, share).used.addEvenly(b.intervalAt(now), report.Tokens[id], int64(report.Period/b.intervalLength()))
		}
	}
	if report.Period < b.window() {
		return
	}
	b.knownShare = min(b.knownShare+report.HostShare, 1)
	for id, bucket := range b.buckets {
		q := quotas[id]
		bucket.level = min(bucket.level+report.HostShare*(b.burst(q, share)-b.initialLevel(q, share)), b.burst(q, share))
	}
}

// addEvenly distributes tokens evenly over count intervals, of which last is the
// latest.
func (w *window) addEvenly(last int64, tokens float64, count int64) {
	count = min(max(count, 1), windowIntervals)
	for i := range count {
		w.add(last-i, tokens/float64(count))
	}
}

// windowLimit returns the tokens that all hosts together may grant in any
// window.
func (b *Buckets) windowLimit(q fleet.Quota) float64 {
	return max(q.TokensPerSecond*b.window().Seconds()+q.Burst+b.tolerance(q)*(1-marginShare), 1)
}

// tolerance returns the tokens that the bounds allow beyond rate and burst.
func (b *Buckets) tolerance(q fleet.Quota) float64 {
	return (q.TokensPerSecond*b.window().Seconds()+q.Burst)*b.bounds.Overshoot + b.bounds.Slack
}

// refillRate returns the tokens that a bucket gains per second.
func (b *Buckets) refillRate(q fleet.Quota, share float64) float64 {
	return b.windowLimit(q) / b.window().Seconds() * share
}

func (b *Buckets) burst(q fleet.Quota, share float64) float64 {
	return max(burstShare*q.Burst*share, 1)
}

// initialLevel returns the level of a new bucket if the use before
// countingSince is unknown. The level is low enough to keep any window that
// includes countingSince within the bounds, even if the customer used its whole
// burst just before countingSince.
func (b *Buckets) initialLevel(q fleet.Quota, share float64) float64 {
	return min(marginShare*b.tolerance(q)*share-b.burst(q, share), 0)
}

func (b *Buckets) window() time.Duration {
	if b.bounds.Window <= 0 {
		return defaultWindow
	}
	return b.bounds.Window
}

func (b *Buckets) intervalLength() time.Duration { return b.window() / windowIntervals }

// intervalAt returns the number of the interval at a time. Numbers start at
// windowIntervals, so that the intervals of the window before epoch do not have
// negative numbers.
func (b *Buckets) intervalAt(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return int64(now.Sub(b.epoch)/b.intervalLength()) + windowIntervals
}

func (b *Buckets) refill(now time.Time, id tables.CustomerID, q fleet.Quota, share float64) *customerBucket {
	bucket := b.buckets[id]
	if bucket == nil {
		bucket = b.newBucket(now, q, share)
		b.buckets[id] = bucket
	}
	bucket.used.advance(b.intervalAt(now))
	if elapsed := now.Sub(bucket.refilledAt).Seconds(); elapsed > 0 {
		bucket.level += elapsed * b.refillRate(q, share)
		bucket.rateCredit = min(bucket.rateCredit+elapsed*q.TokensPerSecond*share, maxRateCredit.Seconds()*q.TokensPerSecond*share)
		bucket.refilledAt = now
	}
	bucket.level = min(bucket.level, b.burst(q, share))
	return bucket
}

// newBucket returns a bucket for a customer that has none yet.
func (b *Buckets) newBucket(now time.Time, q fleet.Quota, share float64) *customerBucket {
	if b.countingSince.IsZero() {
		b.countingSince = now
	}
	initial := b.initialLevel(q, share)
	return &customerBucket{
		used:          window{newest: b.intervalAt(now)},
		firstInterval: b.intervalAt(now),
		level:         initial + b.knownShare*(b.burst(q, share)-initial),
		rateCredit:    maxRateCredit.Seconds() * q.TokensPerSecond * share,
		refilledAt:    b.countingSince,
	}
}

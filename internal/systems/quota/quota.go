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
	// hosts are the hosts that have used this coordinator, and hostCount is the number of
	// all hosts, or how many there may be if hostCountUnknown is true; it is zero if hosts
	// are not tracked. joinedAt is when a host last began to use this coordinator.
	hosts            map[tables.HostID]*hostState
	hostCount        int
	hostCountUnknown bool
	joinedAt         time.Time
	unknownUse       unknownUse
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
	// unknownCountWait bounds the time for which a request waits while the number of hosts is
	// not known: it may become known at any moment, which raises the share.
	unknownCountWait = time.Second
)

type customerBucket struct {
	// used is the use that was granted here. elsewhere is what others granted, as far as
	// hosts have reported it.
	used, elsewhere window
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
	// share is the share at refilledAt.
	share float64
	// idleCredit is the number of tokens that may be used once in addition to level.
	idleCredit float64
	// restart is true if level falls to that of a new bucket at the next use, because the
	// use of others is unknown.
	restart bool
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
	return &Buckets{buckets: make(map[tables.CustomerID]*customerBucket), hosts: make(map[tables.HostID]*hostState), bounds: bounds}
}

// SetBounds replaces the bounds. A change of the window discards all recorded
// use.
func (b *Buckets) SetBounds(bounds Bounds) {
	if bounds.Window != b.bounds.Window {
		*b = *NewBuckets(bounds)
	}
	b.bounds = bounds
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
	if wait := b.wait(now, bucket, q, share, float64(tokens)); wait > 0 {
		return Charge{}, wait
	}
	fromCredit := min(bucket.idleCredit, float64(tokens))
	bucket.idleCredit -= fromCredit
	bucket.level -= float64(tokens) - fromCredit
	bucket.used.add(charge.interval, float64(tokens))
	bucket.rateCredit = max(bucket.rateCredit-float64(tokens), -maxRateDebt.Seconds()*q.TokensPerSecond*share)
	return charge, 0
}

// wait returns the time until a customer may use tokens. A request that exceeds
// the burst must wait until the bucket is full, and one that exceeds the limit
// of a window until the window is empty.
func (b *Buckets) wait(now time.Time, bucket *customerBucket, q fleet.Quota, share, tokens float64) time.Duration {
	var wait time.Duration
	if need := min(tokens, b.burst(q, share)) - bucket.idleCredit; bucket.level < need {
		wait = time.Duration((need - bucket.level) / b.refillRate(q, share) * float64(time.Second))
	}
	if intervals := b.intervalsUntil(now, bucket, q, share, tokens); intervals > 0 {
		wait = max(wait, time.Duration(intervals)*b.intervalLength())
	}
	if b.hostCountUnknown {
		return min(wait, unknownCountWait)
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
	// Host may be empty if hosts are not tracked.
	Host tables.HostID
	// Period is the period that Tokens covers, up to now.
	Period time.Duration
	// HostShare is 1 divided by the number of hosts, the fraction of all reports that
	// this one makes up.
	HostShare float64
}

// ApplyReport applies a host's report of the tokens used before this host took
// over as the coordinator. quotas are the quotas of all customers. share is the
// same as in Take. Hosts of the build before HostUse send such reports.
func (b *Buckets) ApplyReport(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64, report UsageReport) {
	for id, q := range quotas {
		if q.TokensPerSecond > 0 {
			b.refill(now, id, q, share).elsewhere.addEvenly(b.intervalAt(now), report.Tokens[id], int64(report.Period/b.intervalLength()))
		}
	}
	if h := b.hosts[report.Host]; h != nil {
		b.markReported(now, quotas, share, h, report.Period)
		return
	}
	if report.Period >= b.window() {
		b.raiseLevels(now, quotas, share, report.HostShare)
	}
}

// raiseLevels raises the levels because a fraction of the hosts has reported its use.
func (b *Buckets) raiseLevels(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share, hostShare float64) {
	b.knownShare = min(b.knownShare+hostShare, 1)
	for id := range b.buckets {
		q := quotas[id]
		bucket := b.refill(now, id, q, share)
		bucket.level = min(bucket.level+hostShare*(b.burst(q, share)-b.unknownLevel(q, share)), b.burst(q, share))
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

// ownLimit returns the tokens that may be used in a window, as far as use is known or
// assumed here: those of all hosts, or those of this one's share if hosts are not tracked.
func (b *Buckets) ownLimit(q fleet.Quota, share float64) float64 {
	if b.hostCount == 0 {
		return b.windowLimit(q) * share
	}
	return b.windowLimit(q)
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
	bucket.elsewhere.advance(b.intervalAt(now))
	if bucket.restart {
		bucket.restart = false
		bucket.level = min(bucket.level, b.startLevel(q, share))
	}
	if elapsed := now.Sub(bucket.refilledAt).Seconds(); elapsed > 0 {
		bucket.level += elapsed * b.refillRate(q, min(share, bucket.share))
		bucket.rateCredit = min(bucket.rateCredit+elapsed*q.TokensPerSecond*share, maxRateCredit.Seconds()*q.TokensPerSecond*share)
		bucket.refilledAt = now
	}
	bucket.share = share
	bucket.level = min(bucket.level, b.burst(q, share))
	return bucket
}

// startLevel returns the level of a bucket that has no use recorded here.
func (b *Buckets) startLevel(q fleet.Quota, share float64) float64 {
	initial := b.unknownLevel(q, share)
	return initial + b.knownShare*(b.burst(q, share)-initial)
}

// unknownLevel returns the level of a new bucket if nothing is known of the use of others. If
// hosts are tracked, the window holds what they may have used.
func (b *Buckets) unknownLevel(q fleet.Quota, share float64) float64 {
	if b.hostCount > 0 {
		return 0
	}
	return b.initialLevel(q, share)
}

// newBucket returns a bucket for a customer that has none yet.
func (b *Buckets) newBucket(now time.Time, q fleet.Quota, share float64) *customerBucket {
	if b.countingSince.IsZero() {
		b.countingSince = now
	}
	return &customerBucket{
		used:          window{newest: b.intervalAt(now)},
		elsewhere:     window{newest: b.intervalAt(now)},
		firstInterval: b.intervalAt(now),
		level:         b.startLevel(q, share),
		rateCredit:    maxRateCredit.Seconds() * q.TokensPerSecond * share,
		refilledAt:    b.countingSince,
		share:         share,
	}
}

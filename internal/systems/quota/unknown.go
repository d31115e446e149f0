package quota

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// unknownUse is the use of quotas that a coordinator does not know, as fractions of all
// hosts. It is the same for all customers.
type unknownUse struct {
	valid  bool
	newest int64
	// shareUsing is the fraction of the quotas that this coordinator may grant.
	shareUsing float64
	// hosts holds, by interval, the fraction of the hosts whose use in the interval is
	// unknown, and total the sum of it.
	hosts [windowIntervals + 1]float64
	total float64
	// latest is the fraction of the hosts whose use is unknown now.
	latest float64
	// reserve is the fraction of a burst that is held back after a takeover by a part of the
	// hosts. The coordinator of the others still has all use of this part in its window, but
	// not at even times: when an early burst leaves the window, it grants that part again.
	reserve float64
}

// currentUnknown returns the use that is unknown in the current window. It is computed once
// an interval and after changes.
func (b *Buckets) currentUnknown(now time.Time) *unknownUse {
	newest := b.intervalAt(now)
	if b.unknownUse.valid && b.unknownUse.newest == newest {
		return &b.unknownUse
	}
	b.expireHosts(now)
	u := unknownUse{valid: true, newest: newest}
	count := float64(max(b.hostCount, 1))
	var knownChange [windowIntervals + 2]float64
	for _, h := range b.hosts {
		u.shareUsing += h.weight(now) / count
		knownChange[0]++
		if from, to, unknown := b.unknownIntervals(h, newest); unknown {
			knownChange[from-newest+windowIntervals]--
			knownChange[to-newest+windowIntervals+1]++
		}
	}
	u.shareUsing = min(u.shareUsing, 1)
	known := 0.0
	for i := range u.hosts {
		known += knownChange[i]
		interval := newest - windowIntervals + int64(i)
		u.latest = max(1-known/count, 0)
		u.hosts[interval%int64(len(u.hosts))] = u.latest
		u.total += u.latest
	}
	if now.Sub(b.countingSince) < b.window() {
		u.reserve = min(u.latest, 1-u.latest)
	}
	b.unknownUse = u
	return &b.unknownUse
}

// weight returns the part of its share that a coordinator may grant because of the host.
func (h *hostState) weight(now time.Time) float64 {
	switch {
	case !h.using:
		return 0
	case now.Before(h.heldUntil):
		return heldShare
	default:
		return 1
	}
}

// unknownIntervals returns the first and the last interval of the window in which the use of
// a host is unknown, or false if there is none.
func (b *Buckets) unknownIntervals(h *hostState, newest int64) (from, to int64, unknown bool) {
	from, to = b.intervalAt(h.unknownFrom), newest
	if h.using {
		to = b.intervalAt(h.unknownTo)
	}
	from, to = max(from, newest-windowIntervals), min(to, newest)
	return from, to, h.unknown && from <= to
}

// expireHosts ends the use of this coordinator by hosts that are silent, and removes those
// that have been for long.
func (b *Buckets) expireHosts(now time.Time) {
	for id, h := range b.hosts {
		silent := now.Sub(h.lastContact)
		if h.using && silent > ContactTimeout {
			h.loseTrack()
		}
		if silent > forgetAfterWindows*b.window() {
			delete(b.hosts, id)
		}
	}
}

// assumed returns the tokens of a customer that hosts may have used in the window and that
// are not known: for each such host its share of what all may use. That covers a burst, too,
// since those who grant it keep each window within the same limit.
func (b *Buckets) assumed(now time.Time, q fleet.Quota) float64 {
	if b.hostCount == 0 {
		return 0
	}
	u := b.currentUnknown(now)
	return u.total*b.intervalLimit(q) - u.reserve*b.initialLevel(q, 1)
}

// intervalLimit returns the tokens that all hosts together may use in an interval on average.
func (b *Buckets) intervalLimit(q fleet.Quota) float64 {
	return b.windowLimit(q) / float64(windowIntervals+1)
}

// intervalsUntil returns the number of intervals until a customer's use in the window is at
// most limit if it uses nothing more. For a request of more tokens than this
// coordinator's share of a window, it is the number until no use is known.
func (b *Buckets) intervalsUntil(now time.Time, bucket *customerBucket, q fleet.Quota, share, tokens float64) int64 {
	limit := b.ownLimit(q, share) - tokens
	remaining := bucket.used.total + bucket.elsewhere.total
	larger := tokens > max(b.windowLimit(q)*share, b.ownLimit(q, share)-b.assumed(now, q))
	if larger && b.hostCountUnknown {
		// If each of the hosts that there may be granted one such request, the sum would
		// exceed the limit of a window.
		return windowIntervals + 1
	}
	if larger {
		limit = 0
	} else {
		remaining += b.assumed(now, q)
	}
	newest := b.intervalAt(now)
	for i := int64(0); i <= windowIntervals; i++ {
		if remaining <= limit+roundingTolerance {
			return i
		}
		if oldest := newest - windowIntervals + i; oldest >= 0 {
			remaining -= *bucket.used.sumOf(oldest) + *bucket.elsewhere.sumOf(oldest)
			if !larger {
				remaining -= b.assumedChange(oldest, q)
			}
		}
	}
	return windowIntervals + 1
}

// assumedChange returns by how much the assumed use falls when an interval expires and
// another one begins.
func (b *Buckets) assumedChange(interval int64, q fleet.Quota) float64 {
	if b.hostCount == 0 {
		return 0
	}
	u := &b.unknownUse
	return (u.hosts[interval%int64(len(u.hosts))] - u.latest) * b.intervalLimit(q)
}

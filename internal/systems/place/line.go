package place

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which the rate of ended requests is measured.
	rateWindow = time.Second
	// returnShare is the part of that rate that is promised to callers who come
	// back.
	returnShare = 0.3
	// minRate in requests a second keeps promises finite while nothing ends.
	minRate = 4.0
	// minRetry is the shortest advice to a refused caller; maxRetry the longest.
	minRetry = 400 * time.Millisecond
	maxRetry = 4 * time.Second
	// retrySpread lengthens an advice by up to this share, at random.
	retrySpread = 0.25
)

// line promises refused callers times to come back, one after the other, as
// fast as a part of the places comes free. It answers a load that stays above
// what targets can serve: callers who come back together would meet the next
// peak.
type line struct {
	rate    float64
	at      time.Time
	promise time.Time
	// took is the mean time from a grant to its end.
	took time.Duration
}

// tookWeight is that of a new request in the mean time.
const tookWeight = 0.02

// mean is the mean time from a grant to its end.
func (l *line) mean() time.Duration { return l.took }

// finished takes in the time from a grant to its end.
func (l *line) finished(took time.Duration) {
	l.took += time.Duration(tookWeight * float64(took-l.took))
}

// ended counts a request that freed its place.
func (l *line) ended(now time.Time) {
	l.rate = l.decayed(now) + 1/rateWindow.Seconds()
	l.at = now
}

// decayed is the rate of ended requests, in requests a second.
func (l *line) decayed(now time.Time) float64 {
	return l.rate * math.Exp(-now.Sub(l.at).Seconds()/rateWindow.Seconds())
}

// next returns the wait after which the next refused caller may come back;
// random is in [0, 1).
func (l *line) next(now time.Time, random float64) time.Duration {
	gap := time.Duration(float64(time.Second) / (returnShare * max(l.decayed(now), minRate)))
	earliest := now.Add(minRetry)
	l.promise = l.promise.Add(gap)
	if l.promise.Before(earliest) {
		l.promise = earliest
	}
	if latest := now.Add(maxRetry); l.promise.After(latest) {
		l.promise = latest
	}
	wait := l.promise.Sub(now)
	return wait + time.Duration(retrySpread*random*float64(wait))
}

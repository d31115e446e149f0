package fairshare

import "time"

const (
	// Window is the time over which demand and use are summed. It is longer than most
	// requests hold a slot, so that a clump of arrivals is not taken for a surge, and short
	// enough that a surge is bounded within seconds.
	Window = 2 * time.Second
	// interval is the resolution of the sums.
	interval = 100 * time.Millisecond
	// intervals is the number of intervals in Window.
	intervals = int64(Window / interval)
)

// window sums slot time, in seconds, over the last intervals. The zero value is empty.
type window struct {
	sums   [intervals]float64
	newest int64
	total  float64
}

// intervalAt returns the number of the interval that contains a time.
func intervalAt(now time.Time) int64 { return now.UnixNano() / int64(interval) }

// advance drops the intervals that have left the window at now.
func (w *window) advance(now time.Time) {
	current := intervalAt(now)
	if current-w.newest >= intervals {
		*w = window{newest: current}
		return
	}
	for w.newest < current {
		w.newest++
		expired := w.sumOf(w.newest)
		w.total -= *expired
		*expired = 0
	}
}

// sumOf returns the sum of an interval of the window. Times before 1970 have negative
// numbers.
func (w *window) sumOf(number int64) *float64 {
	return &w.sums[(number%intervals+intervals)%intervals]
}

// covers reports whether an interval is part of the window.
func (w *window) covers(number int64) bool {
	return number <= w.newest && w.newest-number < intervals
}

// add adds slot time to an interval; what has left the window is ignored.
func (w *window) add(number int64, seconds float64) {
	if w.covers(number) {
		*w.sumOf(number) += seconds
		w.total += seconds
	}
}

// untilBelow returns the time after now until the sum has fallen to a bound, if nothing is
// added.
func (w *window) untilBelow(now time.Time, bound float64) time.Duration {
	w.advance(now)
	rest := w.total
	for number := w.newest - intervals + 1; number <= w.newest; number++ {
		if rest <= bound {
			return w.leaves(number-1, now)
		}
		rest -= *w.sumOf(number)
	}
	return w.leaves(w.newest, now)
}

// leaves returns the time after now at which an interval leaves the window.
func (w *window) leaves(number int64, now time.Time) time.Duration {
	at := time.Unix(0, (number+intervals)*int64(interval))
	return max(at.Sub(now), 0)
}

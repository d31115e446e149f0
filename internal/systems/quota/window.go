package quota

// windowIntervals is the number of intervals in the nominal length of a window.
const windowIntervals = 80

// roundingTolerance is the allowed rounding error of token sums, in tokens.
const roundingTolerance = 0.5

// window sums tokens by interval over the current interval and the last
// windowIntervals ones, so it never covers less than its nominal length.
type window struct {
	sums   [windowIntervals + 1]float64
	newest int64
	total  float64
}

// advance moves the window forward to an interval and drops expired intervals.
func (w *window) advance(interval int64) {
	if interval-w.newest > windowIntervals {
		*w = window{newest: interval}
		return
	}
	for w.newest < interval {
		w.newest++
		expired := w.sumOf(w.newest)
		w.total -= *expired
		*expired = 0
	}
}

func (w *window) sumOf(interval int64) *float64 { return &w.sums[interval%int64(len(w.sums))] }

// covers reports whether the window contains an interval.
func (w *window) covers(interval int64) bool {
	return interval <= w.newest && w.newest-interval <= windowIntervals
}

// add adds tokens to an interval. Expired intervals are ignored.
func (w *window) add(interval int64, tokens float64) {
	if w.covers(interval) {
		*w.sumOf(interval) += tokens
		w.total += tokens
	}
}

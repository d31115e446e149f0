package quota

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 80

// rounding is what sums of parts of tokens may be off, in tokens.
const rounding = 0.5

// window sums tokens by slots of time over the last windowSlots of them and the
// present one, so it never covers less than the time it stands for.
type window struct {
	slots  [windowSlots + 1]float64
	newest int64
	total  float64
}

// advance drops the slots that have left the window when slot is the present
// one.
func (w *window) advance(slot int64) {
	if slot-w.newest > windowSlots {
		*w = window{newest: slot}
		return
	}
	for w.newest < slot {
		w.newest++
		oldest := w.at(w.newest)
		w.total -= *oldest
		*oldest = 0
	}
}

func (w *window) at(slot int64) *float64 { return &w.slots[slot%int64(len(w.slots))] }

// covers reports whether a slot is still part of the window.
func (w *window) covers(slot int64) bool { return slot <= w.newest && w.newest-slot <= windowSlots }

// add counts tokens in a slot; one that has left the window is passed over.
func (w *window) add(slot int64, tokens float64) {
	if w.covers(slot) {
		*w.at(slot) += tokens
		w.total += tokens
	}
}

// slotsUntil is the number of slots until the total is at most most.
func (w *window) slotsUntil(most float64) int64 {
	left := w.total
	for i := int64(0); i <= windowSlots; i++ {
		if left <= most+rounding {
			return i
		}
		oldest := w.newest - windowSlots + i
		if oldest >= 0 {
			left -= *w.at(oldest)
		}
	}
	return windowSlots + 1
}

package allocation

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
)

// maxLosses bounds the losses that are kept for a target.
const maxLosses = 32

// losses holds the broken connections of a target, in order of time. Each ejects the
// target for a time unless the host that reports it is the likelier cause. The zero value
// is empty.
type losses struct {
	list []loss
	// run counts the responses of the target: losses of one run are consecutive.
	run int
}

// loss is a send to a target that failed.
type loss struct {
	reach.Failure
	run int
}

func (l *losses) add(now time.Time, f reach.Failure) {
	kept := l.list[:0]
	for _, known := range l.list {
		if now.Sub(known.At) < maxEjection {
			kept = append(kept, known)
		}
	}
	l.list = append(kept, loss{f, l.run})
	l.list = l.list[max(len(l.list)-maxLosses, 0):]
}

// recordResponse ends the run of consecutive losses.
func (l *losses) recordResponse() { l.run++ }

// ejectedUntil returns until when the target is ejected. The time of a loss is
// baseEjection, and doubles with each consecutive one.
func (l *losses) ejectedUntil(now time.Time, senders *reach.Senders) time.Time {
	var until time.Time
	consecutive, run := 0, 0
	for _, known := range l.list {
		if now.Sub(known.At) >= maxEjection || senders.Discounted(now, known.Failure) {
			continue
		}
		if known.run != run {
			consecutive, run = 0, known.run
		}
		if end := known.At.Add(min(baseEjection<<min(consecutive, 8), maxEjection)); end.After(until) {
			until = end
		}
		consecutive++
	}
	return until
}

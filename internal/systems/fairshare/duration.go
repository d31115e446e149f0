package fairshare

import (
	"math/bits"
	"time"
)

const (
	// defaultDuration is the estimate before the first release.
	defaultDuration = 500 * time.Millisecond
	// durationWeight is the lowest weight of a new observation. The n-th one has the
	// weight 1/n, but at least this.
	durationWeight = 0.02
	// maxKinds bounds the kinds for which a mean is kept.
	maxKinds = 64
	// minObservations is the number of observations from which the mean of a kind is used.
	minObservations = 4
)

// Kind groups requests that hold a slot for about the same time.
type Kind struct {
	urgency, size int
}

// KindOf returns the kind of a request. Prompts of a kind differ in length by a factor of
// four at most.
func KindOf(urgency, promptTokens int) Kind {
	return Kind{urgency, bits.Len(uint(max(promptTokens, 0))) / 2}
}

// durations estimates the slot time of requests by their kind.
type durations struct {
	all    mean
	byKind map[Kind]*mean
}

// mean is a moving average of durations, in seconds.
type mean struct {
	seconds      float64
	observations int
}

func (m *mean) observe(seconds float64) {
	m.observations++
	m.seconds += max(durationWeight, 1/float64(m.observations)) * (seconds - m.seconds)
}

func newDurations() durations { return durations{byKind: make(map[Kind]*mean)} }

func (d *durations) observe(k Kind, seconds float64) {
	d.all.observe(seconds)
	m := d.byKind[k]
	if m == nil {
		if len(d.byKind) >= maxKinds {
			return
		}
		m = &mean{}
		d.byKind[k] = m
	}
	m.observe(seconds)
}

// estimate returns the expected slot time of a request, in seconds.
func (d *durations) estimate(k Kind) float64 {
	if m := d.byKind[k]; m != nil && m.observations >= minObservations {
		return m.seconds
	}
	return d.mean()
}

// mean returns the mean slot time of all kinds, in seconds.
func (d *durations) mean() float64 {
	if d.all.observations > 0 {
		return d.all.seconds
	}
	return defaultDuration.Seconds()
}

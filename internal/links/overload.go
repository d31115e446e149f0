package links

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// delayWeight is the weight of a new delay in the moving average.
	delayWeight = 0.25
	// overloadDelay is the mean timer delay above which a host has too little
	// CPU time to act as the coordinator.
	overloadDelay = 80 * time.Millisecond
	// sampleBytes is the size of the work that is timed to measure the CPU
	// speed. It is timed sampleTries times and the shortest time counts.
	sampleBytes = 64 << 10
	sampleTries = 3
	// baselineWeight is the weight of a new sample in the baseline. A sample is
	// slow if it takes slowFactor times the baseline, and minSlowSamples
	// consecutive slow samples mean overload.
	baselineWeight = 0.02
	slowFactor     = 2.5
	minSlowSamples = 2
	// warmupSamples is the number of samples before the baseline is used.
	warmupSamples = 10
)

// OverloadDetector detects that a process has too little CPU time: its timers
// fire late, or the same work takes several times as long as usual. It is not
// safe for concurrent use.
type OverloadDetector struct {
	meanDelay float64
	work      []byte
	// checksum keeps the result of the work, so that the compiler cannot remove
	// the work.
	checksum        uint64
	baseline        float64
	samples         int
	consecutiveSlow int
}

// NewOverloadDetector returns a detector without observations.
func NewOverloadDetector() *OverloadDetector {
	return &OverloadDetector{work: make([]byte, sampleBytes)}
}

// ObserveTimer records how late a timer fired: it was set for the duration
// expected and fired after the duration took.
func (d *OverloadDetector) ObserveTimer(expected, took time.Duration) {
	d.meanDelay += delayWeight * (float64(max(took-expected, 0)) - d.meanDelay)
}

// SampleWork times a fixed piece of work and records the result. now must return
// monotonic times.
func (d *OverloadDetector) SampleWork(now func() time.Time) {
	best := time.Duration(0)
	for i := range sampleTries {
		startedAt := now()
		d.checksum += xxhash.Sum64(d.work)
		if took := now().Sub(startedAt); i == 0 || took < best {
			best = took
		}
	}
	d.ObserveWork(best)
}

// ObserveWork records how long the fixed piece of work took.
func (d *OverloadDetector) ObserveWork(took time.Duration) {
	d.samples++
	if d.samples > warmupSamples && float64(took) > slowFactor*d.baseline {
		d.consecutiveSlow++
		return
	}
	d.consecutiveSlow = 0
	weight := max(baselineWeight, 1/float64(d.samples))
	d.baseline += weight * (float64(took) - d.baseline)
}

// Overloaded reports whether the process has too little CPU time.
func (d *OverloadDetector) Overloaded() bool {
	return time.Duration(d.meanDelay) > overloadDelay || d.consecutiveSlow >= minSlowSamples
}

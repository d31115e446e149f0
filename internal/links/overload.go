package links

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lagWeight is that of a new delay in the mean.
	lagWeight = 0.25
	// busyLag is the mean delay of timers from which a host is too short of
	// processor time to decide for others.
	busyLag = 80 * time.Millisecond
	// sampleBytes is the size of the work whose time shows the pace of the
	// processor; sampleTries of it are timed and the shortest counts.
	sampleBytes = 64 << 10
	sampleTries = 3
	// paceWeight is that of a new sample in the usual time, slowFactor how many
	// times longer a slow host takes, and slowSamples how many samples in a row
	// show it.
	paceWeight  = 0.02
	slowFactor  = 2.5
	slowSamples = 2
	// settleSamples are taken before the usual time is trusted.
	settleSamples = 10
)

// Lag shows when a process is short of processor time: its timers fire late,
// or the same work takes several times as long as usual.
type Lag struct {
	mean    float64
	work    []byte
	sum     uint64
	usual   float64
	samples int
	slow    int
}

// NewLag returns a measure that has seen nothing.
func NewLag() *Lag { return &Lag{work: make([]byte, sampleBytes)} }

// Observe takes in a wait that was meant to take one time and took another.
func (l *Lag) Observe(meant, took time.Duration) {
	l.mean += lagWeight * (float64(max(took-meant, 0)) - l.mean)
}

// Sample times a fixed piece of work. now is a steady clock.
func (l *Lag) Sample(now func() time.Time) {
	best := time.Duration(0)
	for i := range sampleTries {
		began := now()
		l.sum += xxhash.Sum64(l.work)
		if took := now().Sub(began); i == 0 || took < best {
			best = took
		}
	}
	l.Work(best)
}

// Work takes in how long the fixed piece of work took.
func (l *Lag) Work(took time.Duration) {
	l.samples++
	if l.samples > settleSamples && float64(took) > slowFactor*l.usual {
		l.slow++
		return
	}
	l.slow = 0
	weight := max(paceWeight, 1/float64(l.samples))
	l.usual += weight * (float64(took) - l.usual)
}

// Busy reports whether the process runs late or slowly.
func (l *Lag) Busy() bool {
	return time.Duration(l.mean) > busyLag || l.slow >= slowSamples
}

// Package stall notices that the process did not run for a while: it was paused, its
// host was suspended, or it got no processor time. What the process knew before may
// have changed meanwhile, and what it was permitted may have expired.
package stall

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// tickInterval is the time between two checks by Run.
	tickInterval = 100 * time.Millisecond
	// threshold is the time without a check from which the process counts as
	// stalled.
	threshold = time.Second
)

// Detector notices stalls of the process. It is safe for concurrent use.
type Detector struct {
	clock clockwork.Clock
	// elapsed returns the time since the host started, including the time for which
	// it was suspended. The clock of the process does not count the latter.
	elapsed func() time.Duration
	// OnResume is called after each stall with its length. It may be nil.
	OnResume func(length time.Duration)

	mu          sync.Mutex
	checkedAt   time.Time
	elapsedThen time.Duration
	resumedAt   time.Time
}

// New returns a detector, which needs a running Run. elapsed is BootTime, except in
// tests.
func New(clock clockwork.Clock, elapsed func() time.Duration) *Detector {
	return &Detector{clock: clock, elapsed: elapsed, checkedAt: clock.Now(), elapsedThen: elapsed()}
}

// BootTime returns the time since the host started, including the time for which it
// was suspended, or zero if it is unknown.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Run checks for stalls until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for {
		d.check()
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(tickInterval):
		}
	}
}

// ResumedSince reports whether the process has resumed after a stall at the given
// time or later. A stall that has just ended counts, even if Run has not noticed it.
func (d *Detector) ResumedSince(at time.Time) bool {
	d.check()
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.resumedAt.IsZero() && !d.resumedAt.Before(at)
}

// ResumedAt returns when the process last resumed after a stall, or zero.
func (d *Detector) ResumedAt() time.Time {
	d.check()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumedAt
}

func (d *Detector) check() {
	length := d.record()
	if length >= threshold && d.OnResume != nil {
		d.OnResume(length)
	}
}

// record records a check and returns the time since the one before.
func (d *Detector) record() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, elapsed := d.clock.Now(), d.elapsed()
	length := max(now.Sub(d.checkedAt), elapsed-d.elapsedThen)
	d.checkedAt, d.elapsedThen = now, elapsed
	if length >= threshold {
		d.resumedAt = now
	}
	return length
}

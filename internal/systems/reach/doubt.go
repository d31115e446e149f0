package reach

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// firstChecks is the number of paths that are checked once one is found lost. Each
	// that connects while the others are in doubt lets checksPerSound more be checked.
	firstChecks    = 3
	checksPerSound = 2
	// maxChecks bounds the checks in progress.
	maxChecks = 8
	// soundChecks is the number of checks in a row that must connect to end a doubt.
	soundChecks = 6
	// minCheckDelay is the time between two batches of checks that fail. It doubles with
	// each, up to maxProbeDelay.
	minCheckDelay = 300 * time.Millisecond
)

// doubt is whether a host that has lost a path to a service has lost others to it as well.
// The cost of the answer depends neither on the number of targets nor of requests: a few
// checks tell, and more follow only while they connect.
type doubt struct {
	// active is true while paths that nothing shows to be sound are taken for lost.
	// bySilence is true if no check has failed yet.
	active, bySilence bool
	// since is when the checks began. soundAt holds when a path was last seen to be sound.
	since   time.Time
	soundAt map[tables.TargetID]time.Time
	// checking holds the checks in progress. due more may begin.
	checking map[tables.TargetID]bool
	due      int
	// soundInRow is the number of checks in a row that connected.
	soundInRow int
	// nextAt is when the next batch of checks begins while the doubt is active.
	nextAt time.Time
	delay  time.Duration
}

func (p *Paths) doubtOf(service tables.ServiceID) *doubt {
	if p.doubts == nil {
		p.doubts = make(map[tables.ServiceID]*doubt)
	}
	d := p.doubts[service]
	if d == nil {
		d = &doubt{soundAt: make(map[tables.TargetID]time.Time), checking: make(map[tables.TargetID]bool)}
		p.doubts[service] = d
	}
	return d
}

// begin takes all paths for lost that nothing has shown to be sound since the checks began.
func (d *doubt) begin() {
	d.active, d.soundInRow = true, 0
	d.delay = minCheckDelay
	d.nextAt = d.since.Add(d.delay)
}

// beginChecks makes the first checks due, unless the doubt is active already.
func (d *doubt) beginChecks(now time.Time) {
	if d.active || d.due > 0 {
		return
	}
	clear(d.soundAt)
	d.since, d.due, d.soundInRow = now, firstChecks, 0
}

// checkDue reports whether a check may begin now.
func (d *doubt) checkDue(now time.Time) bool {
	if d.active && d.due == 0 && len(d.checking) == 0 && !now.Before(d.nextAt) {
		d.due = firstChecks
		d.nextAt = now.Add(d.delay)
		d.delay = min(2*d.delay, maxProbeDelay)
	}
	return d.due > 0 && len(d.checking) < maxChecks
}

// sound reports whether something has shown the path to be sound since the checks began.
func (d *doubt) sound(id tables.TargetID) bool {
	at, known := d.soundAt[id]
	return known && !at.Before(d.since)
}

func (d *doubt) anySound() bool {
	for id := range d.soundAt {
		if d.sound(id) {
			return true
		}
	}
	return false
}

// recordSound records that a new connection has opened. It reports whether that changes
// which paths are taken for lost.
func (d *doubt) recordSound(now time.Time, id tables.TargetID) (changed bool) {
	delete(d.checking, id)
	d.soundAt[id] = now
	if !d.active {
		return false
	}
	d.soundInRow++
	d.due += checksPerSound
	d.delay = minCheckDelay
	if d.soundInRow >= soundChecks {
		d.active, d.due = false, 0
	}
	return true
}

// recordLost records that a check could not connect.
func (d *doubt) recordLost(id tables.TargetID) {
	delete(d.checking, id)
	d.soundInRow, d.bySilence = 0, false
	if !d.active {
		d.begin()
	}
}

package reach

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// minSilence is how long a send must have hung for the silence of all targets
	// meanwhile to put the paths of its service in doubt.
	minSilence = 250 * time.Millisecond
	// minProbeDelay is the time from the loss of a path to the first probe. It doubles with
	// each failed probe, up to maxProbeDelay.
	minProbeDelay = 300 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// maxProbes bounds the probes in progress. After maxFailedProbes failed ones in a row,
	// they come one by one, probePause apart, however many paths are lost.
	maxProbes       = 4
	maxFailedProbes = 3
	probePause      = 250 * time.Millisecond
)

// Paths is what a host knows of its own paths to the targets. A path to a target is lost
// from a failed attempt to connect until a probe connects. While the paths of a service
// are in doubt, each is taken for lost until something shows that it is sound. The zero
// value knows no lost path. It is not safe for concurrent use.
type Paths struct {
	lost   map[tables.TargetID]*lostPath
	doubts map[tables.ServiceID]*doubt
	// receivedAt is when a target last sent something on a connection of this host.
	receivedAt time.Time
	// probing is the number of probes in progress, failedProbes that of those that have
	// failed in a row. The next one may begin at probeAt.
	probing, failedProbes int
	probeAt               time.Time
	// version rises with each change of what Report returns.
	version uint64
}

// lostPath is a lost path to one start of a target.
type lostPath struct {
	target  fleet.Target
	probeAt time.Time
	delay   time.Duration
	probing bool
}

// Failed records that a send to a target, begun at a time, could not connect, or that its
// connection hung until it was given up. It reports whether the path was not lost before.
// Other paths of the service are checked then.
func (p *Paths) Failed(now time.Time, t fleet.Target, begunAt time.Time) (newlyLost bool) {
	newlyLost = p.lose(now, t)
	d := p.doubtOf(t.Service)
	if newlyLost {
		d.beginChecks(now)
	}
	if p.Hung(now, begunAt) && !d.active {
		d.beginChecks(now)
		d.begin()
		d.bySilence = true
		p.version++
	}
	return newlyLost
}

// lose records a lost path and reports whether it was not lost before.
func (p *Paths) lose(now time.Time, t fleet.Target) bool {
	if p.lost[t.ID].of(t) {
		return false
	}
	if p.lost == nil {
		p.lost = make(map[tables.TargetID]*lostPath)
	}
	p.endProbe(t)
	p.lost[t.ID] = &lostPath{target: t, probeAt: now.Add(minProbeDelay), delay: minProbeDelay}
	delete(p.doubtOf(t.Service).soundAt, t.ID)
	p.version++
	return true
}

// Hung reports whether a send that began at a time has hung for so long that it shows a
// lost path: no target has sent anything meanwhile.
func (p *Paths) Hung(now, begunAt time.Time) bool {
	return now.Sub(begunAt) >= minSilence && p.receivedAt.Before(begunAt)
}

// Received records that a target has sent something on a connection of this host. It ends
// doubts that only silence has raised: an open connection may live on while no new one
// opens.
func (p *Paths) Received(now time.Time) {
	p.receivedAt = now
	for _, d := range p.doubts {
		if d.active && d.bySilence {
			d.active = false
			p.version++
		}
	}
}

// Answered records that a target has answered a request that this host has sent.
func (p *Paths) Answered(now time.Time, t fleet.Target) {
	p.Received(now)
	if d := p.doubtOf(t.Service); d.active && !d.sound(t.ID) {
		d.soundAt[t.ID] = now
		p.version++
	}
}

// Connected records that a new connection to a target has opened. It reports whether the
// path was lost. Probes of the other lost paths are due then.
func (p *Paths) Connected(now time.Time, t fleet.Target) (wasLost bool) {
	_, wasLost = p.lost[t.ID]
	p.endProbe(t)
	delete(p.lost, t.ID)
	p.Received(now)
	p.failedProbes = 0
	for _, other := range p.lost {
		other.probeAt = now
	}
	if changed := p.doubtOf(t.Service).recordSound(now, t.ID); changed || wasLost {
		p.version++
	}
	return wasLost
}

// Lost reports whether the path to a target is lost or in doubt.
func (p *Paths) Lost(t fleet.Target) bool { return p.lost[t.ID].of(t) || p.InDoubt(t) }

// InDoubt reports whether the path to a target is only taken for lost because others of
// its service are.
func (p *Paths) InDoubt(t fleet.Target) bool {
	d := p.doubts[t.Service]
	return d != nil && d.active && !d.sound(t.ID) && !p.lost[t.ID].of(t)
}

// AllLost reports whether the host knows of no sound path to a service.
func (p *Paths) AllLost(service tables.ServiceID) bool {
	d := p.doubts[service]
	return d != nil && d.active && !d.anySound()
}

// of reports whether p is the lost path to this start of a target.
func (p *lostPath) of(t fleet.Target) bool {
	return p != nil && p.target.StartedAt.Equal(t.StartedAt) && p.target.Address == t.Address
}

// NextProbe returns the target whose probe is due for longest. Its probe counts as begun.
// Targets that are not listed any more are forgotten.
func (p *Paths) NextProbe(now time.Time, listed func(fleet.Target) bool) (fleet.Target, bool) {
	var next *lostPath
	for id, path := range p.lost {
		switch {
		case path.probing:
		case !listed(path.target):
			p.forget(id, path.target)
		case now.Before(path.probeAt):
		case next == nil || path.probeAt.Before(next.probeAt):
			next = path
		}
	}
	if next == nil || now.Before(p.probeAt) || p.probing >= p.probeLimit() {
		return fleet.Target{}, false
	}
	next.probing = true
	p.probing++
	return next.target, true
}

func (p *Paths) probeLimit() int {
	if p.failedProbes >= maxFailedProbes {
		return 1
	}
	return maxProbes
}

// forget forgets the path to a target that is gone. A doubt that it has raised may have no
// other ground.
func (p *Paths) forget(id tables.TargetID, t fleet.Target) {
	p.endProbe(t)
	delete(p.lost, id)
	p.version++
	d := p.doubtOf(t.Service)
	if !slices.ContainsFunc(p.lostTargets(), func(other fleet.Target) bool { return other.Service == t.Service }) {
		d.active = false
	}
}

func (p *Paths) lostTargets() []fleet.Target {
	out := make([]fleet.Target, 0, len(p.lost))
	for _, path := range p.lost {
		out = append(out, path.target)
	}
	return out
}

// Checking reports whether NextCheck may return a target.
func (p *Paths) Checking(now time.Time) bool {
	for _, d := range p.doubts {
		if d.checkDue(now) {
			return true
		}
	}
	return false
}

// NextCheck returns a target whose path is to be checked now, to tell a host that has lost
// many paths from one that has lost a single target. Its check counts as begun. random is
// in [0, 1).
func (p *Paths) NextCheck(now time.Time, targets []fleet.Target, random float64) (fleet.Target, bool) {
	for service, d := range p.doubts {
		if !d.checkDue(now) {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(targets), func(t fleet.Target) bool {
			return t.Service != service || p.lost[t.ID].of(t) || d.sound(t.ID) || d.checking[t.ID]
		})
		if len(open) == 0 {
			p.endDoubt(d)
			continue
		}
		t := open[int(random*float64(len(open)))]
		d.due--
		d.checking[t.ID] = true
		return t, true
	}
	return fleet.Target{}, false
}

// endProbe records the end of a probe, if one is in progress.
func (p *Paths) endProbe(t fleet.Target) {
	if path := p.lost[t.ID]; path != nil && path.probing {
		path.probing = false
		p.probing--
	}
}

// endDoubt ends a doubt once nothing is left to check: each path is known to be lost or sound.
func (p *Paths) endDoubt(d *doubt) {
	d.due = 0
	if d.active && len(d.checking) == 0 {
		d.active = false
		p.version++
	}
}

// ProbeFailed records that a probe or a check could not connect.
func (p *Paths) ProbeFailed(now time.Time, t fleet.Target) {
	if d := p.doubtOf(t.Service); d.checking[t.ID] {
		p.lose(now, t)
		d.recordLost(t.ID)
		p.version++
		return
	}
	p.failedProbes++
	if p.failedProbes >= maxFailedProbes {
		p.probeAt = now.Add(probePause)
	}
	p.endProbe(t)
	path := p.lost[t.ID]
	if !path.of(t) {
		return
	}
	path.delay = min(2*path.delay, maxProbeDelay)
	path.probeAt = now.Add(path.delay)
}

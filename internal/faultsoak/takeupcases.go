package faultsoak

import (
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

var errUnknownCase = errors.New("unknown case")

// takeUpCase returns the hosts at which the streams of a round begin, what breaks them off, and
// what ends the fault.
type takeUpCase func(p *takeUp, coordinator *host) (serving []*host, disturb, heal func())

var takeUpCases = map[string]takeUpCase{
	"serving":     func(p *takeUp, c *host) ([]*host, func(), func()) { return p.kill(p.others(c, 1)) },
	"coordinator": func(p *takeUp, c *host) ([]*host, func(), func()) { return p.kill([]*host{c}) },
	"both":        bothEnd,
	"herd": func(p *takeUp, _ *host) ([]*host, func(), func()) {
		return p.kill(p.others(nil, len(p.hosts)*herdPercent/100))
	},
	"all":           allEnd,
	"store-slow":    storeSlow,
	"store-down":    storeDown,
	"store-cut":     storeCut,
	"paused":        pausedCoordinator,
	"paused-early":  pausedEarly,
	"restarted":     func(p *takeUp, c *host) ([]*host, func(), func()) { return p.restartTargets(c, takeUpTargets/2) },
	"restarted-one": func(p *takeUp, c *host) ([]*host, func(), func()) { return p.restartTargets(c, 1) },
	"regranted":     regranted,
}

// TakeUpCases returns the names of the cases, sorted.
func TakeUpCases() []string { return slices.Sorted(maps.Keys(takeUpCases)) }

const (
	// herdPercent is the share of the hosts that end at once in a herd.
	herdPercent = 55
	// slowStoreDelay is added to each piece of data of the store while it is slow.
	slowStoreDelay = 400 * time.Millisecond
	// shortPause and longPause bound the time for which a host is stopped.
	shortPause, longPause = 2 * time.Second, 4 * time.Second
	// maxEntryDelay bounds the time until the entry of a target that has started again.
	maxEntryDelay = 600 * time.Millisecond
	// regrantSpread is the time over which streams begin that are all sent to a second target
	// at about the same time.
	regrantSpread = 30 * time.Millisecond
	// pauseLead is how long before the end of the serving host the coordinator stops.
	pauseLead = 250 * time.Millisecond
)

// others draws hosts other than one.
func (p *takeUp) others(than *host, count int) []*host {
	var out []*host
	for _, i := range p.rng.Perm(len(p.hosts)) {
		if h := p.hosts[i]; h != than && len(out) < count {
			out = append(out, h)
		}
	}
	return out
}

// kill ends the hosts of the streams, which start again after the round.
func (p *takeUp) kill(serving []*host) ([]*host, func(), func()) {
	return serving, func() { end(serving) }, func() { p.startAgain(serving) }
}

// bothEnd ends a host and the coordinator.
func bothEnd(p *takeUp, c *host) ([]*host, func(), func()) {
	serving := p.others(c, 1)
	ended := append(slices.Clone(serving), c)
	return serving, func() { end(ended) }, func() { p.startAgain(ended) }
}

// allEnd ends all hosts, which start again at once.
func allEnd(p *takeUp, _ *host) ([]*host, func(), func()) {
	return p.hosts, func() { end(p.hosts); p.startAgain(p.hosts) }, func() {}
}

func storeSlow(p *takeUp, c *host) ([]*host, func(), func()) {
	for _, h := range p.hosts {
		h.storeProxy.update(func(p *proxy) { p.delay = slowStoreDelay })
	}
	serving, disturb, restart := bothEnd(p, c)
	return serving, disturb, func() {
		for _, h := range p.hosts {
			h.storeProxy.heal()
		}
		restart()
	}
}

func storeDown(p *takeUp, c *host) ([]*host, func(), func()) {
	p.store.SetDown(true)
	serving, disturb, restart := bothEnd(p, c)
	return serving, disturb, func() { p.store.SetDown(false); restart() }
}

// regranted ends a host and the coordinator just after the first events of streams that one
// version has reset before.
func regranted(p *takeUp, c *host) ([]*host, func(), func()) {
	version := versionName(p.rng.IntN(2), 2)
	setFault := func(f standin.Fault) {
		for _, t := range p.targets {
			if entry := t.Entry("ready"); entry["version"] == version {
				t.SetFault(f)
			}
		}
	}
	setFault(standin.ResetLate)
	p.spread = regrantSpread
	serving, disturb, restart := bothEnd(p, c)
	return serving, func() {
		time.Sleep(standin.LateResetDelay + takeUpEventGap)
		disturb()
		setFault(standin.NoFault)
	}, restart
}

// storeCut cuts half of the hosts off from the store.
func storeCut(p *takeUp, c *host) ([]*host, func(), func()) {
	cut := p.others(nil, len(p.hosts)/2)
	for _, h := range cut {
		h.storeProxy.update(func(p *proxy) { p.dropToBackend, p.dropToCaller = true, true })
		h.storeProxy.reset()
	}
	serving, disturb, restart := bothEnd(p, c)
	return serving, disturb, func() {
		for _, h := range cut {
			h.storeProxy.heal()
		}
		restart()
	}
}

// pausedCoordinator stops the coordinator when the host of the streams ends.
func pausedCoordinator(p *takeUp, c *host) ([]*host, func(), func()) {
	return p.pause(c, 0)
}

// pausedEarly stops the coordinator before the host of the streams ends, so that another one
// grants the last slots.
func pausedEarly(p *takeUp, c *host) ([]*host, func(), func()) {
	return p.pause(c, pauseLead)
}

func (p *takeUp) pause(c *host, lead time.Duration) ([]*host, func(), func()) {
	serving := p.others(c, 1)
	length := shortPause + time.Duration(p.rng.Int64N(int64(longPause-shortPause)))
	resumed := make(chan struct{})
	time.AfterFunc(spreadTime-lead, func() {
		c.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		c.Signal(syscall.SIGCONT)
		close(resumed)
	})
	return serving, func() { end(serving) }, func() { <-resumed; p.startAgain(serving) }
}

// restartTargets starts some targets again, at a version that is drawn, before the host of the
// streams ends. Their entries follow later.
func (p *takeUp) restartTargets(c *host, count int) ([]*host, func(), func()) {
	serving := p.others(c, 1)
	entries := make(chan struct{})
	delay := time.Duration(p.rng.Int64N(int64(maxEntryDelay)))
	disturb := func() {
		p.mu.Lock()
		restarted := make([]*standin.Target, 0, count)
		for _, i := range p.rng.Perm(takeUpTargets)[:count] {
			restarted = append(restarted, p.targets[i])
		}
		p.mu.Unlock()
		for _, t := range restarted {
			t.RestartAs(versionName(int(p.rng.Int32N(2)), 2))
		}
		time.AfterFunc(delay, func() {
			for _, t := range restarted {
				p.store.PutTarget(t.ID, t.Entry("ready"))
			}
			close(entries)
		})
		time.Sleep(time.Duration(p.rng.Int64N(int64(spreadTime))))
		end(serving)
	}
	return serving, disturb, func() { <-entries; p.startAgain(serving) }
}

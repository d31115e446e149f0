package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// hostCountInterval is the minimum time between two counts of the hosts while their number
	// is known.
	hostCountInterval = 100 * time.Millisecond
	// startSpread is the time within which hosts that start together write their records. A host
	// that has written its own reads the list again after that.
	startSpread = 500 * time.Millisecond
	// firstListTimeout is how long after this host was first listed the list counts as
	// complete although it has not been read again.
	firstListTimeout = 1500 * time.Millisecond
	// unknownLogDelay is how long the number of hosts is unknown before that is logged. At the
	// first start of the system it is unknown for a second.
	unknownLogDelay = 2 * time.Second
)

// hostCounter holds the number of hosts as counted last.
type hostCounter struct {
	countedAt time.Time
	count     fleet.HostCount
	// settled is count, but at the first start of the system it is unknown until the list is
	// confirmed.
	settled fleet.HostCount
	// seen is the number of hosts that this one knows of, itself included.
	seen int
	// listedSince is when this host was first found listed; zero before.
	listedSince time.Time
	// registeredAt is when this process first wrote the record of this host; zero if the list
	// had it before.
	registeredAt time.Time
	// confirmed is true once the list has been read beyond the record of this host, and after
	// startSpread if this process has written it. It stays true: after a restoration of the
	// store the earlier list still tells how many there are.
	confirmed bool
	// unknownSince is when the count was first found unknown; zero while it is known.
	// unknownLogged is true once that was logged.
	unknownSince  time.Time
	unknownLogged bool
}

// HostCount returns the number of hosts of the deployment. It is unknown while this host has
// not read the list of hosts, or is not listed itself: hosts that could not write their records
// either may share the same quotas.
func (w *Watcher) HostCount() fleet.HostCount { return w.countHosts().count }

// SettledHostCount is HostCount for limits that must hold from the first request on: at the
// first start of the system, when hosts list each other before all have written their records,
// it is unknown until this host has read the list again.
func (w *Watcher) SettledHostCount() fleet.HostCount { return w.countHosts().settled }

// HostsSeen returns the number of hosts that this one knows of, itself included. There may be
// more of them.
func (w *Watcher) HostsSeen() int { return w.countHosts().seen }

// confirmHosts records that the list of hosts is known from after this host was listed.
func (w *Watcher) confirmHosts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostCounter.confirmed = true
}

func (w *Watcher) countHosts() hostCounter {
	now := w.clock.Now()
	w.mu.Lock()
	c := w.hostCounter
	w.mu.Unlock()
	if _, known := c.settled.Known(); known && now.Sub(c.countedAt) < hostCountInterval {
		return c
	}
	listing := w.State.listingOf(w.self)
	seen := w.hostsSeen()
	w.mu.Lock()
	defer w.mu.Unlock()
	listing.readAt = w.confirmedAt[Hosts]
	w.hostCounter.update(now, listing, seen, w.FirstStart)
	w.logHostCount(now)
	return w.hostCounter
}

// hostsSeen counts the hosts that are listed, those that are attached and this one.
func (w *Watcher) hostsSeen() int {
	seen := map[tables.HostID]bool{w.self.ID: true}
	for _, h := range w.State.Hosts() {
		seen[h.ID] = true
	}
	if w.Attached != nil {
		for id := range w.Attached() {
			seen[id] = true
		}
	}
	return len(seen)
}

// needsSecondRead reports whether the list must be read again, since hosts that started together
// with this one may have written their records after the first read.
func (w *Watcher) needsSecondRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	registered := w.hostCounter.registeredAt
	return !registered.IsZero() && w.clock.Now().Sub(registered) >= startSpread && w.confirmedAt[Hosts].Sub(registered) < startSpread
}

// recordRegistered records that this process has written the record of this host.
func (w *Watcher) recordRegistered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := &w.hostCounter; c.registeredAt.IsZero() {
		c.registeredAt = w.clock.Now()
	}
}

// update counts anew.
func (c *hostCounter) update(now time.Time, l listing, seen int, firstStart bool) {
	c.countedAt, c.seen = now, seen
	settled := c.registeredAt.IsZero() || l.readAt.Sub(c.registeredAt) >= startSpread
	c.confirmed = c.confirmed || l.covered && settled
	if l.listed && c.listedSince.IsZero() {
		c.listedSince = now
	}
	c.count, c.settled = fleet.HostCount{}, fleet.HostCount{}
	if c.confirmed || l.listed && now.Sub(c.listedSince) < firstListTimeout {
		c.count = fleet.KnownHostCount(seen)
	}
	if c.confirmed || !firstStart {
		c.settled = c.count
	}
}

// logHostCount logs that the number of hosts is unknown, and that it is known again. The lock
// must be held.
func (w *Watcher) logHostCount(now time.Time) {
	c := &w.hostCounter
	n, known := c.count.Known()
	switch {
	case known && c.unknownLogged:
		event.HostCountKnown.Log(w.logger, zap.Int("hosts", n), zap.Duration("after", now.Sub(c.unknownSince)))
		c.unknownLogged = false
	case !known && c.unknownSince.IsZero():
		c.unknownSince = now
	case !known && !c.unknownLogged && now.Sub(c.unknownSince) >= unknownLogDelay:
		event.HostCountUnknown.Log(w.logger, zap.Int("seen", c.seen), zap.Int("assumed", c.count.Most()))
		c.unknownLogged = true
	}
	if known {
		c.unknownSince = time.Time{}
	}
}

// listing tells what the list of hosts says of one host.
type listing struct {
	listed bool
	// covered is true if the list has been read beyond the record of the host.
	covered bool
	// readAt is when the last read of the list by this host itself began.
	readAt time.Time
}

func (s *State) listingOf(h fleet.Host) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[Hosts]
	r, known := st.records[string(h.ID)]
	if !known || r.Value == nil || s.hosts[h.ID] != h {
		return listing{}
	}
	return listing{listed: true, covered: st.covers(r.Position())}
}

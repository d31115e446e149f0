package members

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Feed provides the membership table of this host's dispatcher to an observer.
// While the feed is fresh, the observer sends heartbeats only to suspects.
type Feed interface {
	// Fresh reports whether the dispatcher's view is recent.
	Fresh() bool
	// Changed delivers a value when the host list must be read again: a new
	// listing has arrived, the dispatcher's listing is too old, or the feed was
	// lost.
	Changed() <-chan struct{}
	// Suspect reports an unresponsive host to the dispatcher. It does not block.
	Suspect(id tables.HostID)
}

// noFeed is the Feed of a process without one. It is never fresh.
type noFeed struct{}

func (noFeed) Fresh() bool              { return false }
func (noFeed) Changed() <-chan struct{} { return nil }
func (noFeed) Suspect(tables.HostID)    {}

// Views returns the rows of the membership table, one for each host.
func (m *Members) Views() []tables.HostView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Views(m.opts.Clock.Now())
}

// OwnHeartbeat returns this host's heartbeat without reports.
func (m *Members) OwnHeartbeat() peer.Heartbeat {
	hb := m.opts.Heartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identify(&hb)
	return hb
}

// ApplyFeed applies the dispatcher's views of the hosts, which are age old, and
// the heartbeats that the dispatcher received.
func (m *Members) ApplyFeed(age time.Duration, views []tables.HostView, heartbeats []peer.Heartbeat) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	m.table.ApplyViews(now, age, views)
	m.synced = true
	m.refresh(now, false)
	m.mu.Unlock()
	for _, hb := range heartbeats {
		m.record(hb)
	}
}

// takeSuspects returns the hosts that did not respond to this process or are
// reported as unreachable, and clears the set of suspects.
func (m *Members) takeSuspects() []tables.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.table.Suspects() {
		m.suspected[h.ID] = true
	}
	var out []tables.Host
	for _, h := range m.table.Hosts() {
		if m.suspected[h.ID] && h.PeerAddress != "" {
			out = append(out, h)
		}
	}
	clear(m.suspected)
	return out
}

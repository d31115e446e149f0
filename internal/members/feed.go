package members

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Feed is the dispatcher of this host as the source of an observer's table. An
// observer that is fed exchanges no heartbeats of its own.
type Feed interface {
	// Fed reports whether the dispatcher's view is recent.
	Fed() bool
	// Changed delivers when a listing has come or the feed was lost, so that
	// the host list is read anew.
	Changed() <-chan struct{}
	// Suspect names a host that did not answer to the dispatcher. It does not
	// block.
	Suspect(id tables.HostID)
}

// unfed is the Feed of a process that reads for itself.
type unfed struct{}

func (unfed) Fed() bool                { return false }
func (unfed) Changed() <-chan struct{} { return nil }
func (unfed) Suspect(tables.HostID)    {}

// Views returns what this process knows of every host.
func (m *Members) Views() []tables.HostView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Views(m.opts.Clock.Now())
}

// Own returns this host's heartbeat without reports.
func (m *Members) Own() peer.Heartbeat {
	hb := m.opts.Heartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identify(&hb)
	return hb
}

// Take takes what the dispatcher of this host knew of other hosts age ago,
// and what they said of themselves.
func (m *Members) Take(age time.Duration, views []tables.HostView, beats []peer.Heartbeat) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	m.table.ApplyViews(now, age, views)
	m.introduced = true
	m.settle(now, false)
	m.mu.Unlock()
	for _, hb := range beats {
		m.take(hb)
	}
}

// suspects returns the hosts that did not answer this process, or of which
// reports say so, and forgets those that a request found.
func (m *Members) suspects() []tables.Host {
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

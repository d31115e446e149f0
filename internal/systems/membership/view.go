package membership

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Views returns the records of all hosts, ordered by ID, for the other
// processes on this host.
func (t *Table) Views(now time.Time) []tables.HostView {
	hosts := t.Hosts()
	out := make([]tables.HostView, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, t.view(now, t.records[h.ID]))
	}
	return out
}

func (t *Table) view(now time.Time, r *record) tables.HostView {
	v := tables.HostView{MemberReport: t.reportOf(r), Down: r.down, ConfigVersion: r.ConfigVersion, SinceLastContact: -1}
	v.Domain = r.Domain
	v.Address = r.PeerAddress
	v.Listed = r.Listed
	switch {
	case r.ID == t.self && !t.observer:
		v.SinceLastContact = 0
	case !r.LastContact.IsZero():
		v.SinceLastContact = now.Sub(r.LastContact)
	}
	return v
}

// ApplyViews applies the views of the dispatcher on this host. age is the time
// since they were taken. A view with an older incarnation or sequence number
// than the record of its host is ignored. The others count as if this process
// had contacted the host itself. Only observers use it.
func (t *Table) ApplyViews(now time.Time, age time.Duration, views []tables.HostView) {
	for _, v := range views {
		t.applyView(now, age, v)
	}
}

func (t *Table) applyView(now time.Time, age time.Duration, v tables.HostView) {
	r, known := t.records[v.Host]
	if !known && v.Address == "" {
		return
	}
	if !known {
		r = t.recordOf(now, v.Host)
	}
	t.applyListingOf(r, v.MemberReport)
	if older(v.Incarnation, v.Sequence, r) {
		return
	}
	if newer(v.Incarnation, v.Sequence, r) {
		t.reset(r, v.Incarnation, v.Sequence)
	}
	r.Leaving = r.Leaving || v.Leaving
	r.down = v.Down
	r.ConfigVersion = max(r.ConfigVersion, v.ConfigVersion)
	if lastContact := now.Add(-age - v.SinceLastContact); v.SinceLastContact >= 0 && lastContact.After(r.LastContact) {
		r.LastContact = lastContact
		r.failures = 0
		r.staleDown = false
		delete(r.votes, t.self)
	}
}

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
// since they were taken. A view updates the record of its host. If the
// incarnation or sequence number of the view is older than that of the record,
// only the listing data of the view is used. The last contact in a view counts
// as a contact of this process if it is later than the recorded one. Only
// observers use ApplyViews.
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
	t.setReach(r, v.Reach)
	r.down = v.Down
	r.ConfigVersion = max(r.ConfigVersion, v.ConfigVersion)
	if lastContact := now.Add(-age - v.SinceLastContact); v.SinceLastContact >= 0 && lastContact.After(r.LastContact) {
		r.LastContact = lastContact
		r.failures = 0
		r.outdatedDownReport = false
		delete(r.votes, t.self)
	}
}

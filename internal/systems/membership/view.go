package membership

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Views returns what the table knows of every host, by ID, for the other
// processes of this host.
func (t *Table) Views(now time.Time) []tables.HostView {
	hosts := t.Hosts()
	out := make([]tables.HostView, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, t.view(now, t.rows[h.ID]))
	}
	return out
}

func (t *Table) view(now time.Time, r *row) tables.HostView {
	v := tables.HostView{MemberReport: t.reportOn(r), Down: r.down, ConfigVersion: r.ConfigVersion, HeardAgo: -1}
	v.Domain = r.Domain
	v.Address = r.PeerAddress
	v.Listed = r.Listed
	switch {
	case r.ID == t.self && !t.observer:
		v.HeardAgo = 0
	case !r.LastHeard.IsZero():
		v.HeardAgo = now.Sub(r.LastHeard)
	}
	return v
}

// Take takes what the dispatcher of this host knows of hosts, age ago. Rows
// that are older than what the table knows change nothing; others hold as if
// this process had heard them. Only observers take views.
func (t *Table) Take(now time.Time, age time.Duration, views []tables.HostView) {
	for _, v := range views {
		t.takeView(now, age, v)
	}
}

func (t *Table) takeView(now time.Time, age time.Duration, v tables.HostView) {
	r, known := t.rows[v.Host]
	if !known && v.Address == "" {
		return
	}
	if !known {
		r = t.row(now, v.Host)
	}
	t.introduce(r, v.MemberReport)
	if older(v.Incarnation, v.Sequence, r) {
		return
	}
	if newer(v.Incarnation, v.Sequence, r) {
		t.renew(r, v.Incarnation, v.Sequence)
	}
	r.Leaving = r.Leaving || v.Leaving
	r.down = v.Down
	r.ConfigVersion = max(r.ConfigVersion, v.ConfigVersion)
	if heard := now.Add(-age - v.HeardAgo); v.HeardAgo >= 0 && heard.After(r.LastHeard) {
		r.LastHeard = heard
		r.failures = 0
		r.doubted = false
		delete(r.votes, t.self)
	}
}

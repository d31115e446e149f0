package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// spreadFactor times the logarithm of the number of hosts is how often one
// process passes on one report.
const spreadFactor = 3

type newsKey struct {
	host tables.HostID
	by   tables.HostID
}

// news is a report that is still passed on.
type news struct {
	report tables.MemberReport
	left   int
}

func (t *Table) tell(m tables.MemberReport) {
	times := spreadFactor * bits.Len(uint(len(t.rows)))
	t.told++
	t.news[newsKey{m.Host, m.DownBy}] = &news{report: m, left: times}
}

// Told counts the reports that were ever taken up to be passed on.
func (t *Table) Told() int { return t.told }

// HasNews reports whether there are reports to pass on.
func (t *Table) HasNews() bool { return len(t.news) > 0 }

func (t *Table) dropNews(host tables.HostID) {
	for key := range t.news {
		if key.host == host {
			delete(t.news, key)
		}
	}
}

func (t *Table) reportOn(r *row) tables.MemberReport {
	return tables.MemberReport{Host: r.ID, Incarnation: r.Incarnation, Sequence: r.sequence, Leaving: r.Leaving}
}

// Reports returns up to limit reports to pass to a peer, the freshest first.
// Reports that the peer itself is down always come along, so that it can
// refute them.
func (t *Table) Reports(to tables.HostID, limit int) []tables.MemberReport {
	out := t.against(to)
	for _, n := range t.freshest() {
		if len(out) >= limit {
			break
		}
		n.left--
		if n.report.Host == to && n.report.DownBy != "" {
			continue
		}
		out = append(out, n.report)
	}
	for key, n := range t.news {
		if n.left <= 0 {
			delete(t.news, key)
		}
	}
	return out
}

func (t *Table) freshest() []*news {
	out := make([]*news, 0, len(t.news))
	for _, n := range t.news {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *news) int {
		return cmp.Or(
			cmp.Compare(b.left, a.left),
			cmp.Compare(a.report.Host, b.report.Host),
			cmp.Compare(a.report.DownBy, b.report.DownBy))
	})
	return out
}

// against returns the reports that a host is down.
func (t *Table) against(id tables.HostID) []tables.MemberReport {
	r, ok := t.rows[id]
	if !ok {
		return nil
	}
	var out []tables.MemberReport
	for by := range r.votes {
		out = append(out, tables.MemberReport{Host: id, Incarnation: r.Incarnation, Sequence: r.sequence, DownBy: by})
	}
	slices.SortFunc(out, func(a, b tables.MemberReport) int { return cmp.Compare(a.DownBy, b.DownBy) })
	return out
}

// All returns reports that introduce every host, by ID.
func (t *Table) All() []tables.MemberReport {
	var out []tables.MemberReport
	for _, h := range t.Hosts() {
		r := t.rows[h.ID]
		m := t.reportOn(r)
		m.Domain = r.Domain
		m.Address = r.PeerAddress
		m.Listed = r.Listed
		out = append(out, m)
		if r.down {
			out = append(out, t.against(h.ID)...)
		}
	}
	return out
}

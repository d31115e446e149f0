package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// retransmitFactor sets how often one process sends each report: this factor
// times the binary logarithm of the number of hosts.
const retransmitFactor = 3

type updateKey struct {
	host     tables.HostID
	reporter tables.HostID
}

// update is a report that is still being sent to peers.
type update struct {
	report    tables.MemberReport
	remaining int
}

func (t *Table) queueUpdate(m tables.MemberReport) {
	remaining := retransmitFactor * bits.Len(uint(len(t.records)))
	t.totalQueued++
	t.updates[updateKey{m.Host, m.DownBy}] = &update{report: m, remaining: remaining}
}

// TotalQueuedReports returns the number of reports queued since the table was
// created, including those that were sent.
func (t *Table) TotalQueuedReports() int { return t.totalQueued }

// HasReports reports whether there are reports to send.
func (t *Table) HasReports() bool { return len(t.updates) > 0 }

func (t *Table) dropUpdates(host tables.HostID) {
	for key := range t.updates {
		if key.host == host {
			delete(t.updates, key)
		}
	}
}

func (t *Table) reportOf(r *record) tables.MemberReport {
	return tables.MemberReport{Host: r.ID, Incarnation: r.Incarnation, Sequence: r.sequence, Leaving: r.Leaving, Reach: r.Reach}
}

// Reports returns up to limit reports to send to a peer, those with the most
// remaining sends first. Reports that the peer itself is down are always
// included, even beyond the limit, so that it can refute them.
func (t *Table) Reports(to tables.HostID, limit int) []tables.MemberReport {
	out := t.downReports(to)
	for _, u := range t.sortedUpdates() {
		if len(out) >= limit {
			break
		}
		u.remaining--
		if u.report.Host == to && u.report.DownBy != "" {
			continue
		}
		out = append(out, u.report)
	}
	for key, u := range t.updates {
		if u.remaining <= 0 {
			delete(t.updates, key)
		}
	}
	return out
}

func (t *Table) sortedUpdates() []*update {
	out := make([]*update, 0, len(t.updates))
	for _, u := range t.updates {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *update) int {
		return cmp.Or(
			cmp.Compare(b.remaining, a.remaining),
			cmp.Compare(a.report.Host, b.report.Host),
			cmp.Compare(a.report.DownBy, b.report.DownBy))
	})
	return out
}

// downReports returns the reports that a host is down, one from each host that
// could not reach it.
func (t *Table) downReports(id tables.HostID) []tables.MemberReport {
	r, ok := t.records[id]
	if !ok {
		return nil
	}
	var out []tables.MemberReport
	for reporter := range r.votes {
		out = append(out, tables.MemberReport{Host: id, Incarnation: r.Incarnation, Sequence: r.sequence, DownBy: reporter})
	}
	slices.SortFunc(out, func(a, b tables.MemberReport) int { return cmp.Compare(a.DownBy, b.DownBy) })
	return out
}

// FullReports returns a full report of every host, ordered by host ID. The
// report of a host that is down is followed by the reports that say so.
func (t *Table) FullReports() []tables.MemberReport {
	var out []tables.MemberReport
	for _, h := range t.Hosts() {
		r := t.records[h.ID]
		m := t.reportOf(r)
		m.Domain = r.Domain
		m.Address = r.PeerAddress
		m.Listed = r.Listed
		out = append(out, m)
		if r.down {
			out = append(out, t.downReports(h.ID)...)
		}
	}
	return out
}

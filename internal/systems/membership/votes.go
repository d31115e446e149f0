package membership

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// quorum is the number of hosts that must fail to reach a host to mark it as
	// down.
	quorum = 2
	// maxOwnFailures is the number of consecutive failed attempts after which a
	// process marks a host as down without a quorum.
	maxOwnFailures = 3
	// voteLifetime is how long a report counts without a quorum.
	voteLifetime = 20 * time.Second
)

// RecordContact records the state that a host reports of itself in a heartbeat
// or in the response to one.
func (t *Table) RecordContact(now time.Time, c Contact) {
	if c.Host == "" || (c.Host == t.self && !t.observer) {
		return
	}
	r := t.recordOf(now, c.Host)
	if older(c.Incarnation, c.Sequence, r) {
		return
	}
	if newer(c.Incarnation, c.Sequence, r) {
		t.reset(r, c.Incarnation, c.Sequence)
	}
	if c.Leaving && !r.Leaving {
		r.Leaving = true
		t.queueUpdate(t.reportOf(r))
	}
	t.setReach(r, c.Reach)
	if r.outdatedDownReport {
		r.outdatedDownReport = false
		t.queueUpdate(t.reportOf(r))
	}
	r.failures = 0
	delete(r.votes, t.self)
	r.LastContact = now
	r.ConfigVersion = c.ConfigVersion
}

// RecordNoResponse records that a host did not respond to this process.
func (t *Table) RecordNoResponse(now time.Time, id tables.HostID) {
	r, ok := t.records[id]
	if !ok || (id == t.self && !t.observer) {
		return
	}
	r.failures++
	r.outdatedDownReport = false
	t.addVote(now, r, t.self)
}

// ApplyReports applies reports from a peer. It returns true if it refuted a
// report that this host is down; the caller should then send the refutation.
func (t *Table) ApplyReports(now time.Time, reports []tables.MemberReport) (refuted bool) {
	for _, m := range reports {
		if m.Host == t.self && !t.observer {
			t.applySelfListing(m)
			refuted = t.refute(m) || refuted
			continue
		}
		t.merge(now, m)
	}
	return refuted
}

func (t *Table) merge(now time.Time, m tables.MemberReport) {
	r, known := t.records[m.Host]
	if !known && m.Address == "" {
		return
	}
	if !known {
		r = t.recordOf(now, m.Host)
	}
	t.applyListingOf(r, m)
	if newer(m.Incarnation, m.Sequence, r) {
		t.reset(r, m.Incarnation, m.Sequence)
	}
	if m.Leaving && !r.Leaving && m.Incarnation == r.Incarnation {
		r.Leaving = true
		t.queueUpdate(t.reportOf(r))
	}
	if m.Incarnation == r.Incarnation {
		t.setReach(r, m.Reach)
	}
	if older(m.Incarnation, m.Sequence, r) {
		r.outdatedDownReport = r.outdatedDownReport || (m.DownBy != "" && !r.down)
		return
	}
	if m.DownBy != "" {
		t.addVote(now, r, m.DownBy)
	}
}

// applyListingOf fills in the listing data of a host from a report while the
// table has no listing of its own.
func (t *Table) applyListingOf(r *record, m tables.MemberReport) {
	if t.hasListing || m.Address == "" {
		return
	}
	r.Domain = m.Domain
	r.PeerAddress = m.Address
	r.Listed = m.Listed
}

// applySelfListing accepts a peer's report that this host is listed. The host
// may have read its last listing before it was added, and the list may have been
// unavailable since then, while its peers already treat it as an owner.
func (t *Table) applySelfListing(m tables.MemberReport) {
	if r := t.records[t.self]; r.Listed == "" && r.delistedAt.IsZero() {
		r.Listed = m.Listed
	}
}

// SelfUnlisted reports whether no listing known here contains this host. It is
// false for an observer.
func (t *Table) SelfUnlisted() bool { return !t.observer && t.records[t.self].Listed == "" }

// refute refutes a report that this host is down, unless the report is
// outdated: it raises the sequence number of this host above that of the report
// and queues a report with the new number. It returns true if it refuted m.
func (t *Table) refute(m tables.MemberReport) bool {
	r := t.records[t.self]
	if m.DownBy == "" || older(m.Incarnation, m.Sequence, r) {
		return false
	}
	r.sequence = m.Sequence + 1
	t.queueUpdate(t.reportOf(r))
	return true
}

// UpdateSelf sets the state that this host reports of itself.
func (t *Table) UpdateSelf(leaving bool, reach tables.Reach, configVersion uint64) {
	r := t.records[t.self]
	t.setReach(r, reach)
	if leaving && !r.Leaving {
		r.Leaving = true
		t.queueUpdate(t.reportOf(r))
	}
	r.ConfigVersion = configVersion
}

// setReach records what a host says of reaching targets, unless a later word is known.
func (t *Table) setReach(r *record, reach tables.Reach) {
	if reach.ChangedAt > r.Reach.ChangedAt {
		r.Reach = reach
		t.queueUpdate(t.reportOf(r))
	}
}

// Sequence returns the sequence number of this host's own reports.
func (t *Table) Sequence() uint32 { return t.records[t.self].sequence }

// reset records a newer incarnation or sequence number of a host and marks the
// host as not down.
func (t *Table) reset(r *record, incarnation int64, sequence uint32) {
	known := r.Incarnation != 0
	if incarnation > r.Incarnation {
		r.Leaving = false
		r.Reach = tables.Reach{}
	}
	r.Incarnation = incarnation
	r.sequence = sequence
	r.down = false
	r.failures = 0
	clear(r.votes)
	t.dropUpdates(r.ID)
	if known {
		t.queueUpdate(t.reportOf(r))
	}
}

func (t *Table) addVote(now time.Time, r *record, reporter tables.HostID) {
	if r.down {
		return
	}
	if _, counted := r.votes[reporter]; !counted {
		t.queueUpdate(tables.MemberReport{Host: r.ID, Incarnation: r.Incarnation, Sequence: r.sequence, DownBy: reporter})
	}
	r.votes[reporter] = now
	if len(r.votes) >= quorum || r.failures >= maxOwnFailures {
		r.down = true
	}
}

func (r *record) expireVotes(now time.Time) {
	if r.down {
		return
	}
	for reporter, at := range r.votes {
		if now.Sub(at) >= voteLifetime {
			delete(r.votes, reporter)
		}
	}
}

// Suspects returns the hosts to contact next: those that are reported as down
// without a quorum, or only in an outdated report.
func (t *Table) Suspects() []tables.Host {
	return t.hosts(func(r *record) bool {
		return !r.down && (r.outdatedDownReport || len(r.votes) > 0) && r.PeerAddress != "" && (r.ID != t.self || t.observer)
	})
}

func older(incarnation int64, sequence uint32, r *record) bool {
	if incarnation != r.Incarnation {
		return incarnation < r.Incarnation
	}
	return sequence < r.sequence
}

func newer(incarnation int64, sequence uint32, r *record) bool {
	if incarnation != r.Incarnation {
		return incarnation > r.Incarnation
	}
	return sequence > r.sequence
}

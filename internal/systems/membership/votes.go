package membership

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// quorum is how many hosts must get no answer before a host is down.
	quorum = 2
	// ownFailures is how many tries in a row without an answer let a process
	// hold a host down by itself.
	ownFailures = 3
	// voteLifetime is how long a report without a quorum counts.
	voteLifetime = 20 * time.Second
)

// Heard takes a host's own word, from a heartbeat or from the answer to one.
func (t *Table) Heard(now time.Time, c Contact) {
	if c.Host == "" || (c.Host == t.self && !t.observer) {
		return
	}
	r := t.row(now, c.Host)
	if older(c.Incarnation, c.Sequence, r) {
		return
	}
	if newer(c.Incarnation, c.Sequence, r) {
		t.renew(r, c.Incarnation, c.Sequence)
	}
	if c.Leaving && !r.Leaving {
		r.Leaving = true
		t.tell(t.reportOn(r))
	}
	if r.doubted {
		r.doubted = false
		t.tell(t.reportOn(r))
	}
	r.failures = 0
	delete(r.votes, t.self)
	r.LastHeard = now
	r.ConfigVersion = c.ConfigVersion
}

// NoAnswer notes that this process tried a host and got no answer.
func (t *Table) NoAnswer(now time.Time, id tables.HostID) {
	r, ok := t.rows[id]
	if !ok || (id == t.self && !t.observer) {
		return
	}
	r.failures++
	r.doubted = false
	t.vote(now, r, t.self)
}

// Merge takes reports that a peer passed on. It returns true when a report
// says that this host itself is down, so that the caller spreads a refutation.
func (t *Table) Merge(now time.Time, reports []tables.MemberReport) (refuted bool) {
	for _, m := range reports {
		if m.Host == t.self && !t.observer {
			t.introduceSelf(m)
			refuted = t.refute(m) || refuted
			continue
		}
		t.merge(now, m)
	}
	return refuted
}

func (t *Table) merge(now time.Time, m tables.MemberReport) {
	r, known := t.rows[m.Host]
	if !known && m.Address == "" {
		return
	}
	if !known {
		r = t.row(now, m.Host)
	}
	t.introduce(r, m)
	if newer(m.Incarnation, m.Sequence, r) {
		t.renew(r, m.Incarnation, m.Sequence)
	}
	if m.Leaving && !r.Leaving && m.Incarnation == r.Incarnation {
		r.Leaving = true
		t.tell(t.reportOn(r))
	}
	if older(m.Incarnation, m.Sequence, r) {
		r.doubted = r.doubted || (m.DownBy != "" && !r.down)
		return
	}
	if m.DownBy != "" {
		t.vote(now, r, m.DownBy)
	}
}

// introduce fills in what only a listing knows, while there is none.
func (t *Table) introduce(r *row, m tables.MemberReport) {
	if t.hasListing || m.Address == "" {
		return
	}
	r.Domain = m.Domain
	r.PeerAddress = m.Address
	r.Listed = m.Listed
}

// introduceSelf believes a peer that this host is listed. A host may have read
// its last listing before it was in it, and the list may be down since; its
// peers then send it the work of an owner.
func (t *Table) introduceSelf(m tables.MemberReport) {
	if r := t.rows[t.self]; r.Listed == "" && r.delisted.IsZero() {
		r.Listed = m.Listed
	}
}

// SelfUnlisted reports whether this host has not seen itself listed.
func (t *Table) SelfUnlisted() bool { return !t.observer && t.rows[t.self].Listed == "" }

// refute answers a report that this host is down with a higher sequence.
func (t *Table) refute(m tables.MemberReport) bool {
	r := t.rows[t.self]
	if m.DownBy == "" || older(m.Incarnation, m.Sequence, r) {
		return false
	}
	r.sequence = m.Sequence + 1
	t.tell(t.reportOn(r))
	return true
}

// Self sets what this host says of itself.
func (t *Table) Self(leaving bool, configVersion uint64) {
	r := t.rows[t.self]
	if leaving && !r.Leaving {
		r.Leaving = true
		t.tell(t.reportOn(r))
	}
	r.ConfigVersion = configVersion
}

// Sequence returns the sequence of this host's own reports.
func (t *Table) Sequence() uint32 { return t.rows[t.self].sequence }

// renew starts a newer incarnation or sequence of a host, which is up.
func (t *Table) renew(r *row, incarnation int64, sequence uint32) {
	known := r.Incarnation != 0
	if incarnation > r.Incarnation {
		r.Leaving = false
	}
	r.Incarnation = incarnation
	r.sequence = sequence
	r.down = false
	r.failures = 0
	clear(r.votes)
	t.dropNews(r.ID)
	if known {
		t.tell(t.reportOn(r))
	}
}

func (t *Table) vote(now time.Time, r *row, by tables.HostID) {
	if r.down {
		return
	}
	if _, counted := r.votes[by]; !counted {
		t.tell(tables.MemberReport{Host: r.ID, Incarnation: r.Incarnation, Sequence: r.sequence, DownBy: by})
	}
	r.votes[by] = now
	if len(r.votes) >= quorum || r.failures >= ownFailures {
		r.down = true
	}
}

func (r *row) expireVotes(now time.Time) {
	if r.down {
		return
	}
	for by, at := range r.votes {
		if now.Sub(at) >= voteLifetime {
			delete(r.votes, by)
		}
	}
}

// Suspects returns the hosts to try next: those with reports that do not yet
// suffice, or that are older than what this process knows.
func (t *Table) Suspects() []tables.Host {
	return t.hosts(func(r *row) bool {
		return !r.down && (r.doubted || len(r.votes) > 0) && r.PeerAddress != "" && (r.ID != t.self || t.observer)
	})
}

func older(incarnation int64, sequence uint32, r *row) bool {
	if incarnation != r.Incarnation {
		return incarnation < r.Incarnation
	}
	return sequence < r.sequence
}

func newer(incarnation int64, sequence uint32, r *row) bool {
	if incarnation != r.Incarnation {
		return incarnation > r.Incarnation
	}
	return sequence > r.sequence
}

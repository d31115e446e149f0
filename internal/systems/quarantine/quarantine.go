// Package quarantine decides which content may run after crashes of targets.
// Content that was in flight at one crash may run only alone; content that was
// in flight at two is refused until its entry expires or an operator releases
// it. Tables of several hosts merge in any order to the same result.
package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Verdict is what may be done with content.
type Verdict int

// The verdicts.
const (
	// Allowed content runs like any other.
	Allowed Verdict = iota
	// Alone content runs only while nothing else does at its target.
	Alone
	// Refused content does not run.
	Refused
)

const (
	// crashLimit is the number of crashes that quarantines content.
	crashLimit = 2
	// keptCrashes bounds the crashes that an entry lists.
	keptCrashes = 8
)

// Limits are the durations of the table.
type Limits struct {
	// SuspectFor is how long content runs only alone after one crash.
	SuspectFor time.Duration
	// QuarantineFor is how long a crash counts, and how long content is
	// refused after its last crash.
	QuarantineFor time.Duration
}

// Suspect is content that was in flight at a crash.
type Suspect struct {
	Fingerprint tables.Fingerprint
	Customer    tables.CustomerID
	Service     tables.ServiceID
	// Request is one request with the content; it names the crash.
	Request tables.RequestID
}

// Table holds the suspected and refused content of one host.
type Table struct {
	limits  Limits
	entries map[tables.Fingerprint]peer.QuarantineEntry
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: make(map[tables.Fingerprint]peer.QuarantineEntry)}
}

// Crashed notes a crash of a target and returns the entries that it changed.
func (t *Table) Crashed(now time.Time, id tables.TargetID, inFlight []Suspect) []peer.QuarantineEntry {
	var reported []peer.QuarantineEntry
	for _, s := range inFlight {
		reported = append(reported, peer.QuarantineEntry{
			Fingerprint: s.Fingerprint,
			Customer:    s.Customer,
			Service:     s.Service,
			CrashedAt:   []peer.TargetCrash{{Target: id, Time: now, Request: s.Request}},
		})
	}
	return t.Merge(now, reported)
}

// Check returns the verdict on content at now.
func (t *Table) Check(now time.Time, f tables.Fingerprint) Verdict {
	e, ok := t.entries[f]
	switch {
	case !ok || !now.Before(e.Expires) || e.Crashes == 0:
		return Allowed
	case e.Crashes >= crashLimit:
		return Refused
	case now.Before(e.CrashedAt[0].Time.Add(t.limits.SuspectFor)):
		return Alone
	default:
		return Allowed
	}
}

// Merge takes in entries of other hosts and returns those that it changed.
func (t *Table) Merge(now time.Time, entries []peer.QuarantineEntry) []peer.QuarantineEntry {
	var changed []peer.QuarantineEntry
	for _, e := range entries {
		old := t.entries[e.Fingerprint]
		merged := t.merge(old, e)
		if !now.Before(merged.Expires) || same(old, merged) {
			continue
		}
		t.entries[e.Fingerprint] = merged
		changed = append(changed, merged)
	}
	return changed
}

// Release lifts the quarantine of content. Errors are of kind
// UnknownQuarantine.
func (t *Table) Release(now time.Time, f tables.Fingerprint) (peer.QuarantineEntry, error) {
	e, ok := t.entries[f]
	if !ok || t.Check(now, f) != Refused {
		return peer.QuarantineEntry{}, errkind.New(errkind.UnknownQuarantine, fmt.Sprintf("no entry has fingerprint %016x", uint64(f)))
	}
	e.Released = now
	for _, c := range e.CrashedAt {
		if c.Time.After(e.Released) {
			e.Released = c.Time
		}
	}
	e = t.merge(e, e)
	t.entries[f] = e
	return e, nil
}

// Tick drops the entries that have expired and returns those that were
// refused until now.
func (t *Table) Tick(now time.Time) []peer.QuarantineEntry {
	var lifted []peer.QuarantineEntry
	for f, e := range t.entries {
		if now.Before(e.Expires) {
			continue
		}
		delete(t.entries, f)
		if e.Crashes >= crashLimit {
			lifted = append(lifted, e)
		}
	}
	return lifted
}

// Refused returns the entries that refuse content at now.
func (t *Table) Refused(now time.Time) []peer.QuarantineEntry {
	var out []peer.QuarantineEntry
	for f, e := range t.entries {
		if t.Check(now, f) == Refused {
			out = append(out, e)
		}
	}
	return out
}

// All returns every entry, released ones included, for other hosts.
func (t *Table) All() []peer.QuarantineEntry {
	out := make([]peer.QuarantineEntry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	return out
}

// merge returns the union of two entries of the same content.
func (t *Table) merge(a, b peer.QuarantineEntry) peer.QuarantineEntry {
	m := peer.QuarantineEntry{
		Fingerprint: b.Fingerprint,
		Customer:    b.Customer,
		Service:     b.Service,
		Released:    later(a.Released, b.Released),
	}
	m.CrashedAt = crashes(slices.Concat(a.CrashedAt, b.CrashedAt), m.Released)
	m.Crashes = len(m.CrashedAt)
	m.Expires = t.expiry(m)
	return m
}

// crashes returns the latest distinct crashes after a release, oldest first.
func crashes(all []peer.TargetCrash, released time.Time) []peer.TargetCrash {
	slices.SortFunc(all, byIdentity)
	all = slices.CompactFunc(all, equal)
	slices.SortFunc(all, byTime)
	all = slices.DeleteFunc(all, func(c peer.TargetCrash) bool { return !c.Time.After(released) })
	return all[max(0, len(all)-keptCrashes):]
}

// expiry is when an entry no longer matters. A released entry stays as long
// as another host may send the crashes that it lifted.
func (t *Table) expiry(e peer.QuarantineEntry) time.Time {
	last := e.Released
	if e.Crashes > 0 {
		last = later(last, e.CrashedAt[e.Crashes-1].Time)
	}
	if last.IsZero() {
		return last
	}
	return last.Add(t.limits.QuarantineFor)
}

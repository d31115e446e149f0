// Package quarantine decides which requests may run after crashes of targets.
// Requests are identified by the fingerprint of their content. After one crash
// with a fingerprint in flight, requests with it may for some time run only at a
// target that runs nothing else. After two crashes they are refused until the
// entry expires or an operator releases it.
// Merging the tables of several hosts gives the same result in any order.
package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Verdict states whether and how requests with a fingerprint may run.
type Verdict int

// Possible verdicts.
const (
	// Allowed requests run without restrictions.
	Allowed Verdict = iota
	// Alone requests run only on a target that runs nothing else.
	Alone
	// Refused requests do not run.
	Refused
)

const (
	// crashLimit is the number of crashes after which a fingerprint is refused.
	crashLimit = 2
	// maxKeptCrashes is the number of crashes kept per entry; older ones are
	// dropped.
	maxKeptCrashes = 8
)

// Limits holds the durations of a table.
type Limits struct {
	// SuspectFor is how long a fingerprint may run only alone after one crash.
	SuspectFor time.Duration
	// QuarantineFor is how long an entry is kept after its last crash or its
	// release, and how long a fingerprint is refused after its last crash.
	QuarantineFor time.Duration
}

// Suspect is a fingerprint that was in flight at a crash.
type Suspect struct {
	Fingerprint tables.Fingerprint
	Customer    tables.CustomerID
	Service     tables.ServiceID
	// Request is one of the requests in flight with the fingerprint; together
	// with the target it identifies the crash.
	Request tables.RequestID
}

// Table holds one host's entries of suspected and refused fingerprints. It is
// not safe for concurrent use.
type Table struct {
	limits  Limits
	entries map[tables.Fingerprint]peer.QuarantineEntry
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: make(map[tables.Fingerprint]peer.QuarantineEntry)}
}

// RecordCrash records a crash of a target and returns the entries that changed.
func (t *Table) RecordCrash(now time.Time, id tables.TargetID, inFlight []Suspect) []peer.QuarantineEntry {
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

// Check returns the verdict on a fingerprint at now.
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

// Merge adds entries from other hosts and returns the entries that changed.
func (t *Table) Merge(now time.Time, entries []peer.QuarantineEntry) []peer.QuarantineEntry {
	var changed []peer.QuarantineEntry
	for _, e := range entries {
		old := t.entries[e.Fingerprint]
		merged := t.merge(old, e)
		if !now.Before(merged.Expires) || equalEntries(old, merged) {
			continue
		}
		t.entries[e.Fingerprint] = merged
		changed = append(changed, merged)
	}
	return changed
}

// Release lifts the quarantine of a fingerprint. Its errors are of kind
// errkind.UnknownQuarantine.
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

// Tick removes expired entries and returns those that were refused until now.
func (t *Table) Tick(now time.Time) []peer.QuarantineEntry {
	var expired []peer.QuarantineEntry
	for f, e := range t.entries {
		if now.Before(e.Expires) {
			continue
		}
		delete(t.entries, f)
		if e.Crashes >= crashLimit {
			expired = append(expired, e)
		}
	}
	return expired
}

// Refused returns the entries whose fingerprints are refused at now.
func (t *Table) Refused(now time.Time) []peer.QuarantineEntry {
	var out []peer.QuarantineEntry
	for f, e := range t.entries {
		if t.Check(now, f) == Refused {
			out = append(out, e)
		}
	}
	return out
}

// All returns every entry, including released ones, for sending to other hosts.
func (t *Table) All() []peer.QuarantineEntry {
	out := make([]peer.QuarantineEntry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	return out
}

// merge returns the union of two entries of the same fingerprint.
func (t *Table) merge(a, b peer.QuarantineEntry) peer.QuarantineEntry {
	m := peer.QuarantineEntry{
		Fingerprint: b.Fingerprint,
		Customer:    b.Customer,
		Service:     b.Service,
		Released:    later(a.Released, b.Released),
	}
	m.CrashedAt = distinctCrashes(slices.Concat(a.CrashedAt, b.CrashedAt), m.Released)
	m.Crashes = len(m.CrashedAt)
	m.Expires = t.expiry(m)
	return m
}

// distinctCrashes returns the latest maxKeptCrashes distinct crashes after the
// release, oldest first.
func distinctCrashes(all []peer.TargetCrash, released time.Time) []peer.TargetCrash {
	slices.SortFunc(all, byIdentity)
	all = slices.CompactFunc(all, sameCrash)
	slices.SortFunc(all, byTime)
	all = slices.DeleteFunc(all, func(c peer.TargetCrash) bool { return !c.Time.After(released) })
	return all[max(0, len(all)-maxKeptCrashes):]
}

// expiry returns the time after which an entry can be removed. A released entry
// is kept for as long as another host may still send crashes from before the
// release, so that they stay ignored.
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

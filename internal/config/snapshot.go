package config

import (
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// Snapshot returns a snapshot of s.
func (s State) Snapshot() Snapshot {
	return Snapshot{Next: s.Next, Version: s.Version, Digest: s.Digest, Document: s.canonical, Decisions: s.Decisions}
}

// Restore returns the state that a snapshot contains. It returns an error if the
// document is invalid or does not match the digest.
func Restore(snap Snapshot) (State, error) {
	s, err := RestoreDocument(snap.Version, snap.Digest, snap.Document)
	if err != nil {
		return State{}, err
	}
	s.Next = snap.Next
	s.Decisions = snap.Decisions
	return s, nil
}

// RestoreDocument returns the state for a version and its document, without an
// offset in the log and without decisions. It returns an error if the document
// is invalid or does not match the digest.
func RestoreDocument(v Version, digest uint64, document []byte) (State, error) {
	doc, err := Parse(document)
	if err != nil {
		return State{}, err
	}
	if err := Validate(doc); err != nil {
		return State{}, err
	}
	s, err := EmptyState().withDocument(v, doc)
	if err != nil {
		return State{}, err
	}
	if s.Digest != digest {
		return State{}, fmt.Errorf("configuration version %d has digest %016x, its source states %016x", v, s.Digest, digest)
	}
	return s, nil
}

func (s State) applySnapshot(snap Snapshot) (State, Step) {
	step := Step{Snapshot: &snap}
	if snap.Recovery && snap.Version > s.Version {
		return s.applyRecoverySnapshot(snap)
	}
	if snap.Version == s.Version && snap.Digest != s.Digest {
		step.Err = fmt.Errorf("snapshot of version %d has digest %016x, the state has %016x", s.Version, snap.Digest, s.Digest)
	}
	if snap.Version > s.Version {
		step.Err = fmt.Errorf("snapshot of version %d is ahead of the state at version %d", snap.Version, s.Version)
	}
	return s, step
}

func (s State) applyRecoverySnapshot(snap Snapshot) (State, Step) {
	restored, err := Restore(snap)
	if err != nil {
		return s, Step{Snapshot: &snap, Err: err}
	}
	restored.Next = s.Next
	return restored, Step{Snapshot: &snap}
}

// Scan searches the retained log records for the snapshot from which to start.
type Scan struct {
	first ports.Offset
	next  ports.Offset
	// digests holds the digests of all valid snapshots of each version.
	digests map[Version]map[uint64]bool
	// usable are the valid snapshots whose following records, from Next on, are
	// all retained.
	usable []Snapshot
}

// NewScan returns a scan that starts at first, the oldest retained offset.
func NewScan(first ports.Offset) *Scan {
	return &Scan{first: first, next: first, digests: make(map[Version]map[uint64]bool)}
}

// Next returns the offset of the next record to add.
func (c *Scan) Next() ports.Offset { return c.next }

// Add adds records, which must be in offset order.
func (c *Scan) Add(records []ports.Record) {
	for _, rec := range records {
		c.next = rec.Offset + 1
		content, err := DecodeRecord(rec.Data)
		if err == nil && content.Snapshot != nil {
			c.addSnapshot(rec.Offset, *content.Snapshot)
		}
	}
}

func (c *Scan) addSnapshot(at ports.Offset, snap Snapshot) {
	if _, err := Restore(snap); err != nil {
		return
	}
	if c.digests[snap.Version] == nil {
		c.digests[snap.Version] = make(map[uint64]bool)
	}
	c.digests[snap.Version][snap.Digest] = true
	if snap.Next >= c.first && snap.Next <= at {
		c.usable = append(c.usable, snap)
	}
}

// StartState returns the state from which to apply the remaining records. It chooses
// the usable snapshot with the highest version, and among those the one with the
// highest Next. It ignores a version whose snapshots have different digests. If
// no snapshot is left and the stream has not been truncated, it returns the
// empty state; if the stream has been truncated, it returns false.
func (c *Scan) StartState() (State, bool) {
	best, found := Snapshot{}, false
	for _, snap := range c.usable {
		if len(c.digests[snap.Version]) > 1 {
			continue
		}
		if !found || snap.Version > best.Version || (snap.Version == best.Version && snap.Next > best.Next) {
			best, found = snap, true
		}
	}
	if found {
		s, err := Restore(best)
		return s, err == nil
	}
	return EmptyState(), c.first == 0
}

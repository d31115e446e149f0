package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// maxDecided bounds the decisions that a state remembers.
const maxDecided = 512

// State is the fold of a prefix of the configuration stream. It is never
// changed; Fold returns a new one.
type State struct {
	// Next is the offset of the first record that is not in the state.
	Next     ports.Offset
	Version  Version
	Digest   uint64
	Document *Document
	// Decided are the latest decisions, oldest first.
	Decided []Result

	canonical []byte
}

// Empty returns the state before the first record.
func Empty() State {
	doc := &Document{}
	return State{Document: doc, canonical: []byte("{}"), Digest: Digest([]byte("{}"))}
}

// Canonical returns the JSON text of the document; it must not be changed.
func (s State) Canonical() []byte { return s.canonical }

// Step is what one record did to the state.
type Step struct {
	// Result is the decision on a patch; nil for other records.
	Result *Result
	// Repeated marks a patch whose ID was decided before.
	Repeated bool
	// Snapshot is the snapshot of the record; nil for other records.
	Snapshot *Snapshot
	// Err says why the record was ignored: it cannot be read, or it is a
	// snapshot that disagrees with the fold.
	Err error
}

// Fold applies the record at s.Next.
func (s State) Fold(rec ports.Record) (State, Step) {
	s.Next = rec.Offset + 1
	content, err := DecodeRecord(rec.Data)
	if err != nil {
		return s, Step{Err: err}
	}
	if content.Patch != nil {
		return s.foldPatch(rec, *content.Patch)
	}
	return s.foldSnapshot(*content.Snapshot)
}

func (s State) foldPatch(rec ports.Record, p Patch) (State, Step) {
	if err := p.Check(); err != nil {
		return s, Step{Err: err}
	}
	if earlier, ok := s.Find(p.ID); ok {
		return s, Step{Result: &earlier, Repeated: true}
	}
	next, result := s.decide(p)
	if result.Accepted {
		result.Diff = shorten(string(p.Merge), maxDiffBytes)
	}
	result.Time = rec.Time
	next.Decided = appendBounded(next.Decided, result)
	return next, Step{Result: &result}
}

// Decide returns the decision on p as the next patch, with the effective
// difference, and the state after it.
func (s State) Decide(p Patch) (State, Result) {
	next, r := s.decide(p)
	if r.Accepted {
		r.Diff = shorten(Diff(s.canonical, next.canonical), maxDiffBytes)
	}
	return next, r
}

// decide leaves the difference out, which costs more than the decision and is
// of use to an operator only.
func (s State) decide(p Patch) (State, Result) {
	r := Result{PatchID: p.ID, Base: p.Base, Version: s.Version, Operator: p.Operator, Content: xxhash.Sum64(p.Merge)}
	if p.Base != s.Version {
		r.Kind = errkind.VersionConflict
		r.Reason = fmt.Sprintf("base is version %d, version %d is in force", p.Base, s.Version)
		return s, r
	}
	doc, err := s.apply(p.Merge)
	if err != nil {
		r.Kind = errkind.InvalidConfig
		r.Reason = shorten(errkind.DetailOf(err), maxReasonBytes)
		return s, r
	}
	next, err := s.with(s.Version+1, doc)
	if err != nil {
		r.Kind = errkind.InvalidConfig
		r.Reason = errkind.DetailOf(err)
		return s, r
	}
	r.Accepted = true
	r.Version = next.Version
	return next, r
}

// apply returns the document changed by a merge patch, validated. Errors are of
// kind errkind.InvalidConfig.
func (s State) apply(merge json.RawMessage) (*Document, error) {
	if doc, ok := applyEntries(s.Document, len(s.canonical), merge); ok {
		return doc, nil
	}
	return applyTo(s.canonical, merge)
}

func (s State) with(v Version, doc *Document) (State, error) {
	text, err := Canonical(doc)
	if err != nil {
		return s, err
	}
	if len(text) > MaxDocumentBytes {
		detail := fmt.Sprintf("document has %d bytes, more than %d", len(text), MaxDocumentBytes)
		return s, errkind.New(errkind.InvalidConfig, detail)
	}
	s.Version = v
	s.Document = doc
	s.canonical = text
	s.Digest = Digest(text)
	return s, nil
}

// Find returns the decision on a patch ID, while it is remembered.
func (s State) Find(patchID string) (Result, bool) {
	for i := len(s.Decided) - 1; i >= 0; i-- {
		if s.Decided[i].PatchID == patchID {
			return s.Decided[i], true
		}
	}
	return Result{}, false
}

func appendBounded(decided []Result, r Result) []Result {
	from := max(0, len(decided)+1-maxDecided)
	return append(slices.Clone(decided[from:]), r)
}

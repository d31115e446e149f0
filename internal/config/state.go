package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// maxDecisions is the maximum number of decisions that a state contains.
const maxDecisions = 512

// State is the state after applying a prefix of the configuration stream. It is
// immutable.
type State struct {
	// Next is the offset of the first record that has not been applied.
	Next     ports.Offset
	Version  Version
	Digest   uint64
	Document *Document
	// Decisions contains the latest decisions, oldest first.
	Decisions []Result

	canonical []byte
}

// EmptyState returns the state before the first record.
func EmptyState() State {
	doc := &Document{}
	return State{Document: doc, canonical: []byte("{}"), Digest: Digest([]byte("{}"))}
}

// Canonical returns the canonical JSON text of the document. The caller must not
// modify it.
func (s State) Canonical() []byte { return s.canonical }

// Step is the result of applying one record.
type Step struct {
	// Result is the decision if the record is a valid patch, and nil otherwise.
	Result *Result
	// Duplicate is set if a patch with the same ID was decided earlier. Result is
	// then the earlier decision.
	Duplicate bool
	// Snapshot is the content of a snapshot record, and nil otherwise.
	Snapshot *Snapshot
	// Err is the reason why the record was ignored: it is malformed, or it is a
	// snapshot that is invalid or contradicts the state.
	Err error
}

// Apply returns the state after applying the record at offset s.Next to s, and the
// result of applying it.
func (s State) Apply(rec ports.Record) (State, Step) {
	s.Next = rec.Offset + 1
	content, err := DecodeRecord(rec.Data)
	if err != nil {
		return s, Step{Err: err}
	}
	if content.Patch != nil {
		return s.applyPatch(rec, *content.Patch)
	}
	return s.applySnapshot(*content.Snapshot)
}

func (s State) applyPatch(rec ports.Record, p Patch) (State, Step) {
	if err := p.Check(); err != nil {
		return s, Step{Err: err}
	}
	if earlier, ok := s.Find(p.ID); ok {
		return s, Step{Result: &earlier, Duplicate: true}
	}
	next, result := s.decide(p)
	if result.Accepted {
		result.Diff = truncate(string(p.Merge), maxDiffBytes)
	}
	result.Time = rec.Time
	next.Decisions = appendDecision(next.Decisions, result)
	return next, Step{Result: &result}
}

// Decide returns the decision that is made if p is the next patch in the stream,
// and the state after it. The Diff of the result is the effective change. Decide
// does not record the decision in the returned state.
func (s State) Decide(p Patch) (State, Result) {
	next, r := s.decide(p)
	if r.Accepted {
		r.Diff = truncate(Diff(s.canonical, next.canonical), maxDiffBytes)
	}
	return next, r
}

// decide is like Decide but does not set Diff. Computing the difference costs
// more than the decision, and only operators use it.
func (s State) decide(p Patch) (State, Result) {
	r := Result{PatchID: p.ID, Base: p.Base, Version: s.Version, Operator: p.Operator, MergeHash: xxhash.Sum64(p.Merge)}
	if p.Base != s.Version {
		r.Kind = errkind.VersionConflict
		r.Reason = fmt.Sprintf("base is version %d, version %d is in force", p.Base, s.Version)
		return s, r
	}
	doc, err := s.merge(p.Merge)
	if err != nil {
		r.Kind = errkind.InvalidConfig
		r.Reason = truncate(errkind.DetailOf(err), maxReasonBytes)
		return s, r
	}
	next, err := s.withDocument(s.Version+1, doc)
	if err != nil {
		r.Kind = errkind.InvalidConfig
		r.Reason = errkind.DetailOf(err)
		return s, r
	}
	r.Accepted = true
	r.Version = next.Version
	return next, r
}

// merge returns the validated result of applying a merge patch to the document.
// Errors are of kind errkind.InvalidConfig.
func (s State) merge(merge json.RawMessage) (*Document, error) {
	if doc, ok := applyMergeByEntry(s.Document, len(s.canonical), merge); ok {
		return doc, nil
	}
	return applyMergeToText(s.canonical, merge)
}

func (s State) withDocument(v Version, doc *Document) (State, error) {
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

// Find returns the decision on the patch with the given ID, or false if the
// decision is not among the latest that the state contains.
func (s State) Find(patchID string) (Result, bool) {
	for i := len(s.Decisions) - 1; i >= 0; i-- {
		if s.Decisions[i].PatchID == patchID {
			return s.Decisions[i], true
		}
	}
	return Result{}, false
}

func appendDecision(decided []Result, r Result) []Result {
	from := max(0, len(decided)+1-maxDecisions)
	return append(slices.Clone(decided[from:]), r)
}

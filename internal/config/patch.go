package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

const (
	// MaxPatchBytes is the maximum size of a merge patch in JSON.
	MaxPatchBytes = 768 << 10
	// maxOperatorBytes is the maximum length of an operator's name.
	maxOperatorBytes = 128
	// maxReasonBytes and maxDiffBytes are the maximum lengths of Result.Reason
	// and Result.Diff.
	maxReasonBytes = 200
	maxDiffBytes   = 4096
)

// Patch is a request to change the configuration.
type Patch struct {
	// ID is a UUID chosen by the operator. All records with the same ID are
	// copies of one patch, which is decided once.
	ID string `json:"id"`
	// Base is the version that the patch applies to.
	Base Version `json:"base"`
	// Operator is the name of the operator who published the patch.
	Operator string `json:"operator,omitempty"`
	// Merge is an RFC 7386 merge patch for the document.
	Merge json.RawMessage `json:"merge"`
}

// Check returns an error of kind errkind.MalformedRequest if p is malformed. It
// does not depend on the current configuration.
func (p Patch) Check() error {
	if _, err := uuid.Parse(p.ID); err != nil {
		return errkind.Wrap(err, errkind.MalformedRequest, fmt.Sprintf("patch ID %q is not a UUID", p.ID))
	}
	if len(p.Operator) > maxOperatorBytes {
		detail := fmt.Sprintf("operator name has %d bytes, more than %d", len(p.Operator), maxOperatorBytes)
		return errkind.New(errkind.MalformedRequest, detail)
	}
	if len(p.Merge) > MaxPatchBytes {
		detail := fmt.Sprintf("merge patch has %d bytes, more than %d", len(p.Merge), MaxPatchBytes)
		return errkind.New(errkind.MalformedRequest, detail)
	}
	if !isObject(p.Merge) {
		return errkind.New(errkind.MalformedRequest, "merge patch is not a JSON object")
	}
	return nil
}

// Result is the decision on a patch. Every host that reads the log makes the
// same decision.
type Result struct {
	PatchID  string  `json:"patch_id"`
	Accepted bool    `json:"accepted"`
	Base     Version `json:"base"`
	// Version is the version that an accepted patch created, or the version
	// that was current when the patch was rejected.
	Version  Version `json:"version"`
	Operator string  `json:"operator,omitempty"`
	// Kind is empty for an accepted patch.
	Kind   errkind.Kind `json:"kind,omitempty"`
	Reason string       `json:"reason,omitempty"`
	// Time is the time at which the log stored the record with the patch.
	Time time.Time `json:"time,omitzero"`
	// MergeHash is the XXH64 hash of the merge patch.
	MergeHash uint64 `json:"content"`
	// Diff is a merge patch in JSON, truncated to maxDiffBytes: the effective
	// change if State.Decide made the result, and the published patch if it was
	// applied from the log. It is empty for a rejected patch, and it is not stored
	// in snapshots.
	Diff string `json:"-"`
}

// Err returns nil for an accepted patch, and an error with Kind and Reason for a
// rejected one.
func (r Result) Err() error {
	if r.Accepted {
		return nil
	}
	return errkind.New(r.Kind, r.Reason)
}

// ApplyMerge returns the validated result of applying a merge patch to doc. It does
// not modify doc. Errors are of kind errkind.InvalidConfig.
func ApplyMerge(doc *Document, merge json.RawMessage) (*Document, error) {
	before, err := Canonical(doc)
	if err != nil {
		return nil, err
	}
	return applyMergeToText(before, merge)
}

// applyMergeToText returns the validated result of applying a merge patch to the
// canonical text of a document. Errors are of kind errkind.InvalidConfig.
func applyMergeToText(before []byte, merge json.RawMessage) (*Document, error) {
	if !isObject(merge) {
		return nil, errkind.New(errkind.InvalidConfig, "merge patch is not a JSON object")
	}
	after, err := jsonpatch.MergePatch(before, merge)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "merge patch does not apply")
	}
	next, err := Parse(after)
	if err != nil {
		return nil, err
	}
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// Diff returns the merge patch that turns the canonical document before into
// after, or an empty string if it cannot be computed.
func Diff(before, after []byte) string {
	diff, err := jsonpatch.CreateMergePatch(before, after)
	if err != nil {
		return ""
	}
	return string(diff)
}

// truncate shortens text to at most limit bytes without splitting a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const cut = "..."
	return strings.ToValidUTF8(text[:limit-len(cut)], "") + cut
}

func isObject(data json.RawMessage) bool {
	return json.Valid(data) && bytes.HasPrefix(bytes.TrimSpace(data), []byte("{"))
}

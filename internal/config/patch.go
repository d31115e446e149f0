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
	// MaxPatchBytes bounds the JSON text of a merge patch.
	MaxPatchBytes = 768 << 10
	// maxOperatorBytes bounds the name of a publisher.
	maxOperatorBytes = 128
	// maxReasonBytes and maxDiffBytes bound the texts that a decision keeps.
	maxReasonBytes = 200
	maxDiffBytes   = 4096
)

// Patch asks for a change of the configuration.
type Patch struct {
	// ID is a UUID chosen by the operator; the same ID is one publication.
	ID string `json:"id"`
	// Base is the version that the patch was written against.
	Base Version `json:"base"`
	// Operator is the name of the publisher.
	Operator string `json:"operator,omitempty"`
	// Merge is an RFC 7386 merge patch of the document.
	Merge json.RawMessage `json:"merge"`
}

// Check returns an error of kind errkind.MalformedRequest when p cannot be
// published whatever version is in force.
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

// Result is the decision on a patch; every host that reads the log decides alike.
type Result struct {
	PatchID  string  `json:"patch_id"`
	Accepted bool    `json:"accepted"`
	Base     Version `json:"base"`
	// Version is the version that the patch made, or the one that was in
	// force when it was rejected.
	Version  Version `json:"version"`
	Operator string  `json:"operator,omitempty"`
	// Kind is empty for an accepted patch.
	Kind   errkind.Kind `json:"kind,omitempty"`
	Reason string       `json:"reason,omitempty"`
	// Time is when the log took the patch.
	Time time.Time `json:"time,omitzero"`
	// Content is the hash of the merge patch.
	Content uint64 `json:"content"`
	// Diff is the effective merge patch in JSON, where it is known; a long one
	// is cut.
	Diff string `json:"-"`
}

// Err returns nil for an accepted patch, or an error of the result's kind.
func (r Result) Err() error {
	if r.Accepted {
		return nil
	}
	return errkind.New(r.Kind, r.Reason)
}

// Apply returns doc changed by a merge patch, validated; doc itself stays as it
// is. Errors are of kind errkind.InvalidConfig.
func Apply(doc *Document, merge json.RawMessage) (*Document, error) {
	before, err := Canonical(doc)
	if err != nil {
		return nil, err
	}
	return applyTo(before, merge)
}

// applyTo is Apply on the canonical text of a document.
func applyTo(before []byte, merge json.RawMessage) (*Document, error) {
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

// Diff returns the merge patch that leads from one canonical document to
// another, or an empty string when there is none.
func Diff(before, after []byte) string {
	diff, err := jsonpatch.CreateMergePatch(before, after)
	if err != nil {
		return ""
	}
	return string(diff)
}

// shorten cuts text to at most limit bytes of whole characters.
func shorten(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const cut = "..."
	return strings.ToValidUTF8(text[:limit-len(cut)], "") + cut
}

func isObject(data json.RawMessage) bool {
	return json.Valid(data) && bytes.HasPrefix(bytes.TrimSpace(data), []byte("{"))
}

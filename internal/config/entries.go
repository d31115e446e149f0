package config

import (
	"bytes"
	"encoding/json"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// maxMergeGrowth is the maximum number of bytes that one byte of a merge patch
// adds to the canonical JSON text: encoding/json escapes each of the characters
// <, > and & as six bytes.
const maxMergeGrowth = 6

// applyMergeByEntry is a fast path of applyMergeToText for patches that only
// add, change or delete named entries of the document's maps. It decodes and
// encodes only the changed entries instead of the whole document. It reports
// false for any other patch and for a patch that it can't accept. The caller
// then uses applyMergeToText, so that all releases of the program reject a patch
// with the same reason.
//
// size is the length of the canonical text of before. before is not modified.
func applyMergeByEntry(before *Document, size int, merge json.RawMessage) (*Document, bool) {
	if !isObject(merge) || size+maxMergeGrowth*len(merge) > MaxDocumentBytes {
		return nil, false
	}
	sections, ok := objectMembers(merge)
	if !ok {
		return nil, false
	}
	next := *before
	for _, s := range sections {
		if !next.mergeSection(s) {
			return nil, false
		}
	}
	if Validate(&next) != nil {
		return nil, false
	}
	return &next, true
}

// mergeSection replaces one map of the document with a changed copy. It reports
// false if the section is not a map of named entries or a value does not match
// the schema.
func (d *Document) mergeSection(section member) bool {
	switch section.name {
	case "tiers":
		return mergeEntries(&d.Tiers, section.value)
	case "customers":
		return mergeEntries(&d.Customers, section.value)
	case "services":
		return mergeEntries(&d.Services, section.value)
	case "targets":
		return mergeEntries(&d.Targets, section.value)
	case "generations":
		return mergeEntries(&d.Generations, section.value)
	case "operators":
		return mergeEntries(&d.Operators, section.value)
	default:
		return false
	}
}

// mergeEntries replaces *entries with a copy to which patch has been applied.
func mergeEntries[E any](entries *map[string]E, patch json.RawMessage) bool {
	changes, ok := objectMembers(patch)
	if !ok {
		return false
	}
	next := maps.Clone(*entries)
	if next == nil {
		next = make(map[string]E, len(changes))
	}
	for _, c := range changes {
		if !mergeEntry(next, c) {
			return false
		}
	}
	*entries = next
	return true
}

// mergeEntry deletes, adds or changes one entry. It reports false if the changed
// entry does not match the schema.
func mergeEntry[E any](entries map[string]E, change member) bool {
	if isNull(change.value) {
		delete(entries, change.name)
		return true
	}
	text := []byte("{}")
	if entry, ok := entries[change.name]; ok {
		var err error
		if text, err = json.Marshal(entry); err != nil {
			return false
		}
	}
	if !isObject(change.value) {
		return false
	}
	merged, err := jsonpatch.MergePatch(text, change.value)
	if err != nil {
		return false
	}
	var entry E
	dec := json.NewDecoder(bytes.NewReader(merged))
	dec.DisallowUnknownFields()
	if dec.Decode(&entry) != nil {
		return false
	}
	entries[change.name] = entry
	return true
}

// member is a member of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// objectMembers returns the members of a JSON object in order. It reports false
// if the value is not an object or has a duplicate name.
func objectMembers(object json.RawMessage) ([]member, bool) {
	dec := json.NewDecoder(bytes.NewReader(object))
	if open, err := dec.Token(); err != nil || open != json.Delim('{') {
		return nil, false
	}
	var out []member
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		name, ok := token.(string)
		if err != nil || !ok || seen[name] {
			return nil, false
		}
		seen[name] = true
		m := member{name: name}
		if dec.Decode(&m.value) != nil {
			return nil, false
		}
		out = append(out, m)
	}
	return out, true
}

func isNull(value json.RawMessage) bool {
	return bytes.Equal(bytes.TrimSpace(value), []byte("null"))
}

package config

import (
	"bytes"
	"encoding/json"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// mergeGrowth bounds how many bytes of JSON text one byte of a merge patch
// becomes: a character of HTML is written as an escape of six.
const mergeGrowth = 6

// applyEntries is applyTo for a patch that changes entries of a document by
// name, at a cost of the entries and not of the document. It reports false for
// any other patch and for one that is not accepted; applyTo then decides, so
// that every release of the program rejects with the same reason.
//
// size is the length of the canonical text of before, which stays as it is.
func applyEntries(before *Document, size int, merge json.RawMessage) (*Document, bool) {
	if !isObject(merge) || size+mergeGrowth*len(merge) > MaxDocumentBytes {
		return nil, false
	}
	sections, ok := membersOf(merge)
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

// mergeSection replaces one map of the document by a changed copy. It reports
// false when the member is not such a map, or a value does not fit it.
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

func mergeEntries[E any](entries *map[string]E, patch json.RawMessage) bool {
	changes, ok := membersOf(patch)
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

// mergeEntry deletes, adds or changes one entry.
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

// member is one name of a JSON object and its value.
type member struct {
	name  string
	value json.RawMessage
}

// membersOf returns the members of a valid JSON value in their order. It reports
// false for a value that is no object and for an object that has a name twice.
func membersOf(object json.RawMessage) ([]member, bool) {
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

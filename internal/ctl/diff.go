package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-faster/jx"
)

// change is a difference between two documents at one path. Old and New are JSON
// texts. Each is empty if its document has no value at the path.
type change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// patchChanges returns the changes that a merge patch makes to a document.
func patchChanges(document map[string]jx.Raw, merge []byte) ([]change, error) {
	before, err := json.Marshal(toRawMessages(document))
	if err != nil {
		return nil, fmt.Errorf("encoding the configuration in force: %w", err)
	}
	after, err := jsonpatch.MergePatch(before, merge)
	if err != nil {
		return nil, usageError("the merge patch does not apply: %s", err)
	}
	return diffDocuments(before, after)
}

// diffDocuments returns the differences between two JSON documents, sorted by path.
func diffDocuments(before, after []byte) ([]change, error) {
	oldValues, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newValues, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var out []change
	for path, value := range oldValues {
		if newValues[path] != value {
			out = append(out, change{Path: path, Old: value, New: newValues[path]})
		}
	}
	for path, value := range newValues {
		if _, known := oldValues[path]; !known {
			out = append(out, change{Path: path, New: value})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out, nil
}

// flatten returns the JSON text of every leaf value, keyed by its path. Arrays and
// empty objects are leaf values. If the whole document is a leaf value, the result
// is empty.
func flatten(document []byte) (map[string]string, error) {
	var root any
	if err := json.Unmarshal(document, &root); err != nil {
		return nil, usageError("the document is not valid JSON: %s", err)
	}
	out := make(map[string]string)
	err := flattenInto(out, "", root)
	delete(out, "")
	return out, err
}

func flattenInto(out map[string]string, path string, value any) error {
	object, ok := value.(map[string]any)
	if ok && len(object) > 0 {
		for name, inner := range object {
			if err := flattenInto(out, joinPath(path, name), inner); err != nil {
				return err
			}
		}
		return nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", path, err)
	}
	out[path] = string(text)
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func writeChanges(w io.Writer, changes []change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no change")
	}
	for _, c := range changes {
		if c.Old != "" {
			fmt.Fprintf(w, "- %s: %s\n", c.Path, c.Old)
		}
		if c.New != "" {
			fmt.Fprintf(w, "+ %s: %s\n", c.Path, c.New)
		}
	}
}

func toRawMessages(fields map[string]jx.Raw) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(fields))
	for name, value := range fields {
		out[name] = json.RawMessage(value)
	}
	return out
}

// neverSent reports whether err shows that no byte of a call was sent, because the
// connection could not be opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

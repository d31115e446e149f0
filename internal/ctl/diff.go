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

// change is one value that differs between two documents, by its path. An
// empty Old or New stands for a value that is not there.
type change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// changesOf lists what a merge patch changes in a document.
func changesOf(document map[string]jx.Raw, merge []byte) ([]change, error) {
	before, err := json.Marshal(unraw(document))
	if err != nil {
		return nil, fmt.Errorf("encoding the configuration in force: %w", err)
	}
	after, err := jsonpatch.MergePatch(before, merge)
	if err != nil {
		return nil, usage("the merge patch does not apply: %s", err)
	}
	return compare(before, after)
}

// compare lists the values that differ between two JSON documents.
func compare(before, after []byte) ([]change, error) {
	was, err := leaves(before)
	if err != nil {
		return nil, err
	}
	is, err := leaves(after)
	if err != nil {
		return nil, err
	}
	var out []change
	for path, value := range was {
		if is[path] != value {
			out = append(out, change{Path: path, Old: value, New: is[path]})
		}
	}
	for path, value := range is {
		if _, known := was[path]; !known {
			out = append(out, change{Path: path, New: value})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out, nil
}

// leaves maps the path of every value that is no object to its JSON text.
func leaves(document []byte) (map[string]string, error) {
	var root any
	if err := json.Unmarshal(document, &root); err != nil {
		return nil, usage("the document is no JSON: %s", err)
	}
	out := make(map[string]string)
	err := addLeaves(out, "", root)
	delete(out, "")
	return out, err
}

func addLeaves(out map[string]string, path string, value any) error {
	object, ok := value.(map[string]any)
	if ok && len(object) > 0 {
		for name, inner := range object {
			if err := addLeaves(out, join(path, name), inner); err != nil {
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

func join(path, name string) string {
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

func unraw(fields map[string]jx.Raw) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(fields))
	for name, value := range fields {
		out[name] = json.RawMessage(value)
	}
	return out
}

// neverSent reports whether err proves that no byte of a call left this host.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/integrii/flaggy"
)

func (a *app) configCommands(parser *flaggy.Parser) []node {
	group := attach(parser, "config", "read the configuration")
	get := attach(group, "get", "print the version in force on the host")
	history := attach(group, "history", "print accepted and rejected patches, newest first")
	diff := attach(group, "diff", "print how a whole document differs from the version in force; as JSON it is the merge patch to publish")
	file := new(string)
	diff.AddPositionalValue(file, "FILE", 1, false, "file with the document; standard input when missing")
	return []node{
		{get, a.configGet},
		{history, a.configHistory},
		{diff, func(ctx context.Context) error { return a.configDiff(ctx, *file) }},
	}
}

func (a *app) configGet(ctx context.Context) error {
	current, err := a.client.GetConfig(ctx)
	if err != nil {
		return err
	}
	document, err := json.MarshalIndent(unraw(current.Document), "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the document: %w", err)
	}
	return a.print(current, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, digest %s\n%s\n", current.Version, current.Digest, document)
	})
}

func (a *app) configHistory(ctx context.Context) error {
	results, err := a.client.GetConfigHistory(ctx)
	if err != nil {
		return err
	}
	return a.print(results, func(w io.Writer) {
		row(w, "TIME", "VERSION", "BASE", "RESULT", "OPERATOR", "PATCH", "REASON")
		for _, r := range results {
			verdict := "rejected"
			if r.Accepted {
				verdict = "accepted"
			}
			at := ""
			if r.Time.Set {
				at = r.Time.Value.UTC().Format(time.RFC3339)
			}
			row(w, at, r.Version, r.Base, verdict, r.Operator.Value, r.PatchID, r.Reason.Value)
		}
	})
}

func (a *app) configDiff(ctx context.Context, file string) error {
	object, err := a.readObject(file)
	if err != nil {
		return err
	}
	wanted, err := json.Marshal(object)
	if err != nil {
		return usage("the document: %s", err)
	}
	current, err := a.client.GetConfig(ctx)
	if err != nil {
		return err
	}
	before, err := json.Marshal(unraw(current.Document))
	if err != nil {
		return fmt.Errorf("encoding the configuration in force: %w", err)
	}
	merge, err := jsonpatch.CreateMergePatch(before, wanted)
	if err != nil {
		return usage("the document: %s", err)
	}
	changes, err := compare(before, wanted)
	if err != nil {
		return err
	}
	return a.print(json.RawMessage(merge), func(w io.Writer) {
		fmt.Fprintf(w, "against version %d\n", current.Version)
		writeChanges(w, changes)
	})
}

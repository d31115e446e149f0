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

func (a *app) configCommands(parser *flaggy.Parser) []leafCommand {
	group := attach(parser, "config", "show and compare the configuration")
	get := attach(group, "get", "print the configuration in force on the host")
	history := attach(group, "history", "print the accepted and rejected patches, newest first")
	diff := attach(group, "diff", "print the difference between a complete document and the version in force; with --output json, print it as a merge patch that can be published")
	file := new(string)
	diff.AddPositionalValue(file, "FILE", 1, false, "file with the document; defaults to standard input")
	return []leafCommand{
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
	document, err := json.MarshalIndent(toRawMessages(current.Document), "", "  ")
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
		writeRow(w, "TIME", "VERSION", "BASE", "RESULT", "OPERATOR", "PATCH", "REASON")
		for _, r := range results {
			verdict := "rejected"
			if r.Accepted {
				verdict = "accepted"
			}
			at := ""
			if r.Time.Set {
				at = r.Time.Value.UTC().Format(time.RFC3339)
			}
			writeRow(w, at, r.Version, r.Base, verdict, r.Operator.Value, r.PatchID, r.Reason.Value)
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
		return usageError("the document: %s", err)
	}
	current, err := a.client.GetConfig(ctx)
	if err != nil {
		return err
	}
	before, err := json.Marshal(toRawMessages(current.Document))
	if err != nil {
		return fmt.Errorf("encoding the configuration in force: %w", err)
	}
	merge, err := jsonpatch.CreateMergePatch(before, wanted)
	if err != nil {
		return usageError("the document: %s", err)
	}
	changes, err := diffDocuments(before, wanted)
	if err != nil {
		return err
	}
	return a.print(json.RawMessage(merge), func(w io.Writer) {
		fmt.Fprintf(w, "against version %d\n", current.Version)
		writeChanges(w, changes)
	})
}

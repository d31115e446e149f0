package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/jx"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// publishBound is how long one publication is repeated while it is undecided.
const publishBound = 30 * time.Second

// maxPatchFileBytes bounds the merge patch that is read.
const maxPatchFileBytes = 1 << 20

type publishFlags struct {
	waitFlags
	file    string
	base    string
	patchID string
	dryRun  bool
}

func (a *app) publishCommand(parser *flaggy.Parser) node {
	f := &publishFlags{}
	sub := attach(parser, "publish", "publish an RFC 7386 merge patch against a version")
	sub.AddPositionalValue(&f.file, "FILE", 1, false, "file with the merge patch; standard input when missing")
	sub.String(&f.base, "b", "base", "version that the patch was written against; 0 for the first")
	sub.String(&f.patchID, "", "patch-id", "UUID of the publication; the same one again publishes nothing twice")
	sub.Bool(&f.dryRun, "n", "dry-run", "check the patch and print the difference, publish nothing")
	f.add(sub, "wait until the version is in force on every host")
	return node{sub, func(ctx context.Context) error { return a.publish(ctx, f) }}
}

func (a *app) publish(ctx context.Context, f *publishFlags) error {
	patch, err := a.readPatch(f)
	if err != nil {
		return err
	}
	if f.dryRun {
		return a.dryRun(ctx, patch)
	}
	fmt.Fprintf(a.Stderr, "patch ID %s\n", patch.PatchID)
	result, err := a.send(ctx, patch)
	if err != nil {
		return err
	}
	if err := a.printResult(result); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	return a.awaitEverywhere(ctx, result.Version, f.timeout)
}

func (a *app) readPatch(f *publishFlags) (*api.Patch, error) {
	base, err := strconv.ParseInt(f.base, 10, 64)
	if err != nil || base < 0 {
		return nil, usage("--base %q is no version; bluebellctl config get shows the one in force", f.base)
	}
	id, err := patchID(f.patchID)
	if err != nil {
		return nil, err
	}
	merge, err := a.readObject(f.file)
	if err != nil {
		return nil, err
	}
	return &api.Patch{Base: base, PatchID: id, Merge: raw(merge)}, nil
}

func patchID(text string) (uuid.UUID, error) {
	if text == "" {
		return uuid.NewV7()
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return id, usage("--patch-id %q: %s", text, err)
	}
	return id, nil
}

// readObject reads one JSON object from a file, or from standard input when
// name is empty.
func (a *app) readObject(name string) (map[string]json.RawMessage, error) {
	in := a.Stdin
	if name == "" {
		name = "standard input"
	} else {
		file, err := os.Open(name)
		if err != nil {
			return nil, usage("%s", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxPatchFileBytes+1))
	if err != nil {
		return nil, usage("%s: %s", name, err)
	}
	if len(data) > maxPatchFileBytes {
		return nil, usage("%s is larger than %d bytes", name, maxPatchFileBytes)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, usage("%s is no JSON object: %s", name, err)
	}
	if object == nil {
		return nil, usage("%s is no JSON object", name)
	}
	return object, nil
}

func raw(object map[string]json.RawMessage) map[string]jx.Raw {
	out := make(map[string]jx.Raw, len(object))
	for name, value := range object {
		out[name] = jx.Raw(value)
	}
	return out
}

// send publishes patch and repeats it with the same ID while it may have been
// appended and no host has told what became of it.
func (a *app) send(ctx context.Context, patch *api.Patch) (*api.PatchResult, error) {
	mayBeAppended := false
	attempt := func() (*api.PatchResult, error) {
		result, err := a.client.PublishPatch(ctx, patch, api.PublishPatchParams{})
		if err == nil {
			return result, nil
		}
		mayBeAppended = mayBeAppended || leavesDoubt(err)
		if mayBeAppended && leavesOpen(err) {
			return nil, err
		}
		return nil, backoff.Permanent(err)
	}
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(a.pause), backoff.WithMaxElapsedTime(publishBound))
	if err == nil {
		return result, nil
	}
	failure := fromAPI(err)
	if mayBeAppended && leavesOpen(err) {
		failure.code = ExitUndecided
		failure.text += fmt.Sprintf("; publish again with --patch-id %s", patch.PatchID)
	}
	return nil, failure
}

// leavesDoubt reports whether the patch may be in the log after err.
func leavesDoubt(err error) bool {
	var own *exitError
	if errors.As(err, &own) {
		return false
	}
	kind := kindOf(err)
	if kind == errkind.None {
		return !neverSent(err)
	}
	return kind.Answer().Ran == errkind.RanUnknown
}

// leavesOpen reports whether err is no decision on a patch.
func leavesOpen(err error) bool {
	return kindOf(err) == errkind.None || codeOf(kindOf(err)) != ExitRefused && kindOf(err) != errkind.VersionConflict
}

func (a *app) printResult(r *api.PatchResult) error {
	return a.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "version %d accepted\n", r.Version)
	})
}

func (a *app) dryRun(ctx context.Context, patch *api.Patch) error {
	result, err := a.client.PublishPatch(ctx, patch, api.PublishPatchParams{DryRun: api.NewOptBool(true)})
	if err != nil {
		return err
	}
	current, err := a.client.GetConfig(ctx)
	if err != nil {
		return err
	}
	merge, err := json.Marshal(unraw(patch.Merge))
	if err != nil {
		return usage("the merge patch: %s", err)
	}
	changes, err := changesOf(current.Document, merge)
	if err != nil {
		return err
	}
	return a.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "dry run: would become version %d\n", result.Version)
		writeChanges(w, changes)
	})
}

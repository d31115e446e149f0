package ctl

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// maxRebases is the maximum number of times that a drain or undrain patch is
// rebased after a version conflict.
const maxRebases = 5

func (a *app) targetCommands(parser *flaggy.Parser) []leafCommand {
	group := attach(parser, "targets", "drain and undrain targets")
	drain := attach(group, "drain", "stop sending new requests to a target; running requests continue")
	undrain := attach(group, "undrain", "resume sending new requests to a target")
	return []leafCommand{a.drainCommand(drain, true), a.drainCommand(undrain, false)}
}

func (a *app) drainCommand(sub *flaggy.Subcommand, drained bool) leafCommand {
	name := new(string)
	wait := &waitFlags{}
	sub.AddPositionalValue(name, "TARGET", 1, true, "name of the target")
	wait.register(sub, "wait until the change is in force on every host and, for drain, no request runs at the target")
	return leafCommand{sub, func(ctx context.Context) error { return a.setDrained(ctx, *name, drained, wait) }}
}

// setDrained publishes a new value of the drained field of a target. The patch
// changes only this field, so it is safe to rebuild the patch on the version in
// force after a version conflict. setDrained does so at most maxRebases times.
func (a *app) setDrained(ctx context.Context, name string, drained bool, wait *waitFlags) error {
	result, err := a.publishDrained(ctx, name, drained)
	for rebases := 1; isConflict(err) && rebases <= maxRebases; rebases++ {
		result, err = a.publishDrained(ctx, name, drained)
	}
	if err != nil {
		return err
	}
	if err := a.printResult(result); err != nil {
		return err
	}
	if !wait.wait {
		return nil
	}
	if err := a.awaitVersion(ctx, result.Version, wait.timeout); err != nil || !drained {
		return err
	}
	return a.pollStatus(ctx, wait.timeout, func(s *api.Status) string { return stillRunning(s, name) })
}

func isConflict(err error) bool {
	e, ok := err.(*exitError)
	return ok && e.code == ExitConflict
}

func (a *app) publishDrained(ctx context.Context, name string, drained bool) (*api.PatchResult, error) {
	current, err := a.client.GetConfig(ctx)
	if err != nil {
		return nil, err
	}
	if err := checkTarget(current, name); err != nil {
		return nil, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("patch ID: %w", err)
	}
	merge, err := json.Marshal(map[string]any{name: map[string]any{"drained": drained}})
	if err != nil {
		return nil, fmt.Errorf("patch for target %q: %w", name, err)
	}
	patch := &api.Patch{Base: current.Version, PatchID: id, Merge: api.PatchMerge{"targets": merge}}
	return a.send(ctx, patch)
}

func checkTarget(current *api.ConfigVersion, name string) error {
	var targets map[string]json.RawMessage
	if text, ok := current.Document["targets"]; ok {
		if err := json.Unmarshal(text, &targets); err != nil {
			return fmt.Errorf("targets of version %d: %w", current.Version, err)
		}
	}
	if _, ok := targets[name]; !ok {
		return exitWith(ExitRefused, "%s: version %d has no target %q", errkind.UnknownTarget, current.Version, name)
	}
	return nil
}

func stillRunning(s *api.Status, name string) string {
	for _, t := range s.Targets {
		if t.ID == name && t.Running > 0 {
			return fmt.Sprintf("%d requests run at %s for owner %s", t.Running, name, t.Owner)
		}
	}
	return ""
}

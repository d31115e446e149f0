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

// maxRebases bounds how often a mark is written anew after other operators'
// patches.
const maxRebases = 5

func (a *app) targetCommands(parser *flaggy.Parser) []node {
	group := attach(parser, "targets", "keep new work off a target, or let it back")
	drain := attach(group, "drain", "send no new work to a target; what runs there goes on")
	undrain := attach(group, "undrain", "let new work to a target again")
	return []node{a.markCommand(drain, true), a.markCommand(undrain, false)}
}

func (a *app) markCommand(sub *flaggy.Subcommand, drained bool) node {
	name := new(string)
	wait := &waitFlags{}
	sub.AddPositionalValue(name, "TARGET", 1, true, "name of the target")
	wait.add(sub, "wait until every host knows and, for drain, nothing runs at the target")
	return node{sub, func(ctx context.Context) error { return a.mark(ctx, *name, drained, wait) }}
}

// mark publishes the drained mark. Its patch touches one value only, so that
// it is written anew when another operator was faster.
func (a *app) mark(ctx context.Context, name string, drained bool, wait *waitFlags) error {
	result, err := a.publishMark(ctx, name, drained)
	for rebases := 1; isConflict(err) && rebases <= maxRebases; rebases++ {
		result, err = a.publishMark(ctx, name, drained)
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
	if err := a.awaitEverywhere(ctx, result.Version, wait.timeout); err != nil || !drained {
		return err
	}
	return a.await(ctx, wait.timeout, func(s *api.Status) string { return stillRunning(s, name) })
}

func isConflict(err error) bool {
	e, ok := err.(*exitError)
	return ok && e.code == ExitConflict
}

func (a *app) publishMark(ctx context.Context, name string, drained bool) (*api.PatchResult, error) {
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
		return exit(ExitRefused, "%s: version %d has no target %q", errkind.UnknownTarget, current.Version, name)
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

package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// checkRuns checks how often the content of a request ran, summed over all
// targets: "runs NAME 0-1".
func checkRuns(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, text, err := s.nextCallAndWord(a, "count")
	if err != nil {
		return err
	}
	expected, err := parseCountRange(text)
	if err != nil {
		return err
	}
	if n := s.countRuns(c.Request.Content()); !expected.contains(n) {
		return fmt.Errorf("request %q ran %d times, not %s", c.Request.Name, n, text)
	}
	return nil
}

// checkRanAt checks that a request was sent to exactly one target and that this
// target is among the given ones: "ran-at NAME TARGET" or
// "ran-at NAME TARGET,TARGET".
func checkRanAt(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, expected, err := s.nextCallAndWord(a, "target")
	if err != nil {
		return err
	}
	run := s.harness.Runs()[c.Result().ID]
	if len(run.Targets) != 1 || !slices.Contains(strings.Split(expected, ","), string(run.Targets[0])) {
		return fmt.Errorf("request %q ran at %v, not at %s", c.Request.Name, run.Targets, expected)
	}
	return nil
}

// awaitProgress waits until the targets' combined record of a request has the
// given progress: "ended NAME cancelled".
func awaitProgress(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, expected, err := s.nextCallAndWord(a, "progress")
	if err != nil {
		return err
	}
	progress := func() target.Progress { return s.harness.Runs()[c.Result().ID].Progress }
	if !harness.Await(ctx, func() bool { return string(progress()) == expected }) {
		return fmt.Errorf("request %q is %q at its target, not %s", c.Request.Name, progress(), expected)
	}
	return nil
}

// nextCallAndWord removes the name of a request and one more word, and returns the
// request's call and that word.
func (s *state) nextCallAndWord(a *arguments, description string) (*harness.Call, string, error) {
	c, err := s.nextCall(a)
	if err != nil {
		return nil, "", err
	}
	word, err := a.nextWord(description)
	return c, word, err
}

// nextCall removes the next word, the name of a request, and returns its call.
func (s *state) nextCall(a *arguments) (*harness.Call, error) {
	name, err := a.nextWord("request")
	if err != nil {
		return nil, err
	}
	return s.call(name)
}

// awaitLeaving waits until every host shows a target as leaving and the running
// gates and dispatchers send the target no new requests: "leaving-seen TARGET".
func awaitLeaving(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("target")
	if err != nil {
		return err
	}
	var group errgroup.Group
	for _, host := range s.harness.Hosts() {
		group.Go(func() error { return awaitLeavingAt(ctx, s, string(host.ID), name) })
	}
	return group.Wait()
}

func awaitLeavingAt(ctx context.Context, s *state, host, target string) error {
	var last error
	seen := harness.Await(ctx, func() bool {
		leaving, err := s.harness.TargetLeaving(ctx, host, target)
		last = err
		return err == nil && leaving
	})
	if !seen {
		return fmt.Errorf("host %q does not show target %q as leaving: %v", host, target, last)
	}
	return nil
}

// awaitQueued waits until the number of queued requests that the status of a host
// shows for a target matches the given count or range: "queued e1 2 at=h1".
func awaitQueued(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("target")
	if err != nil {
		return err
	}
	expected, err := a.nextCountRange()
	if err != nil {
		return err
	}
	at := a.option("at", "")
	seen := -1
	var last error
	holds := harness.Await(ctx, func() bool {
		status, err := s.harness.TargetStatus(ctx, at, name)
		last = err
		seen = sum(status.Queued)
		return err == nil && expected.contains(seen)
	})
	if !holds {
		return fmt.Errorf("host %q shows %d queued requests at %q, not %s: %v", at, seen, name, expected, last)
	}
	return nil
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// checkAppends checks how many records the log has appended: "appends 0-3".
func checkAppends(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	expected, err := a.nextCountRange()
	if err != nil {
		return err
	}
	if n := s.harness.Log.Appends(); !expected.contains(n) {
		return fmt.Errorf("the log appended %d records, not %s", n, expected)
	}
	return nil
}

// awaitUnloaded waits until the dispatcher that owns a target knows that the model
// of a service is not loaded there: "unloaded e1 brief".
func awaitUnloaded(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("target")
	if err != nil {
		return err
	}
	service, err := a.nextWord("service")
	if err != nil {
		return err
	}
	if !harness.Await(ctx, func() bool { return s.harness.Unloaded(tables.TargetID(name), tables.ServiceID(service)) }) {
		return fmt.Errorf("the owner of target %q does not know that the model of service %q is not loaded", name, service)
	}
	return nil
}

// checkNotLoaded checks how many sends engines refused because the model was not
// loaded: "not-loaded 0".
func checkNotLoaded(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	expected, err := a.nextCountRange()
	if err != nil {
		return err
	}
	total := 0
	for _, run := range s.harness.Runs() {
		total += run.NotLoaded
	}
	if !expected.contains(total) {
		return fmt.Errorf("engines refused %d sends because the model was not loaded, not %s", total, expected)
	}
	return nil
}

// auditOutcomes waits until every call has ended and no request is in progress at a
// target. It then fails if the harness's audit finds a violated guarantee.
func auditOutcomes(ctx context.Context, s *state, ts *testscript.TestScript, _ *arguments) error {
	for name, c := range s.calls {
		select {
		case <-c.Done():
		case <-ctx.Done():
			return fmt.Errorf("request %q has not ended: %s", name, describe(c.Result()))
		}
	}
	if !harness.Await(ctx, func() bool { return s.harness.InProgress() == 0 }) {
		return fmt.Errorf("%d requests are still in progress at targets", s.harness.InProgress())
	}
	violations := s.harness.Audit()
	for _, v := range violations {
		ts.Logf("VIOLATION %s", v)
	}
	runs := s.harness.Runs()
	dispatches, total := 0, 0
	for _, run := range runs {
		dispatches += run.Dispatches
		total += run.Runs
	}
	ts.Logf("requests=%d identities=%d dispatches=%d runs=%d violations=%d", len(s.calls), len(runs), dispatches, total, len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%d violations of guarantees", len(violations))
	}
	return nil
}

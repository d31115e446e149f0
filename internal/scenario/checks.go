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

// checkRuns compares the runs of a request's content at all targets.
func checkRuns(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, text, err := s.callAndWord(a, "count")
	if err != nil {
		return err
	}
	expected, err := parseSpan(text)
	if err != nil {
		return err
	}
	if n := s.countRuns(c.Request.Content()); !expected.contains(n) {
		return fmt.Errorf("request %q ran %d times and not %s", c.Request.Name, n, text)
	}
	return nil
}

// checkRanAt checks which target ran a request: "ran-at NAME TARGET", or one of
// several: "ran-at NAME TARGET,TARGET".
func checkRanAt(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, expected, err := s.callAndWord(a, "target")
	if err != nil {
		return err
	}
	run := s.h.Runs()[c.Result().ID]
	if len(run.Targets) != 1 || !slices.Contains(strings.Split(expected, ","), string(run.Targets[0])) {
		return fmt.Errorf("request %q ran at %v and not at %s", c.Request.Name, run.Targets, expected)
	}
	return nil
}

// awaitEnded waits until the target of a request records an end: "ended NAME
// cancelled".
func awaitEnded(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, expected, err := s.callAndWord(a, "progress")
	if err != nil {
		return err
	}
	progress := func() target.Progress { return s.h.Runs()[c.Result().ID].Progress }
	if !harness.Await(ctx, func() bool { return string(progress()) == expected }) {
		return fmt.Errorf("request %q is %q at its target and not %s", c.Request.Name, progress(), expected)
	}
	return nil
}

func (s *state) callAndWord(a *arguments, what string) (*harness.Call, string, error) {
	c, err := s.nextCall(a)
	if err != nil {
		return nil, "", err
	}
	word, err := a.word(what)
	return c, word, err
}

// nextCall takes the name of a request from the words and returns its call.
func (s *state) nextCall(a *arguments) (*harness.Call, error) {
	name, err := a.word("request")
	if err != nil {
		return nil, err
	}
	return s.call(name)
}

// awaitLeaving waits until every host shows a target as leaving.
func awaitLeaving(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("target")
	if err != nil {
		return err
	}
	var group errgroup.Group
	for _, host := range s.h.Hosts() {
		group.Go(func() error { return awaitLeavingAt(ctx, s, string(host.ID), name) })
	}
	return group.Wait()
}

func awaitLeavingAt(ctx context.Context, s *state, host, target string) error {
	var last error
	seen := harness.Await(ctx, func() bool {
		leaving, err := s.h.TargetLeaving(ctx, host, target)
		last = err
		return err == nil && leaving
	})
	if !seen {
		return fmt.Errorf("host %q does not show target %q as leaving: %v", host, target, last)
	}
	return nil
}

// awaitQueued waits until a host shows a number of requests in the queue of a
// target: "queued e1 2 at=h1".
func awaitQueued(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("target")
	if err != nil {
		return err
	}
	expected, err := a.span()
	if err != nil {
		return err
	}
	at := a.option("at", "")
	seen := -1
	var last error
	holds := harness.Await(ctx, func() bool {
		status, err := s.h.TargetStatus(ctx, at, name)
		last = err
		seen = sum(status.Queued)
		return err == nil && expected.contains(seen)
	})
	if !holds {
		return fmt.Errorf("host %q shows %d queued requests at %q and not %s: %v", at, seen, name, expected, last)
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

// checkAppends compares the records that the log has taken.
func checkAppends(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	expected, err := a.span()
	if err != nil {
		return err
	}
	if n := s.h.Log.Appends(); !expected.contains(n) {
		return fmt.Errorf("the log took %d records and not %s", n, expected)
	}
	return nil
}

// awaitUnloaded waits until the owner of a target knows that it lacks the model
// of a service: "unloaded e1 brief".
func awaitUnloaded(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("target")
	if err != nil {
		return err
	}
	service, err := a.word("service")
	if err != nil {
		return err
	}
	if !harness.Await(ctx, func() bool { return s.h.Unloaded(tables.TargetID(name), tables.ServiceID(service)) }) {
		return fmt.Errorf("the owner of target %q takes it to hold the model of service %q", name, service)
	}
	return nil
}

// checkNotLoaded compares the sends that engines refused for their models.
func checkNotLoaded(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	expected, err := a.span()
	if err != nil {
		return err
	}
	total := 0
	for _, run := range s.h.Runs() {
		total += run.NotLoaded
	}
	if !expected.contains(total) {
		return fmt.Errorf("engines refused %d sends for their models and not %s", total, expected)
	}
	return nil
}

// audit waits until every request has ended and no target runs anything, and
// then checks the promises against the targets' records.
func audit(ctx context.Context, s *state, ts *testscript.TestScript, _ *arguments) error {
	for name, c := range s.calls {
		select {
		case <-c.Done():
		case <-ctx.Done():
			return fmt.Errorf("request %q has not ended: %s", name, describe(c.Result()))
		}
	}
	if !harness.Await(ctx, func() bool { return s.h.InProgress() == 0 }) {
		return fmt.Errorf("%d requests still run at targets", s.h.InProgress())
	}
	violations := s.h.Audit()
	for _, v := range violations {
		ts.Logf("VIOLATION %s", v)
	}
	runs := s.h.Runs()
	dispatches, total := 0, 0
	for _, run := range runs {
		dispatches += run.Dispatches
		total += run.Runs
	}
	ts.Logf("requests=%d identities=%d dispatches=%d runs=%d violations=%d", len(s.calls), len(runs), dispatches, total, len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%d promises were broken", len(violations))
	}
	return nil
}

package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// acceptedOutcomes is a list of outcomes that a command accepts. Each is "whole",
// for a complete answer, or an error kind.
type acceptedOutcomes []string

const outcomeComplete = "whole"

func parseAcceptedOutcomes(text string) (acceptedOutcomes, error) {
	outcomes := acceptedOutcomes(strings.Split(text, ","))
	for _, word := range outcomes {
		kind := errkind.Kind(word)
		if word != outcomeComplete && kind != harness.KindConnectionLost && !kind.Valid() {
			return nil, fmt.Errorf("%q is neither whole nor an error kind", word)
		}
	}
	return outcomes, nil
}

func (o acceptedOutcomes) accepts(outcome string) bool { return slices.Contains(o, outcome) }

// outcomeOf returns "whole" for a complete answer, else the kind of the error. It
// is empty while the call has not ended.
func outcomeOf(r harness.Result) string {
	if r.Complete {
		return outcomeComplete
	}
	return string(r.Kind)
}

// describe returns a result as one line for logs and errors.
func describe(r harness.Result) string {
	outcome := outcomeOf(r)
	if outcome == "" {
		outcome = "no outcome"
	}
	return fmt.Sprintf("%s, ran=%s, %d tokens, status %d, %q", outcome, r.Ran, r.Tokens, r.Status, r.Detail)
}

// awaitResult waits until a call has ended and checks its outcome:
// "result NAME whole" or "result NAME KIND,KIND ran=not_run".
func awaitResult(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	c, text, err := s.nextCallAndWord(a, "expected outcome")
	if err != nil {
		return err
	}
	name := c.Request.Name
	expected, err := parseAcceptedOutcomes(text)
	if err != nil {
		return err
	}
	select {
	case <-c.Done():
	case <-ctx.Done():
		return fmt.Errorf("request %q has not ended: %s", name, describe(c.Result()))
	}
	r := c.Result()
	ts.Logf("%s: %s", name, describe(r))
	if !expected.accepts(outcomeOf(r)) {
		return fmt.Errorf("request %q ended with %s, not with %s", name, describe(r), text)
	}
	if ran := errkind.RanState(a.option("ran", string(r.Ran))); ran != r.Ran {
		return fmt.Errorf("request %q ended with ran=%s, not %s", name, r.Ran, ran)
	}
	return nil
}

// lookUp queries a host for the status of a request until the host reports an
// accepted outcome: "lookup NAME whole at=h2".
func lookUp(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	c, text, err := s.nextCallAndWord(a, "expected outcome")
	if err != nil {
		return err
	}
	name := c.Request.Name
	expected, err := parseAcceptedOutcomes(text)
	if err != nil {
		return err
	}
	if !harness.Await(ctx, func() bool { return c.Result().ID != "" }) {
		return fmt.Errorf("request %q has no ID", name)
	}
	at := a.option("at", c.Host)
	var outcome string
	var last error
	harness.Await(ctx, func() bool {
		outcome, last = s.lookUpOnce(ctx, at, c)
		return last == nil && expected.accepts(outcome)
	})
	ts.Logf("%s at %s: %s", name, at, outcome)
	if last != nil {
		return last
	}
	if !expected.accepts(outcome) {
		return fmt.Errorf("request %q is reported by %q as %s, not as %s", name, at, outcome, text)
	}
	return nil
}

// lookUpOnce queries a host for the status of a request. It returns the outcome, or
// "state STATE" if there is none. It returns an error if the host reports an answer
// that is not the request's own.
func (s *state) lookUpOnce(ctx context.Context, at string, c *harness.Call) (string, error) {
	id := c.Result().ID
	status, err := s.harness.Lookup(ctx, at, c.Request.CustomerKey, id)
	if err != nil {
		return "", err
	}
	if status.Answer == nil {
		if status.Kind == errkind.None {
			return "state " + status.State, nil
		}
		return string(status.Kind), nil
	}
	if expected := c.Expected(s.harness.Runs()[id]); *status.Answer != expected {
		return "", fmt.Errorf("request %q has an answer that is not its own: %.60q", c.Request.Name, *status.Answer)
	}
	return outcomeComplete, nil
}

// countRuns returns how often requests with the given content ran at all targets.
func (s *state) countRuns(content string) int {
	total := 0
	for _, run := range s.harness.Runs() {
		if run.Content == content {
			total += run.Runs
		}
	}
	return total
}

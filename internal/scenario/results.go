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

// expectation is a list of accepted ends: "whole" or kinds.
type expectation []string

const endWhole = "whole"

func parseExpectation(text string) (expectation, error) {
	e := expectation(strings.Split(text, ","))
	for _, word := range e {
		kind := errkind.Kind(word)
		if word != endWhole && kind != harness.KindConnectionLost && !kind.Valid() {
			return nil, fmt.Errorf("%q is neither whole nor a kind", word)
		}
	}
	return e, nil
}

func (e expectation) accepts(end string) bool { return slices.Contains(e, end) }

func endOf(r harness.Result) string {
	if r.Whole {
		return endWhole
	}
	return string(r.Kind)
}

func describe(r harness.Result) string {
	end := endOf(r)
	if end == "" {
		end = "no end"
	}
	return fmt.Sprintf("%s, ran=%s, %d tokens, status %d, %q", end, r.Ran, r.Tokens, r.Status, r.Detail)
}

// awaitResult waits for the end of a request: "result NAME whole" or
// "result NAME KIND,KIND ran=not_run".
func awaitResult(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	c, text, err := s.callAndWord(a, "expected end")
	if err != nil {
		return err
	}
	name := c.Request.Name
	expected, err := parseExpectation(text)
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
	if !expected.accepts(endOf(r)) {
		return fmt.Errorf("request %q ended with %s and not with %s", name, describe(r), text)
	}
	if ran := errkind.RanState(a.option("ran", string(r.Ran))); ran != r.Ran {
		return fmt.Errorf("request %q was told ran=%s and not %s", name, r.Ran, ran)
	}
	return nil
}

// lookUp asks a host for the outcome of a request until it has one.
func lookUp(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	c, text, err := s.callAndWord(a, "expected end")
	if err != nil {
		return err
	}
	name := c.Request.Name
	expected, err := parseExpectation(text)
	if err != nil {
		return err
	}
	if !harness.Await(ctx, func() bool { return c.Result().ID != "" }) {
		return fmt.Errorf("request %q has no ID", name)
	}
	at := a.option("at", c.Host)
	var end string
	var last error
	harness.Await(ctx, func() bool {
		end, last = s.lookUpOnce(ctx, at, c)
		return last == nil && expected.accepts(end)
	})
	ts.Logf("%s at %s: %s", name, at, end)
	if last != nil {
		return last
	}
	if !expected.accepts(end) {
		return fmt.Errorf("request %q is known at %q as %s and not as %s", name, at, end, text)
	}
	return nil
}

// lookUpOnce returns the end of a request as a host knows it.
func (s *state) lookUpOnce(ctx context.Context, at string, c *harness.Call) (string, error) {
	id := c.Result().ID
	status, err := s.h.Lookup(ctx, at, c.Request.CustomerKey, id)
	if err != nil {
		return "", err
	}
	if status.Answer == nil {
		if status.Kind == errkind.None {
			return "state " + status.State, nil
		}
		return string(status.Kind), nil
	}
	if expected := c.Expected(s.h.Runs()[id]); *status.Answer != expected {
		return "", fmt.Errorf("request %q has an answer that is not its own: %.60q", c.Request.Name, *status.Answer)
	}
	return endWhole, nil
}

func (s *state) countRuns(content string) int {
	total := 0
	for _, run := range s.h.Runs() {
		if run.Content == content {
			total += run.Runs
		}
	}
	return total
}

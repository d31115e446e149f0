package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// defaultTokens is the answer length of a request that names none.
const defaultTokens = 40

// customerKeys maps the customers of the standard configuration to their keys.
var customerKeys = map[string]string{"museum": harness.MuseumKey, "workshop": harness.WorkshopKey}

// send sends a request in the background.
func send(_ context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.word("request")
	if err != nil {
		return err
	}
	r, err := s.request(name, ts, a)
	if err != nil {
		return err
	}
	return s.sendAt(a.option("at", ""), r)
}

func (s *state) sendAt(host string, r harness.Request) error {
	if s.calls[r.Name] != nil {
		return fmt.Errorf("request %q was sent before", r.Name)
	}
	c, err := s.h.Send(host, r)
	if err != nil {
		return err
	}
	s.calls[r.Name] = c
	return nil
}

func (s *state) request(name string, ts *testscript.TestScript, a *arguments) (harness.Request, error) {
	r := harness.Request{Name: name, Operation: a.option("op", ""), Tier: a.option("tier", "")}
	customer := a.option("as", "museum")
	r.CustomerKey = customer
	if key, ok := customerKeys[customer]; ok {
		r.CustomerKey = key
	}
	r.Service = a.option("service", harness.ModelService)
	r.Body = a.option("prompt", "request "+name)
	if r.Operation != "" {
		r.Service = a.option("service", harness.PlainService)
		r.Body = a.option("body", fmt.Sprintf(`{"request":%q}`, name))
	}
	if file := a.option("raw", ""); file != "" {
		r.Raw = ts.ReadFile(file)
	}
	var err error
	if r.Deadline, err = a.duration("deadline", 0); err != nil {
		return r, err
	}
	if r.MaxTokens, err = a.number("tokens", defaultTokens); err != nil {
		return r, err
	}
	if padding, err := a.number("pad", 0); err != nil {
		return r, err
	} else if padding > 0 {
		r.Body += strings.Repeat(" pad", padding/len(" pad"))
	}
	r.Key = a.option("raw-key", "")
	if keyName := a.option("key", ""); keyName != "" {
		r.Key = s.key(keyName)
	}
	return r, nil
}

// key returns the idempotency key of a name and mints it at the first use.
func (s *state) key(name string) string {
	if s.keys[name] == "" {
		s.keys[name] = uuid.Must(uuid.NewV7()).String()
	}
	return s.keys[name]
}

// resend sends a request again, with the same content and key.
func resend(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("request")
	if err != nil {
		return err
	}
	old, err := s.call(a.option("of", ""))
	if err != nil {
		return err
	}
	r := old.Request
	r.Name = name
	return s.sendAt(a.option("at", old.Host), r)
}

// retryPause is the time between two attempts of retry.
const retryPause = 200 * time.Millisecond

// retry sends a request again and again while it is refused as not run, until
// it ends as expected: "retry NAME of=OLD at=h2 whole".
func retry(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.word("request")
	if err != nil {
		return err
	}
	text, err := a.word("expected end")
	if err != nil {
		return err
	}
	expected, err := parseExpectation(text)
	if err != nil {
		return err
	}
	old, err := s.call(a.option("of", ""))
	if err != nil {
		return err
	}
	at := a.option("at", old.Host)
	for attempt := 1; ; attempt++ {
		r := old.Request
		r.Name = fmt.Sprintf("%s-%d", name, attempt)
		result, err := s.sendAndWait(ctx, at, r)
		if err != nil {
			return err
		}
		ts.Logf("%s: %s", r.Name, describe(result))
		if expected.accepts(endOf(result)) {
			return nil
		}
		if result.Ran != errkind.RanNo || !pause(ctx, retryPause) {
			return fmt.Errorf("request %q ended with %s and not with %s", r.Name, describe(result), text)
		}
	}
}

func (s *state) sendAndWait(ctx context.Context, at string, r harness.Request) (harness.Result, error) {
	if err := s.sendAt(at, r); err != nil {
		return harness.Result{}, err
	}
	c := s.calls[r.Name]
	select {
	case <-c.Done():
		return c.Result(), nil
	case <-ctx.Done():
		return harness.Result{}, fmt.Errorf("request %q has not ended: %s", r.Name, describe(c.Result()))
	}
}

// pause waits for d and returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// leave closes the caller's connection of a request.
func leave(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("request")
	if err != nil {
		return err
	}
	c, err := s.call(name)
	if err != nil {
		return err
	}
	c.Leave()
	return nil
}

// awaitTokens waits until a caller has a number of tokens.
func awaitTokens(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("request")
	if err != nil {
		return err
	}
	c, err := s.call(name)
	if err != nil {
		return err
	}
	least, err := a.number("least", 1)
	if err != nil {
		return err
	}
	if !harness.Await(ctx, func() bool { return c.Result().Tokens >= least }) {
		return fmt.Errorf("request %q has %s and not %d tokens", name, describe(c.Result()), least)
	}
	return nil
}

// awaitRunning waits until requests run at a target.
func awaitRunning(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	for _, name := range a.rest() {
		c, err := s.call(name)
		if err != nil {
			return err
		}
		if !harness.Await(ctx, func() bool { return s.countRuns(c.Request.Content()) > 0 }) {
			return fmt.Errorf("request %q runs nowhere; its caller has %s", name, describe(c.Result()))
		}
	}
	return nil
}

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
	if ran := errkind.Ran(a.option("ran", string(r.Ran))); ran != r.Ran {
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

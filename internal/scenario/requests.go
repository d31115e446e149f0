package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// defaultTokens is max_tokens of a generation without the option tokens.
const defaultTokens = 40

// customerKeys maps the customers of the standard configuration to their API keys.
var customerKeys = map[string]string{"museum": harness.MuseumKey, "workshop": harness.WorkshopKey}

// send sends a request and does not wait for the response.
func send(_ context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("request")
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
	c, err := s.harness.Send(host, r)
	if err != nil {
		return err
	}
	s.calls[r.Name] = c
	return nil
}

// request builds a request from the options of a command.
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

// key returns the idempotency key with the given name. It generates the key at the
// first use of the name.
func (s *state) key(name string) string {
	if s.keys[name] == "" {
		s.keys[name] = uuid.Must(uuid.NewV7()).String()
	}
	return s.keys[name]
}

// resend sends a copy of an earlier request, with the same content and key:
// "resend NAME of=OLD at=h2".
func resend(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("request")
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

// retryInterval is the delay between two attempts of retry.
const retryInterval = 200 * time.Millisecond

// retry sends copies of an earlier request, one after the other, until one ends
// with an accepted outcome: "retry NAME of=OLD at=h2 whole". After an outcome that
// is not accepted, it sends another copy if the request did not run (ran=not_run),
// and fails otherwise.
func retry(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("request")
	if err != nil {
		return err
	}
	text, err := a.nextWord("expected outcome")
	if err != nil {
		return err
	}
	expected, err := parseAcceptedOutcomes(text)
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
		if expected.accepts(outcomeOf(result)) {
			return nil
		}
		if result.Ran != errkind.RanNo || !sleep(ctx, retryInterval) {
			return fmt.Errorf("request %q ended with %s, not with %s", r.Name, describe(result), text)
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

// sleep waits for d and returns true. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// disconnect closes the caller's connection for a request: "leave NAME".
func disconnect(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, err := s.nextCall(a)
	if err != nil {
		return err
	}
	c.Disconnect()
	return nil
}

// awaitTokens waits until a caller has received at least the given number of
// tokens: "tokens NAME least=3".
func awaitTokens(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	c, err := s.nextCall(a)
	if err != nil {
		return err
	}
	least, err := a.number("least", 1)
	if err != nil {
		return err
	}
	if !harness.Await(ctx, func() bool { return c.Result().Tokens >= least }) {
		return fmt.Errorf("request %q has %s, not %d tokens", c.Request.Name, describe(c.Result()), least)
	}
	return nil
}

// awaitRunning waits until, for each named request, a run with the same content has
// started at a target: "running NAME NAME".
func awaitRunning(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	for _, name := range a.remainingWords() {
		c, err := s.call(name)
		if err != nil {
			return err
		}
		if !harness.Await(ctx, func() bool { return s.countRuns(c.Request.Content()) > 0 }) {
			return fmt.Errorf("request %q has not started at a target; its caller has %s", name, describe(c.Result()))
		}
	}
	return nil
}

package scenario

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// startHosts starts hosts, given as name=domain: "hosts h1=a h2=b".
func startHosts(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	for _, pair := range a.unusedOptions() {
		if _, err := s.harness.StartHost(pair[0], pair[1]); err != nil {
			return err
		}
	}
	return nil
}

// restartHost kills the processes of a host that still run, and starts the host
// again: "restart h1".
func restartHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	old, err := s.nextHost(a)
	if err != nil {
		return err
	}
	old.Kill()
	_, err = s.harness.StartHost(string(old.ID), old.Domain)
	return err
}

// crashHost kills all processes of a host, "crash h1", or the named ones,
// "crash h1 gate".
func crashHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, err := s.nextHost(a)
	if err != nil {
		return err
	}
	host.Kill(a.remainingWords()...)
	return nil
}

// shutDownHost begins a graceful shutdown of a host and does not wait for its end.
// All processes stop at the same time, or one after the other with the option
// order: "shutdown h1 order=gate,dispatcher,controller".
func shutDownHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, err := s.nextHost(a)
	if err != nil {
		return err
	}
	stop := host.Stop
	if order := a.option("order", ""); order != "" {
		stop = func(ctx context.Context) { host.StopInOrder(ctx, strings.Split(order, ",")...) }
	}
	done := make(chan struct{})
	s.stopping[string(host.ID)] = done
	go func() {
		defer close(done)
		stop(context.Background())
	}()
	return nil
}

// awaitStopped waits until the graceful shutdown of a host has ended.
func awaitStopped(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("host")
	if err != nil {
		return err
	}
	done := s.stopping[name]
	if done == nil {
		return fmt.Errorf("shutdown of host %q was not begun", name)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("shutdown of host %q has not ended", name)
	}
}

// addEngine starts a model engine and sets $NAME to its address.
func addEngine(_ context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("engine")
	if err != nil {
		return err
	}
	o, err := engineOptions(a)
	if err != nil {
		return err
	}
	t, err := s.harness.AddEngine(name, a.option("domain", "a"), o)
	if err != nil {
		return err
	}
	ts.Setenv(name, t.Address)
	return nil
}

func engineOptions(a *arguments) (engine.Options, error) {
	var o engine.Options
	var err error
	if o.Step, err = a.duration("step", 0); err != nil {
		return o, err
	}
	if o.RestartAfter, err = a.duration("restart", 0); err != nil {
		return o, err
	}
	if o.BatchMax, err = a.number("batch", 0); err != nil {
		return o, err
	}
	o.ChecksFencing, err = strconv.ParseBool(a.option("checks-fencing", "false"))
	return o, err
}

// addPlain starts a plain service and sets $NAME to its address.
func addPlain(_ context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("plain service")
	if err != nil {
		return err
	}
	var o plain.Options
	if o.Delay, err = a.duration("delay", 0); err != nil {
		return err
	}
	if o.RestartAfter, err = a.duration("restart", 0); err != nil {
		return err
	}
	t, err := s.harness.AddPlain(name, a.option("domain", "a"), o)
	if err != nil {
		return err
	}
	ts.Setenv(name, t.Address)
	return nil
}

// listStates maps the states of the list command to those of the host list.
// "gone" removes the entry.
var listStates = map[string]tables.HostState{"live": tables.HostLive, "leaving": tables.HostLeaving, "gone": ""}

// setListState sets the state of a target or host in the host list:
// "list e1 leaving".
func setListState(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("target or host")
	if err != nil {
		return err
	}
	stateName, err := a.nextWord("state")
	if err != nil {
		return err
	}
	listState, ok := listStates[stateName]
	if !ok {
		return fmt.Errorf("state %q is not live, leaving or gone", stateName)
	}
	if _, err := s.harness.Target(name); err == nil {
		s.harness.List.MarkTarget(tables.TargetID(name), listState)
		return nil
	}
	if _, err := s.harness.Host(name); err != nil {
		return fmt.Errorf("%q is neither a target nor a host", name)
	}
	s.harness.List.MarkHost(tables.HostID(name), listState)
	return nil
}

// configure publishes the standard configuration and waits until it is in force on
// every host with a running gate. The option "with" names a file with a merge patch
// that is applied to the configuration first.
func configure(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	hosts := s.harness.Hosts()
	if len(hosts) == 0 {
		return fmt.Errorf("no host was started")
	}
	var change []byte
	if file := a.option("with", ""); file != "" {
		change = []byte(ts.ReadFile(file))
	}
	return s.harness.ConfigureWith(ctx, a.option("at", string(hosts[0].ID)), change)
}

// publish publishes a merge patch from a file. In the file, $NAME is replaced by
// the address of the target NAME.
func publish(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	file, err := a.nextWord("file")
	if err != nil {
		return err
	}
	at := a.option("at", "")
	host, err := s.harness.Host(at)
	if err != nil {
		return err
	}
	base, err := a.number("base", int(host.Version()))
	if err != nil {
		return err
	}
	merge := os.Expand(ts.ReadFile(file), ts.Getenv)
	p, err := s.harness.Publish(ctx, at, uint64(base), a.option("id", ""), []byte(merge))
	if err != nil {
		return err
	}
	if expected := errkind.Kind(a.option("expect", "")); p.Kind != expected {
		return fmt.Errorf("got kind %q and not %q: %s", p.Kind, expected, p.Detail)
	}
	ts.Logf("version %d", p.Version)
	return nil
}

// awaitVersion waits until every host with a running gate is ready and has the given
// version, or a higher one, in force.
func awaitVersion(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	text, err := a.nextWord("version")
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("version %q is not a number", text)
	}
	return s.harness.AwaitVersion(ctx, version)
}

// nextHost removes the next word, the name of a host, and returns the host.
func (s *state) nextHost(a *arguments) (*harness.Host, error) {
	name, err := a.nextWord("host")
	if err != nil {
		return nil, err
	}
	return s.harness.Host(name)
}

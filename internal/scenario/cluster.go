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

// startHosts starts hosts: "hosts h1=a h2=b" names each with its domain.
func startHosts(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	for _, pair := range a.pairs() {
		if _, err := s.h.StartHost(pair[0], pair[1]); err != nil {
			return err
		}
	}
	return nil
}

// restartHost starts a host again after kill or stop.
func restartHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	old, err := s.hostOf(a)
	if err != nil {
		return err
	}
	old.Kill()
	_, err = s.h.StartHost(string(old.ID), old.Domain)
	return err
}

// crashHost ends a host, or the named processes of it, at once.
func crashHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, err := s.hostOf(a)
	if err != nil {
		return err
	}
	host.Kill(a.rest()...)
	return nil
}

// shutDownHost starts a graceful shutdown of all processes at once, or one after
// the other: "shutdown h1 order=gate,dispatcher,controller".
func shutDownHost(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	host, err := s.hostOf(a)
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

// awaitStopped waits until the graceful shutdown of a host is over.
func awaitStopped(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("host")
	if err != nil {
		return err
	}
	done := s.stopping[name]
	if done == nil {
		return fmt.Errorf("host %q was not told to stop", name)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("host %q still runs", name)
	}
}

// addEngine starts a model engine and sets $NAME to its address.
func addEngine(_ context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	name, err := a.word("engine")
	if err != nil {
		return err
	}
	o, err := engineOptions(a)
	if err != nil {
		return err
	}
	t, err := s.h.AddEngine(name, a.option("domain", "a"), o)
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
	name, err := a.word("plain service")
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
	t, err := s.h.AddPlain(name, a.option("domain", "a"), o)
	if err != nil {
		return err
	}
	ts.Setenv(name, t.Address)
	return nil
}

// listStates are the words of the host list; "gone" takes an entry out.
var listStates = map[string]tables.HostState{"live": tables.HostLive, "leaving": tables.HostLeaving, "gone": ""}

// markListed sets the state of a target or host in the host list.
func markListed(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("target or host")
	if err != nil {
		return err
	}
	word, err := a.word("state")
	if err != nil {
		return err
	}
	mark, ok := listStates[word]
	if !ok {
		return fmt.Errorf("state %q is none of live, leaving and gone", word)
	}
	if _, err := s.h.Target(name); err == nil {
		s.h.List.MarkTarget(tables.TargetID(name), mark)
		return nil
	}
	if _, err := s.h.Host(name); err != nil {
		return fmt.Errorf("%q is no target and no host", name)
	}
	s.h.List.MarkHost(tables.HostID(name), mark)
	return nil
}

// configure publishes the standard configuration, with the merge patch of a
// file if the option with names one, and waits for it.
func configure(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	hosts := s.h.Hosts()
	if len(hosts) == 0 {
		return fmt.Errorf("no host runs")
	}
	var change []byte
	if file := a.option("with", ""); file != "" {
		change = []byte(ts.ReadFile(file))
	}
	return s.h.ConfigureWith(ctx, a.option("at", string(hosts[0].ID)), change)
}

// publish publishes a merge patch from a file, in which $NAME stands for the
// address of a target.
func publish(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error {
	file, err := a.word("file")
	if err != nil {
		return err
	}
	at := a.option("at", "")
	host, err := s.h.Host(at)
	if err != nil {
		return err
	}
	base, err := a.number("base", int(host.Version()))
	if err != nil {
		return err
	}
	merge := os.Expand(ts.ReadFile(file), ts.Getenv)
	p, err := s.h.Publish(ctx, at, uint64(base), a.option("id", ""), []byte(merge))
	if err != nil {
		return err
	}
	if expected := errkind.Kind(a.option("expect", "")); p.Kind != expected {
		return fmt.Errorf("got kind %q and not %q: %s", p.Kind, expected, p.Detail)
	}
	ts.Logf("version %d", p.Version)
	return nil
}

// awaitVersion waits until a version is in force on every running host.
func awaitVersion(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	text, err := a.word("version")
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("version %q is no number", text)
	}
	return s.h.AwaitVersion(ctx, version)
}

// hostOf returns the host that a command names next.
func (s *state) hostOf(a *arguments) (*harness.Host, error) {
	name, err := a.word("host")
	if err != nil {
		return nil, err
	}
	return s.h.Host(name)
}

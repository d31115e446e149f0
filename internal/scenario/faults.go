package scenario

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// fault sets a switch: "fault NAME ACTION" or "fault NAME ACTION=VALUE". NAME
// is log, list, weights, a target or a host.
func fault(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("name")
	if err != nil {
		return err
	}
	actions := a.pairs()
	for _, word := range a.rest() {
		actions = append(actions, [2]string{word, ""})
	}
	if len(actions) == 0 {
		return fmt.Errorf("action for %q is missing", name)
	}
	for _, action := range actions {
		if err := s.setFault(name, action[0], action[1]); err != nil {
			return fmt.Errorf("%s %s=%s: %w", name, action[0], action[1], err)
		}
	}
	return nil
}

func (s *state) setFault(name, action, value string) error {
	switch name {
	case "log":
		return s.setLogFault(action, value)
	case "list":
		return setDown(s.h.List.SetDown, action)
	case "weights":
		return setDown(s.h.Weights.SetDown, action)
	}
	if host, err := s.h.Host(name); err == nil {
		if action != "silent" {
			return errUnknownAction
		}
		host.SilencePeers()
		return nil
	}
	t, err := s.h.Target(name)
	if err != nil {
		return err
	}
	return setTargetFault(t, action, value)
}

var errUnknownAction = fmt.Errorf("unknown action")

func setDown(set func(bool), action string) error {
	if action != "down" && action != "up" {
		return errUnknownAction
	}
	set(action == "down")
	return nil
}

func (s *state) setLogFault(action, value string) error {
	switch action {
	case "silent":
		s.h.SilenceLog()
		return nil
	case "delay":
		return withDuration(value, s.h.Log.SetDelay)
	case "lose-answers":
		return withNumber(value, s.h.Log.LoseAnswers)
	case "lose-requests":
		return withNumber(value, s.h.Log.LoseRequests)
	}
	return setDown(s.h.Log.SetDown, action)
}

// switches are the faults that engines and plain services share.
type switches interface {
	Crash()
	Restart() error
	CrashOn(part string)
	SilenceConns()
	LoseSends(n int)
	LoseAnswers(n int)
	Lost() (sends, answers int)
}

// awaitLost waits until a target has lost a number of sends and answers:
// "lost e1 2".
func awaitLost(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.word("target")
	if err != nil {
		return err
	}
	t, err := s.h.Target(name)
	if err != nil {
		return err
	}
	text, err := a.word("count")
	if err != nil {
		return err
	}
	expected, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("count %q is no number", text)
	}
	lost := func() int {
		sends, answers := switchesOf(t).Lost()
		return sends + answers
	}
	if !harness.Await(ctx, func() bool { return lost() >= expected }) {
		return fmt.Errorf("target %q has lost %d messages and not %d", name, lost(), expected)
	}
	return nil
}

func switchesOf(t *harness.Target) switches {
	if t.Engine != nil {
		return t.Engine
	}
	return t.Plain
}

func setTargetFault(t *harness.Target, action, value string) error {
	switch {
	case action == "straggle" && t.Engine != nil:
		return withFactor(value, t.Engine.SetSlowdown)
	case action == "fail-runs" && t.Plain != nil:
		return withNumber(value, t.Plain.FailRuns)
	}
	return setSwitch(switchesOf(t), action, value)
}

func setSwitch(s switches, action, value string) error {
	switch action {
	case "crash":
		s.Crash()
	case "restart":
		return s.Restart()
	case "crash-on":
		s.CrashOn(value)
	case "silent":
		s.SilenceConns()
	case "lose-sends":
		return withNumber(value, s.LoseSends)
	case "lose-answers":
		return withNumber(value, s.LoseAnswers)
	default:
		return errUnknownAction
	}
	return nil
}

func withNumber(value string, set func(int)) error {
	n, err := strconv.Atoi(value)
	if err != nil {
		return err
	}
	set(n)
	return nil
}

func withFactor(value string, set func(float64)) error {
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	set(f)
	return nil
}

func withDuration(value string, set func(time.Duration)) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	set(d)
	return nil
}

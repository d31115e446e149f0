package scenario

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// fault injects or ends faults: "fault NAME ACTION" or "fault NAME ACTION=VALUE".
// NAME is log, list, weights, a host or a target.
func fault(_ context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("name")
	if err != nil {
		return err
	}
	actions := a.unusedOptions()
	for _, word := range a.remainingWords() {
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
		return setDown(s.harness.List.SetDown, action)
	case "weights":
		return setDown(s.harness.Weights.SetDown, action)
	}
	if host, err := s.harness.Host(name); err == nil {
		return setHostFault(host, action, value)
	}
	t, err := s.harness.Target(name)
	if err != nil {
		return err
	}
	return setTargetFault(t, action, value)
}

func setHostFault(host *harness.Host, action, value string) error {
	switch action {
	case "silent":
		host.SilencePeers()
	case "suspend":
		return setDuration(value, host.Suspend)
	case "no-targets":
		host.CutOffTargets(true)
	case "targets":
		host.CutOffTargets(false)
	default:
		return errUnknownAction
	}
	return nil
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
		s.harness.SilenceLog()
		return nil
	case "delay":
		return setDuration(value, s.harness.Log.SetDelay)
	case "lose-answers":
		return setNumber(value, s.harness.Log.LoseAnswers)
	case "lose-requests":
		return setNumber(value, s.harness.Log.LoseRequests)
	}
	return setDown(s.harness.Log.SetDown, action)
}

// faultInjector contains the fault-injection methods that the stand-ins for engines
// and for plain services have in common.
type faultInjector interface {
	Crash()
	Restart() error
	CrashOn(substring string)
	SilenceConns()
	Suspend(d time.Duration)
	LoseSends(n int)
	LoseAnswers(n int)
	Lost() (sends, answers int)
}

// awaitLost waits until a target has lost at least the given number of sends and
// answers in total: "lost e1 2".
func awaitLost(ctx context.Context, s *state, _ *testscript.TestScript, a *arguments) error {
	name, err := a.nextWord("target")
	if err != nil {
		return err
	}
	t, err := s.harness.Target(name)
	if err != nil {
		return err
	}
	text, err := a.nextWord("count")
	if err != nil {
		return err
	}
	expected, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("count %q is not a number", text)
	}
	lost := func() int {
		sends, answers := faultInjectorOf(t).Lost()
		return sends + answers
	}
	if !harness.Await(ctx, func() bool { return lost() >= expected }) {
		return fmt.Errorf("target %q has lost %d messages, not %d", name, lost(), expected)
	}
	return nil
}

func faultInjectorOf(t *harness.Target) faultInjector {
	if t.Engine != nil {
		return t.Engine
	}
	return t.Plain
}

func setTargetFault(t *harness.Target, action, value string) error {
	switch {
	case action == "straggle" && t.Engine != nil:
		return setFactor(value, t.Engine.SetSlowdown)
	case action == "fail-runs" && t.Plain != nil:
		return setNumber(value, t.Plain.FailRuns)
	}
	return injectFault(faultInjectorOf(t), action, value)
}

func injectFault(s faultInjector, action, value string) error {
	switch action {
	case "crash":
		s.Crash()
	case "restart":
		return s.Restart()
	case "crash-on":
		s.CrashOn(value)
	case "silent":
		s.SilenceConns()
	case "suspend":
		return setDuration(value, s.Suspend)
	case "lose-sends":
		return setNumber(value, s.LoseSends)
	case "lose-answers":
		return setNumber(value, s.LoseAnswers)
	default:
		return errUnknownAction
	}
	return nil
}

func setNumber(value string, set func(int)) error {
	n, err := strconv.Atoi(value)
	if err != nil {
		return err
	}
	set(n)
	return nil
}

func setFactor(value string, set func(float64)) error {
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	set(f)
	return nil
}

func setDuration(value string, set func(time.Duration)) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	set(d)
	return nil
}

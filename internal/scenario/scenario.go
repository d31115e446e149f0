// Package scenario is the test language of scenarios/*.txtar: commands for
// testscript that run hosts and stand-ins, send requests, switch faults and
// check outcomes. docs/scenarios.md describes it.
package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/observe"
)

const (
	// defaultTimeout bounds the wait of one command.
	defaultTimeout = 20 * time.Second
	// balancerWait and stopBound are the settings of all hosts.
	balancerWait = 100 * time.Millisecond
	stopBound    = 30 * time.Second
)

// stateKey is the key of the script's state in the testscript environment.
type stateKey struct{}

// state is what one script has built.
type state struct {
	h     *harness.Harness
	calls map[string]*harness.Call
	// stopping holds the hosts whose graceful shutdown goes on.
	stopping map[string]chan struct{}
	// keys are the idempotency keys by name.
	keys map[string]string
}

// Params returns the parameters of a run over the scripts in dir.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		Setup:               setup,
		Cmds:                commands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	}
}

// logsVariable names a folder for one file of hosts' events per script.
const logsVariable = "BLUEBELL_SCENARIO_LOGS"

func setup(env *testscript.Env) error {
	logger, err := newLogger(env)
	if err != nil {
		return err
	}
	h, err := harness.New(harness.Options{Logger: logger, BalancerWait: balancerWait, StopBound: stopBound})
	if err != nil {
		return err
	}
	env.Defer(h.Close)
	env.Values[stateKey{}] = &state{
		h:        h,
		calls:    make(map[string]*harness.Call),
		stopping: make(map[string]chan struct{}),
		keys:     make(map[string]string),
	}
	return nil
}

func newLogger(env *testscript.Env) (*zap.Logger, error) {
	dir := os.Getenv(logsVariable)
	if dir == "" {
		return zap.NewNop(), nil
	}
	f, err := os.Create(filepath.Join(dir, filepath.Base(env.WorkDir)+".log"))
	if err != nil {
		return nil, err
	}
	env.Defer(func() { _ = f.Close() })
	return observe.NewLogger(f, zapcore.DebugLevel), nil
}

// command runs one line of a script. An error fails the script.
type command func(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error

// commands returns all commands by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]command{
		"hosts": startHosts, "restart": restartHost, "crash": crashHost, "shutdown": shutDownHost, "stopped": awaitStopped,
		"engine": addEngine, "plain": addPlain, "list": markListed,
		"configure": configure, "publish": publish, "version": awaitVersion,
		"mint": mint, "send": send, "resend": resend, "retry": retry, "leave": leave,
		"tokens": awaitTokens, "running": awaitRunning, "result": awaitResult, "lookup": lookUp,
		"fault": fault, "lost": awaitLost,
		"runs": checkRuns, "ran-at": checkRanAt, "ended": awaitEnded, "leaving-seen": awaitLeaving, "queued": awaitQueued,
		"retention": setRetention, "dropped": awaitDropped, "cut": cutHosts, "mend": mendHosts,
		"hold-orders": holdOrders, "pause": pauseHost, "wake": wakeHost,
		"held": awaitHeld, "standing": awaitStanding,
		"appends": checkAppends, "unloaded": awaitUnloaded, "not-loaded": checkNotLoaded, "audit": audit,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(table))
	for name, c := range table {
		out[name] = adapt(name, c)
	}
	return out
}

// adapt turns a command into one of testscript.
func adapt(name string, c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, words []string) {
		if negated {
			ts.Fatalf("%s cannot be negated", name)
		}
		s := ts.Value(stateKey{}).(*state)
		a := parse(words)
		timeout, err := a.duration("timeout", defaultTimeout)
		if err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := c(ctx, s, ts, a); err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
		if err := a.unused(); err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
	}
}

func (s *state) call(name string) (*harness.Call, error) {
	c := s.calls[name]
	if c == nil {
		return nil, fmt.Errorf("request %q was not sent", name)
	}
	return c, nil
}

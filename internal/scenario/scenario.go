// Package scenario implements the test language of scenarios/*.txtar. Its
// testscript commands run hosts and stand-ins, send requests, inject faults and
// check outcomes. docs/scenarios.md documents the language.
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
	// defaultTimeout is the timeout of a command without the option timeout.
	defaultTimeout = 20 * time.Second
	// balancerWait and stopBound are the shutdown settings of all hosts.
	balancerWait = 100 * time.Millisecond
	stopBound    = 30 * time.Second
)

// stateKey is the key of a script's state in testscript.Env.Values.
type stateKey struct{}

// state is the state of one running script.
type state struct {
	harness *harness.Harness
	calls   map[string]*harness.Call
	// stopping holds a channel for each host whose graceful shutdown was begun. The
	// channel is closed when the shutdown has ended.
	stopping map[string]chan struct{}
	// keys holds the idempotency keys by name.
	keys map[string]string
}

// Params returns the testscript parameters that run all scripts in dir.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		Setup:               setup,
		Cmds:                commands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	}
}

// logsDirVariable is the environment variable that names a directory for log files,
// one per script. If it is empty, the hosts' events are discarded.
const logsDirVariable = "BLUEBELL_SCENARIO_LOGS"

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
		harness:  h,
		calls:    make(map[string]*harness.Call),
		stopping: make(map[string]chan struct{}),
		keys:     make(map[string]string),
	}
	return nil
}

func newLogger(env *testscript.Env) (*zap.Logger, error) {
	dir := os.Getenv(logsDirVariable)
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

// command runs one command of a script. An error fails the script.
type command func(ctx context.Context, s *state, ts *testscript.TestScript, a *arguments) error

// commands returns all commands by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]command{
		"hosts": startHosts, "restart": restartHost, "crash": crashHost, "shutdown": shutDownHost, "stopped": awaitStopped,
		"engine": addEngine, "plain": addPlain, "list": setListState,
		"configure": configure, "publish": publish, "version": awaitVersion,
		"mint": mint, "send": send, "resend": resend, "retry": retry, "leave": disconnect,
		"tokens": awaitTokens, "running": awaitRunning, "result": awaitResult, "lookup": lookUp,
		"fault": fault, "lost": awaitLost,
		"runs": checkRuns, "ran-at": checkRanAt, "ended": awaitProgress, "leaving-seen": awaitLeaving, "queued": awaitQueued,
		"retention": setRetention, "dropped": awaitRecordsDropped, "cut": partitionHosts, "mend": healHosts,
		"hold-orders": holdOrders, "pause": pauseController, "wake": resumeController,
		"held": awaitLeaseHolder, "standing": awaitOrderState,
		"appends": checkAppends, "unloaded": awaitUnloaded, "not-loaded": checkNotLoaded, "audit": auditOutcomes,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(table))
	for name, c := range table {
		out[name] = testscriptCommand(name, c)
	}
	return out
}

// testscriptCommand wraps a command for testscript. It parses the arguments, applies
// the timeout and fails on arguments that the command did not use.
func testscriptCommand(name string, c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, words []string) {
		if negated {
			ts.Fatalf("%s cannot be negated", name)
		}
		s := ts.Value(stateKey{}).(*state)
		a := parseArguments(words)
		timeout, err := a.duration("timeout", defaultTimeout)
		if err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := c(ctx, s, ts, a); err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
		if err := a.checkAllUsed(); err != nil {
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

// Package ctl implements the command-line client bluebellctl. It calls the
// operators' API of one host and stores no state.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
)

// callTimeout is the timeout of one API call. It is longer than the time that a
// host waits for the decision on a published patch.
const callTimeout = 15 * time.Second

// IO holds the standard streams of a command.
type IO struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// options holds the options that all commands share.
type options struct {
	Address string `env:"BLUEBELLCTL_ADDRESS" envDefault:"http://127.0.0.1:8090"`
	Key     string `env:"BLUEBELLCTL_KEY"`
	KeyFile string `env:"BLUEBELLCTL_KEY_FILE"`
	Output  string `env:"BLUEBELLCTL_OUTPUT" envDefault:"table"`
}

// app holds the state of one invocation of bluebellctl.
type app struct {
	IO
	options options
	clock   clockwork.Clock
	// publishBackoff determines the delays between attempts to publish a patch.
	publishBackoff backoff.BackOff
	client         *api.Client
}

// Run executes the command given by args, which exclude the program name, and
// returns the exit code.
func Run(ctx context.Context, args, environ []string, streams IO) int {
	return run(ctx, args, environ, &app{IO: streams, clock: clockwork.NewRealClock(), publishBackoff: backoff.NewExponentialBackOff()})
}

func run(ctx context.Context, args, environ []string, a *app) int {
	if err := env.ParseWithOptions(&a.options, env.Options{Environment: env.ToMap(environ)}); err != nil {
		return a.fail(usageError("environment: %s", err))
	}
	command, err := a.parse(args)
	if err != nil {
		return a.fail(err)
	}
	if err := a.initClient(); err != nil {
		return a.fail(err)
	}
	if err := command(ctx); err != nil {
		return a.fail(err)
	}
	return ExitOK
}

// initClient validates the options and creates the API client. It opens no
// connection.
func (a *app) initClient() error {
	if a.options.Output != outputTable && a.options.Output != outputJSON {
		return usageError("--output %q is neither %q nor %q", a.options.Output, outputTable, outputJSON)
	}
	if err := checkAddress(a.options.Address); err != nil {
		return err
	}
	if err := a.readKey(); err != nil {
		return err
	}
	client, err := api.NewClient(a.options.Address, a, api.WithClient(&http.Client{Timeout: callTimeout}))
	if err != nil {
		return usageError("--address %q: %s", a.options.Address, err)
	}
	a.client = client
	return nil
}

func checkAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return usageError("--address %q is not an http or https URL", address)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return usageError("--address %q: the host must be an IP address", address)
	}
	return nil
}

func (a *app) readKey() error {
	if a.options.Key != "" || a.options.KeyFile == "" {
		return nil
	}
	data, err := os.ReadFile(a.options.KeyFile)
	if err != nil {
		return usageError("--key-file: %s", err)
	}
	a.options.Key = strings.TrimSpace(string(data))
	return nil
}

// OperatorKey returns the operator's key for the generated client.
func (a *app) OperatorKey(context.Context, api.OperationName) (api.OperatorKey, error) {
	if a.options.Key == "" {
		return api.OperatorKey{}, usageError("no operator key: set BLUEBELLCTL_KEY or --key-file")
	}
	return api.OperatorKey{Token: a.options.Key}, nil
}

// fail prints err on one line of standard error and returns its exit code.
func (a *app) fail(err error) int {
	e := toExitError(err)
	fmt.Fprintln(a.Stderr, strings.Join(strings.Fields(e.Error()), " "))
	return e.code
}

// Package ctl is the operators' command line. It speaks the operators' API
// of one host and keeps nothing.
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

// callTimeout bounds one call. It is longer than a host waits for the log to
// decide a patch.
const callTimeout = 15 * time.Second

// IO is where a command reads and writes.
type IO struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// options are the settings of every command.
type options struct {
	Address string `env:"BLUEBELLCTL_ADDRESS" envDefault:"http://127.0.0.1:8090"`
	Key     string `env:"BLUEBELLCTL_KEY"`
	KeyFile string `env:"BLUEBELLCTL_KEY_FILE"`
	Output  string `env:"BLUEBELLCTL_OUTPUT" envDefault:"table"`
}

// app is one run of the command line.
type app struct {
	IO
	options options
	clock   clockwork.Clock
	// pause is the wait between publications of one patch.
	pause  backoff.BackOff
	client *api.Client
}

// Run carries out the command that args name and returns the exit code. args
// exclude the program name.
func Run(ctx context.Context, args, environ []string, streams IO) int {
	return run(ctx, args, environ, &app{IO: streams, clock: clockwork.NewRealClock(), pause: backoff.NewExponentialBackOff()})
}

func run(ctx context.Context, args, environ []string, a *app) int {
	if err := env.ParseWithOptions(&a.options, env.Options{Environment: env.ToMap(environ)}); err != nil {
		return a.fail(usage("environment: %s", err))
	}
	command, err := a.parse(args)
	if err != nil {
		return a.fail(err)
	}
	if err := a.connect(); err != nil {
		return a.fail(err)
	}
	if err := command(ctx); err != nil {
		return a.fail(err)
	}
	return ExitOK
}

// connect checks the options and prepares the client; it opens no connection.
func (a *app) connect() error {
	if a.options.Output != outputTable && a.options.Output != outputJSON {
		return usage("--output %q is neither %q nor %q", a.options.Output, outputTable, outputJSON)
	}
	if err := checkAddress(a.options.Address); err != nil {
		return err
	}
	if err := a.readKey(); err != nil {
		return err
	}
	client, err := api.NewClient(a.options.Address, a, api.WithClient(&http.Client{Timeout: callTimeout}))
	if err != nil {
		return usage("--address %q: %s", a.options.Address, err)
	}
	a.client = client
	return nil
}

func checkAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return usage("--address %q is no http or https URL", address)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return usage("--address %q: the host must be an IP number", address)
	}
	return nil
}

func (a *app) readKey() error {
	if a.options.Key != "" || a.options.KeyFile == "" {
		return nil
	}
	data, err := os.ReadFile(a.options.KeyFile)
	if err != nil {
		return usage("--key-file: %s", err)
	}
	a.options.Key = strings.TrimSpace(string(data))
	return nil
}

// OperatorKey gives the generated client the key of the operator.
func (a *app) OperatorKey(context.Context, api.OperationName) (api.OperatorKey, error) {
	if a.options.Key == "" {
		return api.OperatorKey{}, usage("no operator key: set BLUEBELLCTL_KEY or --key-file")
	}
	return api.OperatorKey{Token: a.options.Key}, nil
}

// fail prints err as one line and returns its exit code.
func (a *app) fail(err error) int {
	e := fromAPI(err)
	fmt.Fprintln(a.Stderr, strings.Join(strings.Fields(e.Error()), " "))
	return e.code
}

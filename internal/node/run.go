package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

// stopper is a running process that can shut down gracefully.
type stopper interface {
	Stop(ctx context.Context)
}

// binarySettings is implemented by the settings of each binary. Shared returns the
// settings that all binaries have.
type binarySettings interface {
	Shared() settings.Common
}

// Main runs one binary: it loads the settings, starts the process, waits for
// SIGTERM or SIGINT and shuts down gracefully within StopBound. Further signals
// are ignored. Errors come from the settings, the trace file, start, or the final
// flush of trace spans.
func Main[S binarySettings, P stopper](program string, load func(args, environ []string) (S, error), start func(S, Env) (P, error)) error {
	s, err := load(os.Args[1:], os.Environ())
	if err != nil {
		return err
	}
	env, err := Connect(program, s.Shared())
	if err != nil {
		return err
	}
	event.SettingsInForce.Log(env.Logger, settings.Fields(s)...)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	p, err := start(s, env)
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.Shared().StopBound)
	defer cancel()
	p.Stop(ctx)
	return env.Close(context.Background())
}

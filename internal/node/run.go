package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellseam/bluebellseam/internal/settings"
)

// stopper is a running process that can end gracefully.
type stopper interface {
	Stop(ctx context.Context)
}

// RunUntilSignal waits for SIGTERM or SIGINT and stops s gracefully within the
// bound of the settings. Further signals change nothing.
func RunUntilSignal(s stopper, common settings.Common, env Env) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), common.StopBound)
	defer cancel()
	s.Stop(ctx)
	return env.Close(context.Background())
}

// Command bluebell-edge is the process of a host on the users' platform: it
// serves callers, gives out places at targets and follows the platform's
// store.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellseam/bluebellseam/internal/edgenode"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/platform"
)

func main() {
	err := run()
	var bad *platform.SettingsError
	if errors.As(err, &bad) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitBadSettings)
	}
	settings.Exit(err)
}

func run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	process, err := edgenode.Start(s, os.Stdout)
	if err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		process.Reload(path)
	}
	process.Stop()
	return nil
}

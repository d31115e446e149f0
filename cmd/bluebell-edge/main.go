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
	"time"

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
	await(signals, path, process.Reload)
	process.Stop()
	return nil
}

// changesEvery is how often the settings file is looked at for changes that
// come without a signal.
const changesEvery = 2 * time.Second

// await returns at a signal to stop. It calls reload at SIGHUP and when the
// file at path has changed.
func await(signals <-chan os.Signal, path string, reload func(path string)) {
	changes := time.NewTicker(changesEvery)
	defer changes.Stop()
	seen := modified(path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
		case <-changes.C:
			if modified(path).Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		reload(path)
	}
}

// modified is when the file at path was last written, zero when it cannot be
// told; loading it then names the error.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

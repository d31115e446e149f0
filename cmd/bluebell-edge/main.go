// Command bluebell-edge runs the edge process of one host on the users'
// platform. It serves callers, allocates slots at targets and follows the
// platform's store.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/edgenode"
	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/signals"
	"github.com/bluebellseam/bluebellseam/platform"
)

func main() {
	err := run()
	var settingsErr *platform.SettingsError
	if errors.As(err, &settingsErr) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitBadSettings)
	}
	settings.Exit(err)
}

func run() error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(s)
	process, err := edgenode.Start(s, os.Stdout)
	if err != nil {
		return err
	}
	waitForStop(signals.Received(), path, process.Reload)
	process.Stop()
	return nil
}

// heapPercent is the part of the memory of the machine that the Go runtime may take before it
// collects garbage more often. The rest is for the program itself and the kernel.
const heapPercent = 85

// limitMemory tells the Go runtime the memory limit of the settings.
func limitMemory(s platform.Settings) {
	if limit := int64(s.Limits.MemoryMB) << 20; limit > 0 {
		debug.SetMemoryLimit(limit / 100 * heapPercent)
	}
}

// settingsPollInterval is how often the settings file is checked for changes
// that were not announced by a signal.
const settingsPollInterval = 2 * time.Second

// waitForStop blocks until a stop signal arrives. It calls reload on SIGHUP and
// when the file at path has changed.
func waitForStop(received <-chan os.Signal, path string, reload func(path string)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case sig := <-received:
			if sig != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		reload(path)
	}
}

// modTime returns the modification time of the file at path, or zero if it is
// unknown; loading the file then reports the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

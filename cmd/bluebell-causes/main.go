// Command bluebell-causes lists what the hosts refuse requests for because targets crashed under
// them, and releases it. It reads the settings file of a host for the address of the store.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/crashcauses"
	"github.com/bluebellseam/bluebellseam/internal/ctl"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/poison"
	"github.com/bluebellseam/bluebellseam/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}

func run(ctx context.Context) error {
	settingsPath, cause := os.Getenv(platform.SettingsVariable), ""
	flaggy.SetName("bluebell-causes")
	flaggy.SetDescription("Lists and releases causes of crashes, for which all hosts refuse requests.\nExit codes: 0 success, 1 refused, 2 invalid command line or settings, 6 store unavailable: try again.")
	flaggy.String(&settingsPath, "s", "settings", "settings file of a host; by default that in "+platform.SettingsVariable)
	list, release := flaggy.NewSubcommand("list"), flaggy.NewSubcommand("release")
	list.Description = "list the causes in the store, the last one first"
	release.Description = "let all hosts send the requests with a cause again"
	release.AddPositionalValue(&cause, "CAUSE", 1, true, "name of the cause, as printed by list and by refusals")
	flaggy.AttachSubcommand(list, 1)
	flaggy.AttachSubcommand(release, 1)
	flaggy.Parse()
	if !list.Used && !release.Used {
		return &usageError{"no command: list or release"}
	}
	settings, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return err
	}
	operator := &crashcauses.Operator{Store: platform.NewStore(settings.Platform.Address), Clock: clockwork.NewRealClock()}
	if list.Used {
		return printList(ctx, operator, os.Stdout, os.Stderr)
	}
	released, err := operator.Release(ctx, cause)
	if err != nil {
		return err
	}
	fmt.Printf("released %s, found %s\n", released.Cause, foundAt(released))
	return nil
}

// usageError is an invalid command line.
type usageError struct{ text string }

// Error returns what is wrong with the command line.
func (e *usageError) Error() string { return e.text }

func exitCode(err error) int {
	var usage *usageError
	var settings *platform.SettingsError
	switch {
	case err == nil:
		return ctl.ExitOK
	case errors.As(err, &usage), errors.As(err, &settings):
		return ctl.ExitUsage
	case errkind.Of(err) == errkind.LogUnavailable:
		return ctl.ExitUnavailable
	default:
		return ctl.ExitRefused
	}
}

func printList(ctx context.Context, operator *crashcauses.Operator, stdout, stderr io.Writer) error {
	causes, unread, err := operator.List(ctx)
	if err != nil {
		return err
	}
	for _, key := range unread {
		fmt.Fprintf(stderr, "record %q can't be read; hosts ignore it\n", key)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CAUSE\tFOUND\tSTATE\tLOST TRIALS")
	for _, r := range causes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", r.Cause, foundAt(r), state(r), r.LostTrials)
	}
	return w.Flush()
}

func foundAt(r poison.Record) string { return time.UnixMilli(r.FoundAtMS).UTC().Format(time.RFC3339) }

func state(r poison.Record) string {
	switch {
	case r.Released && r.ByOperator:
		return "released by operator"
	case r.Released:
		return "released"
	case time.Since(time.UnixMilli(r.FoundAtMS)) >= poison.CauseLifetime:
		return "expired"
	default:
		return "refused"
	}
}

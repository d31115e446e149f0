package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// pollInterval is the interval between polls of the status.
const pollInterval = 1 * time.Second

// maxListedHosts is the maximum number of unconfirmed hosts listed in a message.
const maxListedHosts = 5

// awaitVersion waits until every listed host reports that the given version, or a
// later one, is in force in all its processes.
func (a *app) awaitVersion(ctx context.Context, version int64, timeout time.Duration) error {
	err := a.pollStatus(ctx, timeout, func(s *api.Status) string { return unconfirmedHosts(s, version) })
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Stderr, "version %d is in force on every host\n", version)
	return nil
}

// pollStatus polls the status until pending returns the empty string. At the
// timeout it returns an error with the exit code ExitNotEverywhere and the latest
// result of pending or, if the status could not be read, the error of that read.
// If the host refuses the call or ctx is done, it returns an error with the same
// exit code at once.
func (a *app) pollStatus(ctx context.Context, timeout time.Duration, pending func(*api.Status) string) error {
	deadline := a.clock.Now().Add(timeout)
	for {
		reason := ""
		s, err := a.client.GetStatus(ctx)
		if err != nil {
			reason = toExitError(err).text
			if exitCodeOf(kindOf(err)) == ExitRefused && kindOf(err) != errkind.None {
				return exitWith(ExitNotEverywhere, "not confirmed: %s", reason)
			}
		} else {
			reason = pending(s)
		}
		if reason == "" {
			return nil
		}
		if !a.clock.Now().Before(deadline) {
			return exitWith(ExitNotEverywhere, "not confirmed within %s: %s", timeout, reason)
		}
		select {
		case <-ctx.Done():
			return exitWith(ExitNotEverywhere, "interrupted: %s", reason)
		case <-a.clock.After(pollInterval):
		}
	}
}

// confirmed reports whether a host is up and the given version, or a later one, is
// in force in all its processes.
func confirmed(h api.HostStatus, version int64) bool {
	return h.Version >= version && h.State != api.HostStatusStateDown && len(h.Unheard) == 0
}

// notReporting returns a suffix that lists the processes of a host that have
// not reported recently, or the empty string if all have.
func notReporting(h api.HostStatus) string {
	if len(h.Unheard) == 0 {
		return ""
	}
	return ", " + strings.Join(h.Unheard, " and ") + " not reporting"
}

// unconfirmedHosts lists the hosts on which the given version, or a later one, is
// not confirmed to be in force in all processes. This includes listed hosts that are
// down and hosts with a process that has not reported recently. Unlisted hosts are
// excluded.
func unconfirmedHosts(s *api.Status, version int64) string {
	var names []string
	if s.Version < version {
		names = append(names, fmt.Sprintf("%s (this host, version %d)", s.Host, s.Version))
	}
	for _, h := range s.Hosts {
		if h.State == api.HostStatusStateUnlisted || confirmed(h, version) {
			continue
		}
		names = append(names, fmt.Sprintf("%s (%s, version %d%s)", h.ID, h.State, h.Version, notReporting(h)))
	}
	if len(names) > maxListedHosts {
		names = append(names[:maxListedHosts], fmt.Sprintf("and %d more", len(names)-maxListedHosts))
	}
	return strings.Join(names, ", ")
}

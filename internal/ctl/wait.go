package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// pollInterval is the time between two looks at the status.
const pollInterval = 1 * time.Second

// maxNamed bounds the hosts that one line names.
const maxNamed = 5

// awaitEverywhere waits until every listed host reports version or a later
// one.
func (a *app) awaitEverywhere(ctx context.Context, version int64, timeout time.Duration) error {
	err := a.await(ctx, timeout, func(s *api.Status) string { return behind(s, version) })
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Stderr, "version %d is in force on every host\n", version)
	return nil
}

// await polls the status until missing returns nothing. At the timeout it
// returns what was missing, with the code ExitNotEverywhere.
func (a *app) await(ctx context.Context, timeout time.Duration, missing func(*api.Status) string) error {
	deadline := a.clock.Now().Add(timeout)
	for {
		lacking := ""
		s, err := a.client.GetStatus(ctx)
		if err != nil {
			lacking = fromAPI(err).text
			if codeOf(kindOf(err)) == ExitRefused && kindOf(err) != errkind.None {
				return exit(ExitNotEverywhere, "not confirmed: %s", lacking)
			}
		} else {
			lacking = missing(s)
		}
		if lacking == "" {
			return nil
		}
		if !a.clock.Now().Before(deadline) {
			return exit(ExitNotEverywhere, "not confirmed within %s: %s", timeout, lacking)
		}
		select {
		case <-ctx.Done():
			return exit(ExitNotEverywhere, "interrupted: %s", lacking)
		case <-a.clock.After(pollInterval):
		}
	}
}

// confirmed reports whether a host is known to have version in force in every
// process.
func confirmed(h api.HostStatus, version int64) bool {
	return h.Version >= version && h.State != api.HostStatusStateDown && len(h.Unheard) == 0
}

// unheard names the processes of a host that are not heard.
func unheard(h api.HostStatus) string {
	if len(h.Unheard) == 0 {
		return ""
	}
	return ", " + strings.Join(h.Unheard, " and ") + " not heard"
}

// behind names the hosts that are not known to have version in force in every
// process. A host that is listed and not heard counts as behind, and so does
// one with a process that is not heard; one that is no longer listed does not
// count.
func behind(s *api.Status, version int64) string {
	var names []string
	if s.Version < version {
		names = append(names, fmt.Sprintf("%s (this host, version %d)", s.Host, s.Version))
	}
	for _, h := range s.Hosts {
		if h.State == api.HostStatusStateUnlisted || confirmed(h, version) {
			continue
		}
		names = append(names, fmt.Sprintf("%s (%s, version %d%s)", h.ID, h.State, h.Version, unheard(h)))
	}
	if len(names) > maxNamed {
		names = append(names[:maxNamed], fmt.Sprintf("and %d more", len(names)-maxNamed))
	}
	return strings.Join(names, ", ")
}

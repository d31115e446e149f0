// Package operators serves the operators' API: configuration, status, request
// lookup and the quarantine. Configuration and quarantine are served from the state
// of the local host; status and request lookup also query the other hosts.
package operators

import (
	"context"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/members"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Configuration is the host's view of the configuration log.
type Configuration interface {
	// Current returns the version in force on this host.
	Current() follow.Snapshot
	// Publish appends the patch to the log and waits until the decision on it has
	// been read back. See follow.Follower.Publish for the kinds of its errors.
	Publish(ctx context.Context, p config.Patch) (config.Result, error)
	// DryRun evaluates the patch without appending it to the log.
	DryRun(p config.Patch) (config.Result, error)
	// History returns the decisions on patches that this host retains, newest
	// first.
	History() []config.Result
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable() bool
}

// Members is the host's view of all hosts and of the listed targets.
type Members interface {
	// Hosts returns every host that is listed or that has been in contact.
	Hosts() []tables.Host
	// TargetState returns the state of a target in the host list, or the empty
	// string if the target is not listed.
	TargetState(id tables.TargetID) tables.HostState
}

var (
	_ Configuration = (*follow.Follower)(nil)
	_ Members       = (*members.Members)(nil)
	_ Caller        = (*peer.Pool)(nil)
)

// Caller calls methods of peers. It is implemented by peer.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Quarantine is the table of fingerprints whose requests are refused.
type Quarantine interface {
	// List returns the unexpired entries.
	List() []peer.QuarantineEntry
	// Release removes an entry on every host. If the entry does not exist, the
	// error has the kind UnknownQuarantine.
	Release(ctx context.Context, f tables.Fingerprint) error
}

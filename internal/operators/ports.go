// Package operators serves the operators' API: configuration, status, the
// fate of a request and the quarantine. It answers from what its host knows
// and asks peers only for a single request.
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
	// Publish appends the patch and waits until its fate is read back; see
	// follow.Follower.Publish for the kinds of its errors.
	Publish(ctx context.Context, p config.Patch) (config.Result, error)
	// DryRun decides the patch without appending it.
	DryRun(p config.Patch) (config.Result, error)
	// History returns the decisions that this host remembers, newest first.
	History() []config.Result
	// LogReachable reports whether the last read of the log worked.
	LogReachable() bool
}

// Members is what the host knows of other hosts and of targets.
type Members interface {
	// Hosts returns every host that is listed or was heard.
	Hosts() []tables.Host
	// TargetState returns the listed state of a target; empty when not listed.
	TargetState(id tables.TargetID) tables.HostState
}

var (
	_ Configuration = (*follow.Follower)(nil)
	_ Members       = (*members.Members)(nil)
	_ Caller        = (*peer.Pool)(nil)
)

// Caller sends a call to a peer. peer.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Quarantine is the table of refused fingerprints.
type Quarantine interface {
	// List returns the entries in force.
	List() []peer.QuarantineEntry
	// Release lifts an entry everywhere. The error of an entry that does not
	// exist has the kind UnknownQuarantine.
	Release(ctx context.Context, f tables.Fingerprint) error
}

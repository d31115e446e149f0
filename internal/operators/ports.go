// Package operators serves the operators' API: configuration, status, the
// fate of a request and the quarantine. It answers from what its host knows
// and asks peers only for a single request.
package operators

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Snapshot is a configuration version in force. Version is zero before the
// first one.
type Snapshot struct {
	Version  config.Version
	Digest   uint64
	Document config.Document
}

// Patch is one publication of an operator.
type Patch struct {
	// Base is the version that the patch was written against.
	Base config.Version
	// ID makes the publication idempotent.
	ID string
	// Operator is who publishes.
	Operator string
	// Merge is an RFC 7386 merge patch in JSON.
	Merge []byte
}

// Result is what became of a patch.
type Result struct {
	PatchID  string
	Operator string
	Base     config.Version
	// Accepted states that the patch became, or for a dry run would become,
	// Version. A rejected patch has the version in force and a Reason.
	Accepted bool
	Version  config.Version
	Reason   string
	// Time is the log's time of the patch; zero for a dry run.
	Time time.Time
	// Diff shows the changed lines of the document; empty in the history.
	Diff string
}

// Configuration is the host's view of the configuration log.
type Configuration interface {
	// Current returns the version in force on this host.
	Current() Snapshot
	// Publish appends the patch and waits until its fate is read back. A
	// rejected patch is an error of kind VersionConflict or InvalidConfig;
	// others are LogUnavailable and PatchUndecided.
	Publish(ctx context.Context, p Patch) (Result, error)
	// DryRun folds the patch without appending it. Errors are those of a
	// rejected patch.
	DryRun(ctx context.Context, p Patch) (Result, error)
	// History returns the patches that this host has read, newest first.
	History() []Result
	// LogReachable reports whether the last read of the log worked.
	LogReachable() bool
}

// Pool is one dispatcher's account of one target.
type Pool struct {
	Owner   tables.HostID
	Summary tables.PoolSummary
}

// Members is what the host knows of other hosts and of targets.
type Members interface {
	// Hosts returns every host that is listed or was heard.
	Hosts() []tables.Host
	// Pools returns the latest summaries of all dispatchers. Two owners of one
	// target appear twice.
	Pools() []Pool
	// TargetState returns the listed state of a target; empty when not listed.
	TargetState(id tables.TargetID) tables.HostState
}

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

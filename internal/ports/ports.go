// Package ports defines the interfaces to the platform's services, which are the
// log, the host list and the weight store, and implements their HTTP clients.
package ports

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Names and name prefixes of the log streams.
const (
	// ConfigStream contains the patches and snapshots of the configuration.
	ConfigStream = "config"
	// SharedLeaseStream is the shared lease stream. It contains the weight-store leases
	// and the demand reports of all failure domains.
	SharedLeaseStream = "leases"
	// DomainLeaseStreamPrefix followed by a failure domain is the name of the stream
	// with that domain's lease.
	DomainLeaseStreamPrefix = "leases-"
	// QuarantineStream contains the quarantine entries and their releases.
	QuarantineStream = "quarantine"
	// ClaimStreamPrefix followed by a shard number is the name of the shard's
	// claim stream.
	ClaimStreamPrefix = "claims-"
)

// Offset is the position of a record in its stream, starting at 0.
type Offset int64

// Record is a record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// Records are in offset order, starting at the requested offset.
	Records []Record `json:"records"`
	// First is the oldest retained offset of the stream.
	First Offset `json:"first"`
	// Next is the offset after the newest record of the stream.
	Next Offset `json:"next"`
}

// ErrTruncated is wrapped by the error of a Read whose offset is older than the
// retained records.
var ErrTruncated = errors.New("log records before the requested offset are gone")

// ErrUnavailable is wrapped by errors of calls that failed because the service
// was unreachable, refused the call or sent an unusable response. An append that
// fails with it has had no effect.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrUnknown is wrapped by the error of an Append that got no usable response.
// The record may or may not be in the stream.
var ErrUnknown = errors.New("append outcome unknown")

// Log is the append-only log service.
type Log interface {
	// Append appends a record and returns its offset. Errors wrap ErrUnavailable
	// or ErrUnknown.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns the records whose offset is at least from. If there is none
	// yet, it waits for the first one, for at most the duration wait. Errors wrap
	// ErrTruncated or ErrUnavailable.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// Listing is a version of the platform's host list. It covers the targets and the
// hosts that run bluebellseam.
type Listing struct {
	// Version increases with every change.
	Version int64         `json:"version"`
	Hosts   []tables.Host `json:"hosts"`
	// Targets contains the state of every listed target.
	Targets map[tables.TargetID]tables.HostState `json:"targets"`
}

// HostList is the platform's list of live and leaving hosts. It may lag behind
// the actual state.
type HostList interface {
	// List returns the current listing. Errors wrap ErrUnavailable.
	List(ctx context.Context) (Listing, error)
}

// WeightStore is the store of model weights. It limits loads by issuing permits.
type WeightStore interface {
	// Acquire acquires a permit for one load of weights and returns how long the
	// permit is valid. loadID identifies the load; the controller passes the ID of
	// the engine that loads. fence is the fencing number of the caller's
	// weight-store lease. The store refuses a fence lower than an earlier one for
	// the same loadID. Errors wrap ErrUnavailable.
	Acquire(ctx context.Context, loadID string, fence int64) (time.Duration, error)
}

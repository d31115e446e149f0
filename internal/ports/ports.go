// Package ports is the boundary to the platform's services: the log, the
// host list and the weight store. The interfaces are what the rest of the
// program uses; the clients speak HTTP and JSON.
package ports

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Names of the log streams.
const (
	// ConfigStream carries patches and snapshots of the configuration.
	ConfigStream = "config"
	// LeaseStream carries the leases of the weight store and the demand of all
	// failure domains.
	LeaseStream = "leases"
	// LeaseStreamPrefix is followed by the failure domain of a lease stream.
	LeaseStreamPrefix = "leases-"
	// QuarantineStream carries quarantine entries and releases.
	QuarantineStream = "quarantine"
	// ClaimStreamPrefix is followed by the shard number of a claim stream.
	ClaimStreamPrefix = "claims-"
)

// Offset is the position of a record in its stream, from 0.
type Offset int64

// Record is one entry of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// Records are in offset order, the first at the offset asked for.
	Records []Record `json:"records"`
	// First is the oldest offset that the stream still keeps.
	First Offset `json:"first"`
	// Next is the offset after the newest record of the stream.
	Next Offset `json:"next"`
}

// ErrTruncated is returned by Read when retention has dropped the offset.
var ErrTruncated = errors.New("log records before the requested offset are gone")

// ErrUnavailable is returned when the service was not reached or refused the
// call, so that the call had no effect.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrUnknown is returned by Append when its answer was lost: the record may
// or may not be in the stream.
var ErrUnknown = errors.New("append outcome unknown")

// Log is the append-only log service.
type Log interface {
	// Append adds one record and returns its offset. Errors wrap
	// ErrUnavailable or ErrUnknown.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns records from offset on, waiting up to wait for the first
	// one. Errors wrap ErrTruncated or ErrUnavailable.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// Listing is one state of the platform's host list. It covers the hosts of
// bluebellseam and the hosts of targets.
type Listing struct {
	// Version grows with every change.
	Version int64         `json:"version"`
	Hosts   []tables.Host `json:"hosts"`
	// Targets maps a target to its state; a target that is not in the map
	// is not listed.
	Targets map[tables.TargetID]tables.HostState `json:"targets"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// List returns the current listing. Errors wrap ErrUnavailable.
	List(ctx context.Context) (Listing, error)
}

// WeightStore holds model weights and is rate-limited.
type WeightStore interface {
	// Acquire asks for one load permit under a fencing number and returns
	// how long the permit lasts. Errors wrap ErrUnavailable.
	Acquire(ctx context.Context, artefact string, fence int64) (time.Duration, error)
}

// Package watch keeps the configuration, targets and hosts of a deployment up
// to date. A few hosts read the platform's store and send updates to the
// others, which read the store themselves only when updates stop.
package watch

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// Stream names one set of keyed records in the store.
type Stream string

// The streams.
const (
	Configs Stream = "configs"
	Targets Stream = "targets"
	Hosts   Stream = "hosts"
)

// HostLists holds a copy of the list of hosts, in a partition of its own. Hosts read it from
// the store while Hosts is unavailable, and do not send it to each other.
const HostLists Stream = "host-lists"

// Streams lists all streams that hosts keep up to date.
func Streams() []Stream { return []Stream{Configs, Targets, Hosts} }

// Position orders the records of a stream. The incarnation of the store rises by
// one each time that the store is restored from an older copy, which gives the
// offsets of lost records out again.
type Position struct {
	Incarnation int64 `json:"incarnation,omitempty"`
	Offset      int64 `json:"offset"`
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool {
	if p.Incarnation != q.Incarnation {
		return p.Incarnation < q.Incarnation
	}
	return p.Offset < q.Offset
}

// Record is a keyed record. A record without a value removes the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
	// Incarnation is the incarnation of the store in which the record was written
	// or read.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Compressed is true if Value is compressed. Hosts compress large values for
	// sending them to each other; values in the store are not compressed.
	Compressed bool `json:"packed,omitempty"`
}

// Position returns the position of the record in its stream.
func (r Record) Position() Position { return Position{r.Incarnation, r.Offset} }

// Page is a part of a stream.
type Page struct {
	Records []Record
	// End is the offset from which to read on; negative if unknown.
	End int64
	// Partial is true if the stream has records from End on.
	Partial bool
	// Incarnation is the incarnation of the store that returned the page.
	Incarnation int64
}

var (
	// ErrTruncated means that records from the requested offset on have been
	// deleted.
	ErrTruncated = errors.New("records were truncated")
	// ErrUnavailable means that the store did not respond or returned an error.
	ErrUnavailable = errors.New("store unavailable")
)

// Store is the platform's store. Errors wrap ErrTruncated or ErrUnavailable.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s Stream) (Page, error)
	// Read returns the records from an offset on. If there are none yet, it
	// waits for the first one, at most for wait.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Put writes a record and returns its position. A nil value removes the key.
	// The record may have been written even if the call fails.
	Put(ctx context.Context, s Stream, key string, value []byte) (Position, error)
}

// Decoder decodes the values of records.
type Decoder interface {
	// IsConfig reports whether the value of a key in the configuration stream
	// is the configuration.
	IsConfig(key string) bool
	Config(value []byte) (*fleet.Config, error)
	Target(key string, value []byte) (fleet.Target, error)
	// IsRollout reports whether the value of a key in the configuration stream is the
	// order of a rollout.
	IsRollout(key string) bool
	Rollout(key string, value []byte) (fleet.Rollout, error)
}

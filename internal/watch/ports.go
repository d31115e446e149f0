// Package watch keeps the configuration, the targets and the hosts of a
// deployment up to date. A few hosts read the platform's store; the others
// hear of changes from them and read by themselves only after silence.
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

// Streams lists all streams.
func Streams() []Stream { return []Stream{Configs, Targets, Hosts} }

// Record is one keyed record. A record without a value removes the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
	// Packed values are compressed; only records between hosts are.
	Packed bool `json:"packed,omitempty"`
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// End is the offset after the last record of the stream.
	End int64
}

var (
	// ErrTruncated means that records after the given offset are gone.
	ErrTruncated = errors.New("records were truncated")
	// ErrUnavailable means that the store gave no answer or refused.
	ErrUnavailable = errors.New("store unavailable")
)

// Store is the platform's store. Errors wrap ErrTruncated or ErrUnavailable.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s Stream) (Page, error)
	// Read returns the records from an offset on. With none there, it waits for
	// the first one.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Put writes a record and returns its offset; a nil value removes the key.
	// A failed call may have been done.
	Put(ctx context.Context, s Stream, key string, value []byte) (int64, error)
}

// Decoder reads the values of records.
type Decoder interface {
	// IsConfig reports whether a key of the configuration stream holds the
	// configuration.
	IsConfig(key string) bool
	Config(value []byte) (*fleet.Config, error)
	Target(key string, value []byte) (fleet.Target, error)
}

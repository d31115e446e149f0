// Package originlog keeps in the platform's store which software version began each
// stream, while a service has several. Hosts keep that in memory; after the death of all
// that knew it, the next coordinator reads it back, once and not for each stream.
package originlog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
)

const (
	// interval is the time between two writes of the coordinator. Most streams send their
	// first event later than that after their slot was granted.
	interval = 100 * time.Millisecond
	// fallbackInterval is the same for a host that is not the coordinator and has granted
	// while it reached none. Many hosts may be in that state at once.
	fallbackInterval = time.Second
	// maxRecords bounds the records that are read back: those of the minute for which a
	// stream is remembered.
	maxRecords = int(time.Minute / interval)
	// callTimeout bounds one access to the store.
	callTimeout = time.Second
)

// Store is a log in the platform's store. Records expire there. Errors wrap
// watch.ErrUnavailable.
type Store interface {
	// AppendOrigins appends a record.
	AppendOrigins(ctx context.Context, record []byte) error
	// RecentOrigins returns the last records, at most limit, in their order.
	RecentOrigins(ctx context.Context, limit int) ([][]byte, error)
}

// Origins is what the host knows in memory.
type Origins interface {
	// Mixed reports whether a service has several versions.
	Mixed() bool
	// BegunSince returns the streams that this host has recorded from a sequence number on, and the
	// number to pass in next time.
	BegunSince(sequence int) (origin.Batch, int)
	Merge(origin.Batch)
}

// Log writes what this host grants, and reads what others have written when this host
// becomes the coordinator.
type Log struct {
	Store   Store
	Origins Origins
	// Coordinator reports whether this host is the coordinator.
	Coordinator func() bool
	Clock       clockwork.Clock
	Logger      *zap.Logger

	// loaded is true once the records were read since this host has become the coordinator.
	loaded bool
	// stored is the sequence number up to which grants were written.
	stored int
	// storeAt is when the next write may begin. What was granted as the coordinator is written
	// at once when another host is.
	storeAt time.Time
}

// Run keeps the log until ctx ends.
func (l *Log) Run(ctx context.Context) {
	for {
		l.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.Clock.After(interval):
		}
	}
}

func (l *Log) step(ctx context.Context) {
	coordinator := l.Coordinator()
	l.loaded = l.loaded && coordinator
	if !l.Origins.Mixed() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if coordinator && !l.loaded {
		l.load(ctx)
	}
	switch now := l.Clock.Now(); {
	case coordinator:
		l.storeAt = now
		l.store(ctx)
	case !now.Before(l.storeAt):
		if l.store(ctx) {
			l.storeAt = now.Add(fallbackInterval)
		}
	}
}

// load reads the records back. If that fails the next step tries again.
func (l *Log) load(ctx context.Context) {
	records, err := l.Store.RecentOrigins(ctx, maxRecords)
	streams := 0
	for _, record := range records {
		var batch origin.Batch
		if json.Unmarshal(record, &batch) != nil {
			// Another writer's record.
			continue
		}
		streams += batch.Len()
		l.Origins.Merge(batch)
	}
	l.loaded = err == nil
	event.OriginsLoaded.Log(l.Logger, zap.Int("streams", streams), zap.Int("records", len(records)), zap.Error(err))
}

// store writes what was granted since the last write. If that fails, the next step writes
// it. It reports whether there was anything to write.
func (l *Log) store(ctx context.Context) bool {
	batch, sequence := l.Origins.BegunSince(l.stored)
	if batch.Len() == 0 {
		l.stored = sequence
		return false
	}
	record, err := json.Marshal(batch)
	if err == nil {
		err = l.Store.AppendOrigins(ctx, record)
	}
	if err != nil {
		event.OriginsNotStored.Log(l.Logger, zap.Int("streams", batch.Len()), zap.Error(err))
		return true
	}
	l.stored = sequence
	return true
}

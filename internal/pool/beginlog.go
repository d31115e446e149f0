package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// beginLog holds the streams that this host has recorded in the last originLifetime, in order. The
// zero value is empty.
type beginLog struct {
	entries []begunStream
	// first is the sequence number of the first entry.
	first int
}

type begunStream struct {
	id      origin.StreamID
	version tables.SoftwareVersion
	// target is the target that sent the first event, which was recorded at the time at.
	target tables.TargetID
	at     time.Time
}

func (l *beginLog) add(b begunStream) {
	expired := 0
	for expired < len(l.entries) && (b.at.Sub(l.entries[expired].at) >= originLifetime || len(l.entries)-expired >= maxOrigins) {
		expired++
	}
	l.entries = append(l.entries[expired:], b)
	l.first += expired
}

// clear removes all entries. Their sequence numbers are not given again.
func (l *beginLog) clear() {
	l.first += len(l.entries)
	l.entries = nil
}

// since returns the entries from a sequence number on, and the number of the next one.
func (l *beginLog) since(sequence int) ([]begunStream, int) {
	skipped := min(max(sequence-l.first, 0), len(l.entries))
	return l.entries[skipped:], l.first + len(l.entries)
}

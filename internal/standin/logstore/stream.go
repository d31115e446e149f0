package logstore

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// stream contains the retained records of one stream. It is not safe for
// concurrent use.
type stream struct {
	// first is the offset of the oldest retained record.
	first   ports.Offset
	records []ports.Record
	// changed is closed and replaced when waiting readers must read again.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (st *stream) nextOffset() ports.Offset {
	return st.first + ports.Offset(len(st.records))
}

func (st *stream) add(now time.Time, data []byte) ports.Offset {
	offset := st.nextOffset()
	st.records = append(st.records, ports.Record{Offset: offset, Time: now, Data: slices.Clone(data)})
	st.notifyReaders()
	return offset
}

func (st *stream) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	firstKept := slices.IndexFunc(st.records, func(r ports.Record) bool { return now.Sub(r.Time) < retention })
	if firstKept < 0 {
		firstKept = len(st.records)
	}
	st.truncate(st.first + ports.Offset(firstKept))
}

func (st *stream) truncate(before ports.Offset) {
	drop := min(max(before-st.first, 0), ports.Offset(len(st.records)))
	if drop == 0 {
		return
	}
	st.records = slices.Clone(st.records[drop:])
	st.first += drop
}

// recordsFrom returns a copy of the records from offset on, limited to one page.
func (st *stream) recordsFrom(offset ports.Offset) []ports.Record {
	if offset >= st.nextOffset() {
		return nil
	}
	rest := st.records[offset-st.first:]
	size := 0
	for i, r := range rest {
		size += len(r.Data)
		if i == maxPageRecords || (i > 0 && size > maxPageBytes) {
			rest = rest[:i]
			break
		}
	}
	return slices.Clone(rest)
}

package logstore

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// stream is the kept part of one stream.
type stream struct {
	first   ports.Offset
	records []ports.Record
	// changed is closed and replaced when a reader shall look again.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (st *stream) next() ports.Offset {
	return st.first + ports.Offset(len(st.records))
}

func (st *stream) add(now time.Time, data []byte) ports.Offset {
	offset := st.next()
	st.records = append(st.records, ports.Record{Offset: offset, Time: now, Data: slices.Clone(data)})
	st.wake()
	return offset
}

func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	kept := slices.IndexFunc(st.records, func(r ports.Record) bool { return now.Sub(r.Time) < retention })
	if kept < 0 {
		kept = len(st.records)
	}
	st.truncate(st.first + ports.Offset(kept))
}

func (st *stream) truncate(before ports.Offset) {
	drop := min(max(before-st.first, 0), ports.Offset(len(st.records)))
	if drop == 0 {
		return
	}
	st.records = slices.Clone(st.records[drop:])
	st.first += drop
}

// from returns a bounded copy of the records from offset on.
func (st *stream) from(offset ports.Offset) []ports.Record {
	if offset >= st.next() {
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

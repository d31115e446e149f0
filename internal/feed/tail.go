package feed

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// tail buffers the latest records of the configuration stream, with contiguous
// offsets. It is safe for concurrent use.
type tail struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records []ports.Record
	size    int
	// The buffered records have the offsets from first up to, but not including,
	// next. next is -1 before the first read.
	first, next ports.Offset
	// oldest is the first offset that the log still retained at the last read.
	oldest ports.Offset
	// readAt is when the end of the stream was last read; zero when unknown and
	// after a failed read.
	readAt  time.Time
	changed chan struct{}
}

func newTail(clock clockwork.Clock) *tail {
	return &tail{clock: clock, next: -1, changed: make(chan struct{})}
}

// add appends the records of a page, which was read from offset from at time at.
// It discards the buffer first if there is a gap before the page, or if the stream
// now ends before the buffered records do.
func (t *tail) add(at time.Time, from ports.Offset, page ports.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := from + ports.Offset(len(page.Records))
	if end < page.Next {
		// The page is incomplete, so the end of the stream was not read.
		at = t.readAt
	}
	if from > t.next || page.Next < t.next || t.next < 0 {
		t.records, t.size, t.first, t.next = nil, 0, from, from
	}
	for _, r := range page.Records {
		if r.Offset == t.next {
			t.append(r)
		}
	}
	t.oldest = page.First
	if at.After(t.readAt) {
		t.readAt = at
	}
	t.notifyLocked()
}

// append adds one record and drops the oldest ones while the buffer exceeds
// maxTailBytes. The caller must hold t.mu.
func (t *tail) append(r ports.Record) {
	t.records = append(t.records, r)
	t.size += len(r.Data)
	t.next = r.Offset + 1
	for t.size > maxTailBytes && len(t.records) > 1 {
		t.size -= len(t.records[0].Data)
		t.records = t.records[1:]
		t.first = t.records[0].Offset
	}
}

// markUnreadable records that a read of the stream failed.
func (t *tail) markUnreadable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.readAt.IsZero() {
		t.readAt = time.Time{}
		t.notifyLocked()
	}
}

// notify wakes the waiting readers, so that they check the buffer again.
func (t *tail) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notifyLocked()
}

// notifyLocked wakes the waiting readers. The caller must hold t.mu.
func (t *tail) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next notification.
func (t *tail) nextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// age returns the time since the end of the stream was last read, or -1 when it
// is unknown or the last read failed.
func (t *tail) age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt.IsZero() {
		return -1
	}
	return t.clock.Now().Sub(t.readAt)
}

// end returns the offset after the last buffered record, or -1 before the first
// read.
func (t *tail) end() ports.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// page returns the buffered records from an offset on, or none if the offset is
// the end. It reports false for an offset outside the buffer.
func (t *tail) page(from ports.Offset) (ports.Page, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next < 0 || from < t.first || from > t.next {
		return ports.Page{}, false
	}
	out := ports.Page{First: t.oldest, Next: t.next}
	out.Records = append(out.Records, t.records[from-t.first:]...)
	return out, true
}

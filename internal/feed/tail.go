package feed

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// tail keeps the latest records of the configuration stream without a gap. It
// is safe for concurrent use.
type tail struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records []ports.Record
	bytes   int
	// first and next bound the offsets that are kept; next is the end of the
	// stream when it was last read.
	first, next ports.Offset
	// oldest is the first offset that the log keeps.
	oldest ports.Offset
	// read is when the end of the stream was last read; zero while it cannot
	// be read.
	read    time.Time
	changed chan struct{}
}

func newTail(clock clockwork.Clock) *tail {
	return &tail{clock: clock, next: -1, changed: make(chan struct{})}
}

// note takes the page that a read from an offset gave at a time. A page that
// does not follow what is kept replaces it.
func (t *tail) note(at time.Time, from ports.Offset, page ports.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := from + ports.Offset(len(page.Records))
	if end < page.Next {
		// More records follow: the end has not been read.
		at = t.read
	}
	if from > t.next || page.Next < t.next || t.next < 0 {
		t.records, t.bytes, t.first, t.next = nil, 0, from, from
	}
	for _, r := range page.Records {
		if r.Offset == t.next {
			t.append(r)
		}
	}
	t.oldest = page.First
	if at.After(t.read) {
		t.read = at
	}
	t.tell()
}

func (t *tail) append(r ports.Record) {
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	t.next = r.Offset + 1
	for t.bytes > tailBytes && len(t.records) > 1 {
		t.bytes -= len(t.records[0].Data)
		t.records = t.records[1:]
		t.first = t.records[0].Offset
	}
}

// fail notes that the stream could not be read.
func (t *tail) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.read.IsZero() {
		t.read = time.Time{}
		t.tell()
	}
}

// wake wakes those that wait, so that they look anew.
func (t *tail) wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tell()
}

// tell wakes those that wait for a change; t.mu is held.
func (t *tail) tell() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// waiting returns a channel that is closed at the next change.
func (t *tail) waiting() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// age returns the time since the end of the stream was last read; negative
// while it cannot be read.
func (t *tail) age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.read.IsZero() {
		return -1
	}
	return t.clock.Now().Sub(t.read)
}

// end returns the offset after the last record; negative while none was read.
func (t *tail) end() ports.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// page returns the records from an offset on, none when it is the end. It
// reports false for an offset that is not kept.
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

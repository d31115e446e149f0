package watch

import (
	"slices"
	"time"
)

// unread is the end of a stream that has not been applied at all.
const unread = -1

// removalGrace is the time after the end of an outage of the store, or after its
// restoration, during which a removal takes no effect, so that records that
// expired or were lost can be written again.
const removalGrace = 2 * time.Second

// Mark is the position before which all records of a stream have been applied.
type Mark struct {
	Incarnation int64 `json:"incarnation,omitempty"`
	// End is an offset, or unread.
	End int64 `json:"end"`
}

// Span is the part of a stream that an update covers: the update holds the newest
// record of every key that has one in it.
type Span struct {
	Mark
	// From is the offset of the first record of the span. It is zero if the span
	// covers everything before End.
	From int64 `json:"from,omitempty"`
}

// stream holds the records of one stream.
type stream struct {
	// records holds the newest record of each key, including removals.
	records map[string]appliedRecord
	mark    Mark
	// readFrom is the offset from which on this host itself has read the records
	// up to mark from the store.
	readFrom int64
	// Until removalsHeldUntil, the decoded values of removed records are kept.
	// heldRemovals holds these removals by key.
	removalsHeldUntil time.Time
	heldRemovals      map[string]Record
}

// appliedRecord is a record with the sequence number of its application. Large
// values are compressed.
type appliedRecord struct {
	Record
	seq int
	// fromStore is true if this host has read the record from the store or has
	// written it there.
	fromStore bool
}

func newStream() *stream {
	return &stream{records: make(map[string]appliedRecord), mark: Mark{End: unread}, heldRemovals: make(map[string]Record)}
}

// coverage returns the coverage of a span that follows what has been applied.
func (st *stream) coverage(span *Span) Coverage {
	switch {
	case span == nil:
		return uncovered
	case span.Incarnation < st.mark.Incarnation:
		return outdated
	case span.From <= 0:
		return covered
	case span.Incarnation > st.mark.Incarnation || span.From > st.mark.End:
		return gap
	default:
		return covered
	}
}

// advance records that the records of a span have been applied, if nothing is
// missing before it. span may be nil.
func (st *stream) advance(now time.Time, span *Span, fromStore bool) Coverage {
	coverage := st.coverage(span)
	if coverage != covered {
		return coverage
	}
	if span.Incarnation > st.mark.Incarnation {
		if st.mark.End != unread {
			st.holdRemovalsUntil(now.Add(removalGrace))
		}
		st.mark = Mark{Incarnation: span.Incarnation, End: unread}
	}
	before := st.mark.End
	st.mark.End = max(before, span.End)
	switch {
	case fromStore && span.From <= 0:
		st.readFrom = 0
	case !fromStore && span.End > before:
		st.readFrom = st.mark.End
	}
	return covered
}

// holdsRemoval keeps a removal for later and returns true if removals are held.
func (st *stream) holdsRemoval(now time.Time, r Record) bool {
	if !now.Before(st.removalsHeldUntil) {
		return false
	}
	st.heldRemovals[r.Key] = r
	return true
}

func (st *stream) holdRemovalsUntil(at time.Time) {
	if at.After(st.removalsHeldUntil) {
		st.removalsHeldUntil = at
	}
}

// takeHeldRemovals returns and forgets the held removals if they are due.
func (st *stream) takeHeldRemovals(now time.Time) []Record {
	if len(st.heldRemovals) == 0 || now.Before(st.removalsHeldUntil) {
		return nil
	}
	out := make([]Record, 0, len(st.heldRemovals))
	for _, r := range st.heldRemovals {
		out = append(out, r)
	}
	clear(st.heldRemovals)
	slices.SortFunc(out, func(a, b Record) int { return int(a.Offset - b.Offset) })
	return out
}

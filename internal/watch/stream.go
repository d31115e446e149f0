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
// record of every key that has one in it. If Listing is true, the update lacks removals,
// and Keys tells which keys are left instead.
type Span struct {
	Mark
	// From is the offset of the first record of the span. It is zero if the span
	// covers everything before End.
	From int64 `json:"from,omitempty"`
	// Listing is true if Keys holds every key that has a value at End. Others are removed.
	Listing bool `json:"listing,omitempty"`
	// Keys may hold, besides these keys, some that were written later.
	Keys []string `json:"keys,omitempty"`
}

// listed returns the keys of a listing; nil if the span is none.
func (s Span) listed() map[string]bool {
	if !s.Listing {
		return nil
	}
	out := make(map[string]bool, len(s.Keys))
	for _, key := range s.Keys {
		out[key] = true
	}
	return out
}

// stream holds the records of one stream.
type stream struct {
	// records holds the newest record of each key, including removals.
	records map[string]appliedRecord
	mark    Mark
	// completeFrom is the offset from which on records holds every key that had a record,
	// also those that were removed: a listing does not show what was removed before it.
	// It is unread if nothing has been applied in this incarnation.
	completeFrom int64
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
	// written it there, or if the record replaces such a one and is newer than the mark.
	fromStore bool
}

func newStream() *stream {
	return &stream{records: make(map[string]appliedRecord), mark: Mark{End: unread}, completeFrom: unread, heldRemovals: make(map[string]Record)}
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
		st.completeFrom = unread
	}
	if span.End <= st.mark.End {
		return covered
	}
	first := st.mark.End == unread
	st.mark.End = span.End
	st.extend(span, first, fromStore)
	return covered
}

// extend records from where on the records before the end of a span are complete and were
// read by this host. first is true for the first span of an incarnation. Peers of the build
// before Listing send listings as spans from zero.
func (st *stream) extend(span *Span, first, fromStore bool) {
	switch {
	case span.Listing, first && !fromStore:
		st.completeFrom = span.End
	case first:
		st.completeFrom = span.From
	}
	switch {
	case span.Listing, !fromStore:
		st.readFrom = span.End
	case first:
		st.readFrom = span.From
	}
}

// covers reports whether the stream has been applied up to a position.
func (st *stream) covers(p Position) bool {
	return p.Before(Position{st.mark.Incarnation, st.mark.End})
}

// excludes reports whether a record that is not known is outdated: the newest record before
// completeFrom of each key that had a value there is known.
func (st *stream) excludes(p Position) bool {
	return st.completeFrom != unread && p.Before(Position{st.mark.Incarnation, st.completeFrom})
}

// liveKeys returns the keys that have a value, sorted. A value of an older incarnation, kept
// because the restored store may have lost it, is not known to be in the store.
func (st *stream) liveKeys() []string {
	var out []string
	for key, r := range st.records {
		if r.Value != nil && r.Incarnation >= st.mark.Incarnation {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
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

package watch

// Change is an applied record.
type Change struct {
	Stream Stream `json:"stream"`
	Record Record `json:"record"`
}

// Snapshot is a part of a state at one point in time.
type Snapshot struct {
	Changes []Change
	// Spans holds the part of each stream that Changes covers.
	Spans map[Stream]Span
	// Departures holds the departures of targets that belong to the part.
	Departures []Departure
	// Seq is the sequence number of the last change that the state had applied.
	Seq int
}

// Marks returns the ends of the spans.
func (s Snapshot) Marks() map[Stream]Mark {
	out := make(map[Stream]Mark, len(s.Spans))
	for name, span := range s.Spans {
		out[name] = span.Mark
	}
	return out
}

// sentState tells up to where a state was sent to a host.
type sentState struct {
	seq                     int
	configs, targets, hosts Mark
	// carried is true if the last update carried the state. The next one may then say
	// that nothing has changed.
	carried bool
}

// sameAs reports whether nothing was applied between two states.
func (s sentState) sameAs(other sentState) bool {
	return s.seq == other.seq && s.configs == other.configs && s.targets == other.targets && s.hosts == other.hosts
}

func (s Snapshot) sentState() sentState {
	return sentState{seq: s.Seq, configs: s.Spans[Configs].Mark, targets: s.Spans[Targets].Mark, hosts: s.Spans[Hosts].Mark}
}

func (s sentState) marks() map[Stream]Mark {
	return map[Stream]Mark{Configs: s.configs, Targets: s.targets, Hosts: s.hosts}
}

// Since returns the newest records of the keys that changed after an earlier
// snapshot with sequence number seq and the given marks.
func (s *State) Since(seq int, marks map[Stream]Mark) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.snapshot(func(name Stream, st *stream) int64 { return st.continuation(marks, name) },
		func(_ Stream, r appliedRecord) bool { return r.seq > seq })
	out.Departures = s.departuresSince(seq, false)
	return out
}

// After returns the newest records that a host lacks that has applied the streams
// up to the given marks.
func (s *State) After(marks map[Stream]Mark) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.snapshot(func(name Stream, st *stream) int64 { return st.continuation(marks, name) },
		func(name Stream, r appliedRecord) bool {
			mark, known := marks[name]
			// The restored store lacks the records of older incarnations, so that marks
			// do not tell which host has them.
			return !known || r.Incarnation < s.streams[name].mark.Incarnation || !r.Position().Before(Position{mark.Incarnation, mark.End})
		})
	out.Departures = s.departuresSince(0, false)
	return out
}

// StoreReadsSince returns the records that changed after sequence number seq and
// that this host has read from the store or has written there, and the departures
// that targets have announced to it.
func (s *State) StoreReadsSince(seq int) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.snapshot(func(_ Stream, st *stream) int64 { return st.readFrom },
		func(_ Stream, r appliedRecord) bool { return r.seq > seq && r.fromStore })
	out.Departures = s.departuresSince(seq, true)
	return out
}

// empty reports whether the snapshot holds nothing but spans.
func (s Snapshot) empty() bool { return len(s.Changes) == 0 && len(s.Departures) == 0 }

// snapshot returns the wanted records. from returns the offset from which they
// cover a stream. The lock must be held.
func (s *State) snapshot(from func(Stream, *stream) int64, wanted func(Stream, appliedRecord) bool) Snapshot {
	out := Snapshot{Spans: make(map[Stream]Span, len(s.streams)), Seq: s.seq}
	for _, name := range Streams() {
		st := s.streams[name]
		out.Spans[name] = st.span(from(name, st))
		for _, r := range st.records {
			if wanted(name, r) {
				out.Changes = append(out.Changes, Change{Stream: name, Record: r.Record})
			}
		}
	}
	return out
}

// span returns the span from an offset to the mark. It is a listing if this host does not
// know all that was removed since, or if the receiver may know another incarnation.
func (st *stream) span(from int64) Span {
	out := Span{Mark: st.mark, From: from}
	if st.mark.End != unread && (from == 0 || from < st.completeFrom) {
		out.Listing, out.Keys = true, st.liveKeys()
	}
	return out
}

// continuation returns the offset from which a span continues the mark of the
// stream in marks, or zero if it starts anew.
func (st *stream) continuation(marks map[Stream]Mark, name Stream) int64 {
	mark, known := marks[name]
	if !known || mark.Incarnation != st.mark.Incarnation {
		return 0
	}
	return max(mark.End, 0)
}

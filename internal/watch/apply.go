package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

// batch is a set of records of one stream.
type batch struct {
	records []Record
	// span is the part of the stream that the records cover; nil if unknown.
	span   *Span
	source source
}

// source tells how a host has learned of a record.
type source string

const (
	// sourceStore means that this host has read the record from the store.
	sourceStore source = "store"
	// sourceListing means that it has read a listing of the stream.
	sourceListing source = "listing"
	// sourceOwn means that it has written the record to the store.
	sourceOwn source = "own"
	// sourcePeer means that another host has sent it.
	sourcePeer source = "peer"
	// sourceCopy means that it was in the copy of the list of hosts.
	sourceCopy source = "copy"
	// sourceGrace means that the effect of a removal was held until now.
	sourceGrace source = "grace"
)

// ownAccess reports whether this host itself has read the record from the store or has
// written it there.
func (s source) ownAccess() bool { return s != sourcePeer && s != sourceCopy }

// Apply applies records that this host has read from the store, starting at
// offset from. It returns false, without effect, if the store has been restored
// since and the stream must be listed, or if the page is of an older incarnation.
func (s *State) Apply(now time.Time, name Stream, from int64, page Page) bool {
	if page.Incarnation != s.Mark(name).Incarnation {
		return false
	}
	span := Span{Mark: Mark{page.Incarnation, page.End}, From: from}
	b := batch{records: page.stamped(), span: &span, source: sourceStore}
	return s.applyBatch(now, name, b) == covered
}

// ApplyOwn applies a record that this host has written to the store.
func (s *State) ApplyOwn(now time.Time, name Stream, r Record) {
	s.applyBatch(now, name, batch{records: []Record{r}, source: sourceOwn})
}

// ApplyListing applies the newest records of all keys. Keys that are not in the
// listing are removed unless their record is newer than the listing. It returns
// false, without effect, if the listing is of an older incarnation of the store.
func (s *State) ApplyListing(now time.Time, name Stream, page Page) bool {
	if page.Incarnation < s.Mark(name).Incarnation {
		return false
	}
	span := Span{Mark: Mark{page.Incarnation, page.End}, Listing: true}
	for _, r := range page.Records {
		span.Keys = append(span.Keys, r.Key)
	}
	b := batch{records: page.stamped(), span: &span, source: sourceListing}
	return s.applyBatch(now, name, b) == covered
}

// Coverage tells what a batch did to the mark of a stream.
type Coverage uint8

// The values of Coverage.
const (
	// uncovered means that the batch has no span.
	uncovered Coverage = iota
	// covered means that all records before the end of the span have been applied.
	covered
	// gap means that records before the span are missing.
	gap
	// outdated means that the span is of an older incarnation of the store.
	outdated
)

// Missing reports whether records before the span are missing.
func (c Coverage) Missing() bool { return c == gap }

// stamped returns the records with the incarnation of the page.
func (p Page) stamped() []Record {
	for i := range p.Records {
		p.Records[i].Incarnation = p.Incarnation
	}
	return p.Records
}

// ApplyUpdate applies changes received from a peer. spans holds the part of each
// stream that the changes cover.
func (s *State) ApplyUpdate(now time.Time, changes []Change, spans map[Stream]Span) map[Stream]Coverage {
	byStream := make(map[Stream][]Record)
	for _, c := range changes {
		byStream[c.Stream] = append(byStream[c.Stream], c.Record)
	}
	out := make(map[Stream]Coverage, len(s.streams))
	for _, name := range Streams() {
		b := batch{records: byStream[name], source: sourcePeer}
		if span, reported := spans[name]; reported && span.End != unread {
			b.span = &span
		}
		out[name] = s.applyBatch(now, name, b)
	}
	return out
}

// applyBatch applies a batch. Its records are applied whatever the coverage.
func (s *State) applyBatch(now time.Time, name Stream, b batch) Coverage {
	if len(b.records) == 0 && b.span == nil {
		return uncovered
	}
	s.mu.Lock()
	st := s.streams[name]
	before := *st
	coverage := st.advance(now, b.span, b.source.ownAccess())
	changed := false
	for _, r := range b.records {
		changed = s.applyRecord(now, name, &before, r, b.source) || changed
	}
	if coverage == covered && b.span.Listing {
		changed = s.removeUnlisted(now, name, &before, b) || changed
	}
	s.mu.Unlock()
	if changed {
		s.OnChange(name)
	}
	return coverage
}

// removeUnlisted removes the keys that are missing from a listing and whose
// records are older than it. before is the stream as it was before the listing.
func (s *State) removeUnlisted(now time.Time, name Stream, before *stream, b batch) bool {
	st := s.streams[name]
	listed := b.span.listed()
	changed := false
	for key, r := range st.records {
		if listed[key] || r.Value == nil || !r.Position().Before(Position{b.span.Incarnation, b.span.End}) {
			continue
		}
		if name == Configs && r.Incarnation < b.span.Incarnation && s.decoder.IsRollout(key) {
			// The restored store has lost the order; only its own removal ends it.
			continue
		}
		removal := Record{Key: key, Offset: b.span.End - 1, Incarnation: b.span.Incarnation}
		changed = s.applyRecord(now, name, before, removal, b.source) || changed
	}
	return changed
}

// applyRecord applies a record unless it is outdated, and reports whether the
// configuration, the targets or the hosts may have changed. before is the stream as it
// was before the batch of the record.
func (s *State) applyRecord(now time.Time, name Stream, before *stream, r Record, from source) bool {
	if r.Key == "" {
		return false
	}
	st := s.streams[name]
	old, known := st.records[r.Key]
	if known && old.Position() == r.Position() && r.Offset >= before.mark.End && r.Offset < st.mark.End {
		// The record was known before the stream had been applied up to it. From now
		// on, the spans sent to peers cover it.
		s.seq++
		old.seq, old.fromStore = s.seq, old.fromStore || from.ownAccess()
		st.records[r.Key] = old
		return false
	}
	if known && !old.Position().Before(r.Position()) && !s.isConfig(name, r) {
		return false
	}
	if !s.isConfig(name, r) && before.excludes(r.Position()) {
		// Another host, or an answer that was long on its way, does not know that the record
		// has been removed or replaced.
		return false
	}
	plain, err := decompress(r)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return false
	}
	if s.isConfig(name, r) {
		return s.applyConfig(plain, from)
	}
	s.storeRecord(name, plain, from)
	return s.updateDecoded(now, name, plain, from)
}

// storeRecord stores an uncompressed record as the newest one of its key.
func (s *State) storeRecord(name Stream, plain Record, from source) {
	compressed, err := compress(plain)
	if err != nil {
		// The uncompressed record is stored instead.
		event.EntryIgnored.Log(s.logger, zap.String("key", plain.Key), zap.Int64("offset", plain.Offset), zap.Error(err))
	}
	s.seq++
	st := s.streams[name]
	replacesRead := st.records[plain.Key].fromStore && !st.covers(plain.Position())
	st.records[plain.Key] = appliedRecord{compressed, s.seq, from.ownAccess() || replacesRead}
}

func (s *State) isConfig(name Stream, r Record) bool {
	return name == Configs && s.decoder.IsConfig(r.Key)
}

// applyConfig applies a record that holds the configuration, and reports whether it
// changed. The version decides, not the position: a restored store shows old
// versions at new positions, which must not reach other hosts either. The
// configuration is never removed.
func (s *State) applyConfig(plain Record, from source) bool {
	old, known := s.streams[Configs].records[plain.Key]
	if plain.Value == nil || known && old.Position() == plain.Position() {
		return false
	}
	c, err := s.decoder.Config(plain.Value)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", plain.Key), zap.Int64("offset", plain.Offset), zap.Error(err))
		return false
	}
	if s.config != nil && c.Version < s.config.Version {
		return false
	}
	if s.config != nil && c.Version == s.config.Version && !old.Position().Before(plain.Position()) {
		return false
	}
	s.storeRecord(Configs, plain, from)
	changed := s.config == nil || c.Version > s.config.Version
	if changed {
		event.ConfigInForce.Log(s.logger, zap.Uint64("version", c.Version), zap.Int64("offset", plain.Offset), zap.Int("routes", c.RouteCount()),
			zap.Int("customers", c.CustomerCount()), zap.Bool("key_required", c.KeyRequired))
		if s.config != nil && s.config.KeyRequired && !c.KeyRequired {
			event.KeysNoLongerRequired.Log(s.logger, zap.Uint64("version", c.Version), zap.Uint64("before", s.config.Version))
		}
		s.config = c
	}
	return changed
}

package watch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// State holds the records of the store that a host knows. It is safe for
// concurrent use.
type State struct {
	decoder Decoder
	logger  *zap.Logger
	// OnChange is called with the stream whose decoded values (the configuration,
	// the targets or the hosts) may have changed. No lock is held.
	OnChange func(Stream)

	mu      sync.Mutex
	streams map[Stream]*stream
	// seq is the sequence number of the last applied change.
	seq     int
	config  *fleet.Config
	targets map[tables.TargetID]fleet.Target
	hosts   map[tables.HostID]fleet.Host
	// Until removalsHeldUntil, targets are kept although their records were
	// removed, since the records may have expired while the store was unavailable.
	// heldRemovals holds these removals by key.
	removalsHeldUntil time.Time
	heldRemovals      map[string]Record
}

type stream struct {
	// records holds the newest record of each key, including removals.
	records map[string]appliedRecord
	// end is the offset up to which the stream has been applied; -1 before the
	// first listing.
	end int64
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

// Change is an applied record.
type Change struct {
	Stream Stream `json:"stream"`
	Record Record `json:"record"`
}

// NewState returns an empty state.
func NewState(decoder Decoder, logger *zap.Logger) *State {
	s := &State{
		decoder:      decoder,
		logger:       logger,
		OnChange:     func(Stream) {},
		streams:      make(map[Stream]*stream),
		targets:      make(map[tables.TargetID]fleet.Target),
		hosts:        make(map[tables.HostID]fleet.Host),
		heldRemovals: make(map[string]Record),
	}
	for _, name := range Streams() {
		s.streams[name] = &stream{records: make(map[string]appliedRecord), end: -1}
	}
	return s
}

// Config returns the newest configuration, or nil if there is none.
func (s *State) Config() *fleet.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Targets returns the targets in no particular order.
func (s *State) Targets() []fleet.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Target, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, t)
	}
	return out
}

// Target returns a target by ID.
func (s *State) Target(id tables.TargetID) (fleet.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	return t, ok
}

// Hosts returns the hosts in no particular order.
func (s *State) Hosts() []fleet.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		out = append(out, h)
	}
	return out
}

// Complete reports whether there is a configuration and a list of targets.
func (s *State) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config != nil && s.streams[Targets].end >= 0
}

// End returns the offset up to which a stream has been applied, or -1 before
// the first listing.
func (s *State) End(name Stream) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[name].end
}

// Apply applies records that this host has read from the store or has written
// there.
func (s *State) Apply(now time.Time, name Stream, page Page) {
	s.applyBatch(now, name, batch{records: page.Records, end: page.End, fromStore: true})
}

// ApplyListing applies the newest records of all keys. Keys that are not in the
// listing are removed unless their record is newer than the listing.
func (s *State) ApplyListing(now time.Time, name Stream, page Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	s.applyBatch(now, name, batch{records: page.Records, end: page.End, listed: listed, fromStore: true})
}

// batch is a set of records of one stream.
type batch struct {
	records []Record
	end     int64
	// listed holds every key of a listing; nil if the batch is not a listing.
	listed map[string]bool
	// fromStore is true if this host has read the records from the store or has
	// written them there.
	fromStore bool
}

func (s *State) applyBatch(now time.Time, name Stream, b batch) {
	s.mu.Lock()
	st := s.streams[name]
	changed := false
	for _, r := range b.records {
		changed = s.applyRecord(now, name, st, r, b.fromStore) || changed
	}
	if b.listed != nil {
		for key, r := range st.records {
			if !b.listed[key] && r.Value != nil && r.Offset < b.end {
				changed = s.applyRecord(now, name, st, Record{Key: key, Offset: b.end - 1}, b.fromStore) || changed
			}
		}
	}
	st.end = max(st.end, b.end)
	s.mu.Unlock()
	if changed {
		s.OnChange(name)
	}
}

// applyRecord applies a record unless it is outdated, and reports whether the
// configuration, the targets or the hosts may have changed.
func (s *State) applyRecord(now time.Time, name Stream, st *stream, r Record, fromStore bool) bool {
	if r.Key == "" {
		return false
	}
	if old, known := st.records[r.Key]; known && old.Offset >= r.Offset {
		return false
	}
	plain, err := decompress(r)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return false
	}
	compressed, err := compress(plain)
	if err != nil {
		// The uncompressed record is stored instead.
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
	}
	s.seq++
	st.records[r.Key] = appliedRecord{compressed, s.seq, fromStore}
	return s.updateDecoded(now, name, plain)
}

// updateDecoded updates the configuration, the targets or the hosts from a record, and
// reports whether they may have changed.
func (s *State) updateDecoded(now time.Time, name Stream, r Record) bool {
	switch name {
	case Configs:
		return s.updateConfig(r)
	case Targets:
		return s.updateTarget(now, r)
	default:
		return s.updateHost(r)
	}
}

func (s *State) updateConfig(r Record) bool {
	if r.Value == nil || !s.decoder.IsConfig(r.Key) {
		return false
	}
	c, err := s.decoder.Config(r.Value)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return false
	}
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config = c
	event.ConfigInForce.Log(s.logger, zap.Uint64("version", c.Version), zap.Int64("offset", r.Offset), zap.Int("routes", c.RouteCount()))
	return true
}

func (s *State) updateTarget(now time.Time, r Record) bool {
	id := tables.TargetID(r.Key)
	delete(s.heldRemovals, r.Key)
	if r.Value == nil {
		if _, known := s.targets[id]; known && now.Before(s.removalsHeldUntil) {
			s.heldRemovals[r.Key] = r
			return true
		}
		return s.removeTarget(id, r)
	}
	t, err := s.decoder.Target(r.Key, r.Value)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return s.removeTarget(id, r)
	}
	if old, known := s.targets[id]; known && old == t {
		return false
	}
	s.targets[id] = t
	event.TargetListed.Log(s.logger, zap.String("target", string(id)), zap.String("service", string(t.Service)),
		zap.String("address", t.Address), zap.Bool("leaving", t.Leaving), zap.Int64("offset", r.Offset))
	return true
}

func (s *State) removeTarget(id tables.TargetID, r Record) bool {
	if _, known := s.targets[id]; !known {
		return false
	}
	delete(s.targets, id)
	event.TargetRemoved.Log(s.logger, zap.String("target", string(id)), zap.Int64("offset", r.Offset))
	return true
}

func (s *State) updateHost(r Record) bool {
	id := tables.HostID(r.Key)
	old, known := s.hosts[id]
	if r.Value == nil {
		delete(s.hosts, id)
		return known
	}
	h, err := decodeHost(r.Value)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return false
	}
	s.hosts[id] = h
	return !known || old != h
}

// HoldRemovalsUntil delays the effect of removals of target records: a removal
// applied from now on takes effect no earlier than the given time. The records of
// live targets may have expired while the store was unavailable.
func (s *State) HoldRemovalsUntil(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removalsHeldUntil = at
}

// ApplyHeldRemovals removes the targets whose removal was held, once the time set
// by HoldRemovalsUntil has passed.
func (s *State) ApplyHeldRemovals(now time.Time) {
	s.mu.Lock()
	if len(s.heldRemovals) == 0 || now.Before(s.removalsHeldUntil) {
		s.mu.Unlock()
		return
	}
	for key, r := range s.heldRemovals {
		s.removeTarget(tables.TargetID(key), r)
	}
	clear(s.heldRemovals)
	s.mu.Unlock()
	s.OnChange(Targets)
}

// Snapshot is a part of a state at one point in time.
type Snapshot struct {
	Changes []Change
	// Ends holds the offset up to which each stream had been applied.
	Ends map[Stream]int64
	// Seq is the sequence number of the last change that the state had applied.
	Seq int
}

// Since returns the newest records of the keys that changed after sequence
// number n.
func (s *State) Since(n int) Snapshot {
	return s.since(func(r appliedRecord) bool { return r.seq > n })
}

// StoreReadsSince returns the records of Since that this host has read from the
// store or has written there.
func (s *State) StoreReadsSince(n int) Snapshot {
	return s.since(func(r appliedRecord) bool { return r.seq > n && r.fromStore })
}

func (s *State) since(wanted func(appliedRecord) bool) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{Ends: make(map[Stream]int64, len(s.streams)), Seq: s.seq}
	for _, name := range Streams() {
		out.Changes = s.appendWanted(out.Changes, name, wanted)
		out.Ends[name] = s.streams[name].end
	}
	return out
}

// AllOf returns the newest record of every key of a stream.
func (s *State) AllOf(name Stream) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendWanted(nil, name, func(appliedRecord) bool { return true })
}

func (s *State) appendWanted(out []Change, name Stream, wanted func(appliedRecord) bool) []Change {
	for _, r := range s.streams[name].records {
		if wanted(r) {
			out = append(out, Change{Stream: name, Record: r.Record})
		}
	}
	return out
}

// NewerThan returns the records that another host does not have or has only in
// an older version. theirs are the records of that host.
func (s *State) NewerThan(theirs []Change) Snapshot {
	type key struct {
		stream Stream
		key    string
	}
	known := make(map[key]int64, len(theirs))
	for _, c := range theirs {
		known[key{c.Stream, c.Record.Key}] = c.Record.Offset
	}
	out := s.Since(0)
	newer := out.Changes[:0]
	for _, c := range out.Changes {
		offset, has := known[key{c.Stream, c.Record.Key}]
		if !has || offset < c.Record.Offset {
			newer = append(newer, c)
		}
	}
	out.Changes = newer
	return out
}

// ApplyUpdate applies changes received from a peer. ends holds the offset up to
// which the peer has applied each stream. With the changes, this state has
// applied as much.
func (s *State) ApplyUpdate(now time.Time, changes []Change, ends map[Stream]int64) {
	byStream := make(map[Stream][]Record)
	for _, c := range changes {
		byStream[c.Stream] = append(byStream[c.Stream], c.Record)
	}
	for _, name := range Streams() {
		end, reported := ends[name]
		if !reported {
			end = -1
		}
		s.applyBatch(now, name, batch{records: byStream[name], end: end})
	}
}

package watch

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// State is what a host knows of the store's records. It is safe for concurrent
// use.
type State struct {
	decoder Decoder
	logger  *zap.Logger
	// Changed is called after records were taken in, without a lock held.
	Changed func(Stream)

	mu      sync.Mutex
	streams map[Stream]*stream
	// changes lists the records in the order in which this host took them in.
	changes []Change
	config  *fleet.Config
	targets map[tables.TargetID]fleet.Target
	hosts   map[tables.HostID]fleet.Host
	// heldUntil keeps targets whose entries lapsed while the store was away.
	heldUntil time.Time
	held      map[string]Record
}

type stream struct {
	// records holds the newest record of each key, also those that removed it.
	records map[string]Record
	// end is the offset up to which the stream is known; -1 before the first
	// listing.
	end int64
}

// Change is a record that was taken in.
type Change struct {
	Stream Stream `json:"stream"`
	Record Record `json:"record"`
}

// NewState returns a state that knows nothing.
func NewState(decoder Decoder, logger *zap.Logger) *State {
	s := &State{
		decoder: decoder,
		logger:  logger,
		Changed: func(Stream) {},
		streams: make(map[Stream]*stream),
		targets: make(map[tables.TargetID]fleet.Target),
		hosts:   make(map[tables.HostID]fleet.Host),
		held:    make(map[string]Record),
	}
	for _, name := range Streams() {
		s.streams[name] = &stream{records: make(map[string]Record), end: -1}
	}
	return s
}

// Config returns the newest configuration, or nil before the first.
func (s *State) Config() *fleet.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Targets returns the targets in no fixed order.
func (s *State) Targets() []fleet.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Target, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, t)
	}
	return out
}

// Target returns the target of an ID.
func (s *State) Target(id tables.TargetID) (fleet.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	return t, ok
}

// Hosts returns the hosts in no fixed order.
func (s *State) Hosts() []fleet.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		out = append(out, h)
	}
	return out
}

// Complete reports whether a configuration and a list of targets are known.
func (s *State) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config != nil && s.streams[Targets].end >= 0
}

// End returns the offset up to which a stream is known, -1 before the first
// listing.
func (s *State) End(name Stream) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[name].end
}

// Take takes in the records that were read from an offset on.
func (s *State) Take(now time.Time, name Stream, page Page) {
	s.take(now, name, page.Records, page.End, nil)
}

// TakeListing takes in the newest records of all keys. Keys that it lacks were
// removed.
func (s *State) TakeListing(now time.Time, name Stream, page Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	s.take(now, name, page.Records, page.End, listed)
}

func (s *State) take(now time.Time, name Stream, records []Record, end int64, listed map[string]bool) {
	s.mu.Lock()
	st := s.streams[name]
	changed := false
	for _, r := range records {
		changed = s.apply(now, name, st, r) || changed
	}
	if listed != nil {
		for key, r := range st.records {
			if !listed[key] && r.Value != nil && r.Offset < end {
				changed = s.apply(now, name, st, Record{Key: key, Offset: end - 1}) || changed
			}
		}
	}
	st.end = max(st.end, end)
	s.mu.Unlock()
	if changed {
		s.Changed(name)
	}
}

// apply takes in one record and reports whether it was new.
func (s *State) apply(now time.Time, name Stream, st *stream, r Record) bool {
	if r.Key == "" {
		return false
	}
	old, known := st.records[r.Key]
	if known && old.Offset >= r.Offset {
		return false
	}
	st.records[r.Key] = r
	matters := s.decode(now, name, r)
	if matters {
		s.changes = append(s.changes, Change{Stream: name, Record: r})
	}
	return matters
}

// decode brings the entities in line with a record and reports whether that
// changed anything.
func (s *State) decode(now time.Time, name Stream, r Record) bool {
	switch name {
	case Configs:
		return s.decodeConfig(r)
	case Targets:
		return s.decodeTarget(now, r)
	default:
		return s.decodeHost(r)
	}
}

func (s *State) decodeConfig(r Record) bool {
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
	event.ConfigInForce.Log(s.logger, zap.Uint64("version", c.Version), zap.Int64("offset", r.Offset), zap.Int("routes", c.Routes()))
	return true
}

func (s *State) decodeTarget(now time.Time, r Record) bool {
	id := tables.TargetID(r.Key)
	delete(s.held, r.Key)
	if r.Value == nil {
		if _, known := s.targets[id]; known && now.Before(s.heldUntil) {
			s.held[r.Key] = r
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

func (s *State) decodeHost(r Record) bool {
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

// HoldUntil keeps targets whose entries are removed before a time, since the
// entries of live targets may have lapsed while the store was away.
func (s *State) HoldUntil(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUntil = at
}

// ReleaseHeld removes the targets that HoldUntil has kept for long enough.
func (s *State) ReleaseHeld(now time.Time) {
	s.mu.Lock()
	if len(s.held) == 0 || now.Before(s.heldUntil) {
		s.mu.Unlock()
		return
	}
	for key, r := range s.held {
		s.removeTarget(tables.TargetID(key), r)
	}
	clear(s.held)
	s.mu.Unlock()
	s.Changed(Targets)
}

// Since returns the changes after the first n, and their number.
func (s *State) Since(n int) ([]Change, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes[min(n, len(s.changes)):]), len(s.changes)
}

// Ends returns the offset up to which each stream is known.
func (s *State) Ends() map[Stream]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Stream]int64, len(s.streams))
	for name, st := range s.streams {
		out[name] = st.end
	}
	return out
}

// All returns the newest record of every key with the number of changes that
// it includes.
func (s *State) All() ([]Change, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for _, name := range Streams() {
		out = s.appendAll(out, name)
	}
	return out, len(s.changes)
}

// AllOf returns the newest record of every key of one stream.
func (s *State) AllOf(name Stream) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendAll(nil, name)
}

func (s *State) appendAll(out []Change, name Stream) []Change {
	for _, r := range s.streams[name].records {
		out = append(out, Change{Stream: name, Record: r})
	}
	return out
}

// TakeNews takes in what a peer told. Its streams count as known up to ends.
func (s *State) TakeNews(now time.Time, changes []Change, ends map[Stream]int64) {
	byStream := make(map[Stream][]Record)
	for _, c := range changes {
		byStream[c.Stream] = append(byStream[c.Stream], c.Record)
	}
	for _, name := range Streams() {
		end, told := ends[name]
		if !told {
			end = -1
		}
		s.take(now, name, byStream[name], end, nil)
	}
}

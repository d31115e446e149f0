package watch

import (
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
	// taken counts the changes that this host took in.
	taken   int
	config  *fleet.Config
	targets map[tables.TargetID]fleet.Target
	hosts   map[tables.HostID]fleet.Host
	// heldUntil keeps targets whose entries lapsed while the store was away.
	heldUntil time.Time
	held      map[string]Record
}

type stream struct {
	// records holds the newest record of each key, also those that removed it.
	records map[string]numbered
	// end is the offset up to which the stream is known; -1 before the first
	// listing.
	end int64
}

// numbered is a record with its place in the order in which this host took
// records in. Large values are packed.
type numbered struct {
	Record
	taken int
	// own is true when this host has read the record itself.
	own bool
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
		s.streams[name] = &stream{records: make(map[string]numbered), end: -1}
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
	s.take(now, name, intake{records: page.Records, end: page.End, own: true})
}

// TakeListing takes in the newest records of all keys. Keys that it lacks were
// removed.
func (s *State) TakeListing(now time.Time, name Stream, page Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	s.take(now, name, intake{records: page.Records, end: page.End, listed: listed, own: true})
}

// intake is a part of a stream that a host takes in.
type intake struct {
	records []Record
	end     int64
	// listed holds every key of a listing; nil without one.
	listed map[string]bool
	// own is true when this host has read the records itself.
	own bool
}

func (s *State) take(now time.Time, name Stream, in intake) {
	s.mu.Lock()
	st := s.streams[name]
	changed := false
	for _, r := range in.records {
		changed = s.apply(now, name, st, r, in.own) || changed
	}
	if in.listed != nil {
		for key, r := range st.records {
			if !in.listed[key] && r.Value != nil && r.Offset < in.end {
				changed = s.apply(now, name, st, Record{Key: key, Offset: in.end - 1}, in.own) || changed
			}
		}
	}
	st.end = max(st.end, in.end)
	s.mu.Unlock()
	if changed {
		s.Changed(name)
	}
}

// apply takes in one record and reports whether it was new.
func (s *State) apply(now time.Time, name Stream, st *stream, r Record, own bool) bool {
	if r.Key == "" {
		return false
	}
	if old, known := st.records[r.Key]; known && old.Offset >= r.Offset {
		return false
	}
	plain, err := unpack(r)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return false
	}
	packed, err := pack(plain)
	if err != nil {
		// The plain record does as well.
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
	}
	s.taken++
	st.records[r.Key] = numbered{packed, s.taken, own}
	return s.decode(now, name, plain)
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

// Snapshot is a part of a state at one moment.
type Snapshot struct {
	Changes []Change
	// Ends are the offsets up to which each stream was known.
	Ends map[Stream]int64
	// Taken is the number of changes up to that moment.
	Taken int
}

// Since returns the newest records of the keys that changed after the first n
// changes.
func (s *State) Since(n int) Snapshot {
	return s.since(func(r numbered) bool { return r.taken > n })
}

// OwnSince returns those of Since that this host has read itself.
func (s *State) OwnSince(n int) Snapshot {
	return s.since(func(r numbered) bool { return r.taken > n && r.own })
}

func (s *State) since(wanted func(numbered) bool) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{Ends: make(map[Stream]int64, len(s.streams)), Taken: s.taken}
	for _, name := range Streams() {
		out.Changes = s.appendWanted(out.Changes, name, wanted)
		out.Ends[name] = s.streams[name].end
	}
	return out
}

// AllOf returns the newest record of every key of one stream.
func (s *State) AllOf(name Stream) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendWanted(nil, name, func(numbered) bool { return true })
}

func (s *State) appendWanted(out []Change, name Stream, wanted func(numbered) bool) []Change {
	for _, r := range s.streams[name].records {
		if wanted(r) {
			out = append(out, Change{Stream: name, Record: r.Record})
		}
	}
	return out
}

// NewerThan returns the records that are newer than those of another host.
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
		s.take(now, name, intake{records: byStream[name], end: end})
	}
}

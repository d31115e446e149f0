package watch

import (
	"strings"
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
	// departures holds what is known of targets that left.
	departures map[tables.TargetID]appliedDeparture
	// versions are the software versions that the store's record of them lists, listed those of the
	// entries of targets that were applied since the last call of TakeListed.
	versions, listed ServiceVersions
	// shared holds the values of the records that the hosts share, by name.
	shared map[string][]byte
	// orders holds the orders of rollouts by key.
	orders map[string]Order
	// replacedOrders holds, by key, the last order that another one has replaced.
	replacedOrders map[string]Order
}

// NewState returns an empty state.
func NewState(decoder Decoder, logger *zap.Logger) *State {
	s := &State{decoder: decoder, logger: logger, OnChange: func(Stream) {}}
	s.clear()
	return s
}

// clear removes all that is known. The sequence number goes on.
func (s *State) clear() {
	s.streams = make(map[Stream]*stream)
	for _, name := range Streams() {
		s.streams[name] = newStream()
	}
	s.config, s.versions, s.listed = nil, nil, make(ServiceVersions)
	s.targets = make(map[tables.TargetID]fleet.Target)
	s.hosts = make(map[tables.HostID]fleet.Host)
	s.departures = make(map[tables.TargetID]appliedDeparture)
	s.shared = make(map[string][]byte)
	s.orders = make(map[string]Order)
	s.replacedOrders = make(map[string]Order)
}

// Reset forgets all records: they are of another store. Each stream is listed anew at its next read.
func (s *State) Reset() {
	s.mu.Lock()
	s.clear()
	s.mu.Unlock()
	for _, name := range Streams() {
		s.OnChange(name)
	}
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

// Registered reports whether the store holds the given record of a host, as far
// as is known.
func (s *State) Registered(h fleet.Host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[Hosts]
	r, known := st.records[string(h.ID)]
	return known && r.Value != nil && r.Incarnation >= st.mark.Incarnation && s.hosts[h.ID] == h
}

// Complete reports whether there is a configuration and a list of targets.
func (s *State) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config != nil && s.streams[Targets].mark.End >= 0
}

// Read reports whether a stream has been read.
func (s *State) Read(name Stream) bool { return s.Mark(name).End != unread }

// Mark returns up to where a stream has been applied.
func (s *State) Mark(name Stream) Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[name].mark
}

// KeyCount returns the number of keys of a stream that have a value.
func (s *State) KeyCount(name Stream) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.streams[name].records {
		if r.Value != nil {
			count++
		}
	}
	return count
}

// Marks returns up to where each stream has been applied.
func (s *State) Marks() map[Stream]Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Stream]Mark, len(s.streams))
	for name, st := range s.streams {
		out[name] = st.mark
	}
	return out
}

// updateDecoded updates the targets or the hosts from a record, and reports whether
// they may have changed.
func (s *State) updateDecoded(now time.Time, name Stream, r Record, from source) bool {
	switch name {
	case Configs:
		return s.updateOrder(r)
	case Targets:
		return s.updateTarget(now, r, from)
	case Hosts:
		if r.Key == versionsKey {
			return s.updateVersions(r)
		}
		if strings.HasPrefix(r.Key, sharedPrefix) {
			return s.updateShared(r)
		}
		return s.updateHost(now, r)
	default:
		return false
	}
}

func (s *State) updateTarget(now time.Time, r Record, from source) bool {
	id := tables.TargetID(r.Key)
	st := s.streams[Targets]
	delete(st.heldRemovals, r.Key)
	if r.Value == nil {
		if _, known := s.targets[id]; known && st.holdsRemoval(now, r) {
			return true
		}
		return s.removeTarget(id, r, from)
	}
	t, err := s.decoder.Target(r.Key, r.Value)
	if err != nil {
		event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		return s.removeTarget(id, r, from)
	}
	old, known := s.targets[id]
	if known && t.IsOlder(old.StartedAt, old.Sequence) {
		return false
	}
	s.listed.add(t.Service, t.Version)
	// Neither the sequence number nor ColdUntil, which is computed anew from each
	// record, is a change that others must be told of.
	old.Sequence, old.ColdUntil = t.Sequence, t.ColdUntil
	s.targets[id] = s.withDeparture(t, r.Incarnation)
	if known && old == s.targets[id] {
		return false
	}
	event.TargetListed.Log(s.logger, zap.String("target", string(id)), zap.String("service", string(t.Service)),
		zap.String("address", t.Address), zap.Bool("leaving", s.targets[id].Leaving), zap.Int64("offset", r.Offset))
	return true
}

// withDeparture returns a target as listed, marked as leaving if that start of it
// is known to have departed. It records a departure that the listing states.
func (s *State) withDeparture(t fleet.Target, incarnation int64) fleet.Target {
	if t.Leaving {
		s.mergeDeparture(Departure{Target: t.ID, StartedAt: t.StartedAt, Sequence: t.Sequence, Incarnation: incarnation}, false)
		return t
	}
	if d, departed := s.departures[t.ID]; departed {
		t.Leaving = d.covers(t, incarnation)
	}
	return t
}

func (s *State) removeTarget(id tables.TargetID, r Record, from source) bool {
	t, known := s.targets[id]
	if !known {
		return false
	}
	delete(s.targets, id)
	s.mergeDeparture(Departure{Target: id, StartedAt: t.StartedAt, Sequence: t.Sequence, Incarnation: r.Incarnation}, false)
	event.TargetRemoved.Log(s.logger, zap.String("target", string(id)), zap.Int64("offset", r.Offset), zap.String("source", string(from)))
	return true
}

func (s *State) updateHost(now time.Time, r Record) bool {
	id := tables.HostID(r.Key)
	old, known := s.hosts[id]
	st := s.streams[Hosts]
	delete(st.heldRemovals, r.Key)
	if r.Value == nil {
		if !known || st.holdsRemoval(now, r) {
			return false
		}
		delete(s.hosts, id)
		return true
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
	s.streams[Targets].holdRemovalsUntil(at)
}

// ApplyHeldRemovals removes the targets and hosts whose removal was held, once
// the time for it has come.
func (s *State) ApplyHeldRemovals(now time.Time) {
	for _, name := range []Stream{Targets, Hosts} {
		if s.applyHeldRemovals(now, name) {
			s.OnChange(name)
		}
	}
}

func (s *State) applyHeldRemovals(now time.Time, name Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.streams[name].takeHeldRemovals(now)
	for _, r := range held {
		s.updateDecoded(now, name, r, sourceGrace)
	}
	return len(held) > 0
}

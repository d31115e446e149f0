package watch

import (
	"bytes"
	"context"
	"maps"
	"strings"
)

// sharedPrefix begins the keys, among the records of the hosts, of records that the hosts
// share. No host has such an ID. Hosts of the build before ignore the records.
const sharedPrefix = "/shared/"

// SharedKey returns the key of a record that the hosts share, among the records of the hosts.
func SharedKey(name string) string { return sharedPrefix + name }

// SharedName returns the name of the record with a key, and whether it is one that the hosts share.
func SharedName(key string) (name string, shared bool) { return strings.CutPrefix(key, sharedPrefix) }

// updateShared updates a shared record, and reports whether it has changed. The lock must
// be held.
func (s *State) updateShared(r Record) bool {
	name := strings.TrimPrefix(r.Key, sharedPrefix)
	old, known := s.shared[name]
	if r.Value == nil {
		delete(s.shared, name)
		return known
	}
	s.shared[name] = r.Value
	return !known || !bytes.Equal(old, r.Value)
}

// Shared returns the values of the records that the hosts share in the store, by name. The
// values must not be modified.
func (s *State) Shared() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.shared)
}

// PutShared writes a record that the hosts share unless the store is known to hold it. A
// nil value removes the record. Errors wrap ErrUnavailable.
func (w *Watcher) PutShared(ctx context.Context, name string, value []byte) error {
	old, known := w.State.Shared()[name]
	if known == (value != nil) && bytes.Equal(old, value) {
		return nil
	}
	position, err := w.store.Put(ctx, Hosts, sharedPrefix+name, value)
	if err != nil {
		w.recordFailure(Hosts, err)
		return err
	}
	w.State.ApplyOwn(w.clock.Now(), Hosts, Record{Key: sharedPrefix + name, Value: value, Offset: position.Offset, Incarnation: position.Incarnation})
	return nil
}

package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// hostListKey is the key of the copy of the list of hosts in HostLists.
	hostListKey = "hosts"
	// hostListInterval is the time between checks that the copy is up to date. The ranks of
	// hosts that start together are settled before the first one.
	hostListInterval = 2 * time.Second
)

// HostRecords returns the records of the hosts in the order of their keys.
func (s *State) HostRecords() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	for key, r := range s.streams[Hosts].records {
		if _, listed := s.hosts[tables.HostID(key)]; listed && r.Value != nil {
			out = append(out, r.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// ApplyHostList applies the copy of the list of hosts.
func (s *State) ApplyHostList(now time.Time, records []Record) {
	s.applyBatch(now, Hosts, batch{records: records, source: sourceCopy})
}

func encodeHostList(hosts []Record) ([]byte, error) {
	list, err := json.Marshal(hosts)
	if err != nil {
		return nil, fmt.Errorf("encode list of hosts: %w", err)
	}
	packed, err := compress(Record{Key: hostListKey, Value: list})
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed)
}

func decodeHostList(value []byte) ([]Record, error) {
	var packed Record
	if err := json.Unmarshal(value, &packed); err != nil {
		return nil, fmt.Errorf("decode list of hosts: %w", err)
	}
	plain, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	var hosts []Record
	if err := json.Unmarshal(plain.Value, &hosts); err != nil {
		return nil, fmt.Errorf("decode list of hosts: %w", err)
	}
	return slices.DeleteFunc(hosts, func(r Record) bool { return strings.HasPrefix(r.Key, "/") }), nil
}

// keepHostList keeps the copy of the list of hosts up to date while this host is the first
// live one, until ctx ends.
func (w *Watcher) keepHostList(ctx context.Context) {
	var written []byte
	for ctx.Err() == nil {
		w.sleep(ctx, hostListInterval)
		if w.rank() != 0 || !w.State.Read(Hosts) {
			written = nil
			continue
		}
		list, err := encodeHostList(w.State.HostRecords())
		if err != nil {
			event.EntryIgnored.Log(w.logger, zap.String("key", hostListKey), zap.Error(err))
			continue
		}
		if bytes.Equal(list, written) {
			continue
		}
		if _, err := w.store.Put(ctx, HostLists, hostListKey, list); err != nil {
			w.recordFailure(HostLists, err)
			continue
		}
		written = list
	}
}

// ReadHostList reads the copy of the list of hosts. Errors wrap ErrUnavailable.
func (w *Watcher) ReadHostList(ctx context.Context) error {
	page, err := w.store.Newest(ctx, HostLists)
	if err != nil {
		w.recordFailure(HostLists, err)
		return err
	}
	for _, r := range page.Records {
		if r.Key != hostListKey {
			continue
		}
		hosts, err := decodeHostList(r.Value)
		if err != nil {
			event.EntryIgnored.Log(w.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
			return nil
		}
		w.State.ApplyHostList(w.clock.Now(), hosts)
		if slices.ContainsFunc(hosts, func(h Record) bool { return h.Key == string(w.self.ID) }) {
			w.confirmHosts()
		}
		event.HostListRead.Log(w.logger, zap.Int("hosts", len(hosts)), zap.Int64("offset", r.Offset))
	}
	return nil
}

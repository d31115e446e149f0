package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// versionsKey is the key, among the records of the hosts, of the record that lists the
// software versions of the services. No host has this ID. Hosts of the build before
// ignore the record.
const versionsKey = "/versions"

// ServiceVersions lists the software versions that the targets of each service have or
// had lately, sorted.
type ServiceVersions map[tables.ServiceID][]tables.SoftwareVersion

func (v ServiceVersions) equal(other ServiceVersions) bool {
	return maps.EqualFunc(v, other, func(a, b []tables.SoftwareVersion) bool { return slices.Equal(a, b) })
}

// add adds a version of a service.
func (v ServiceVersions) add(service tables.ServiceID, version tables.SoftwareVersion) {
	if i, found := slices.BinarySearch(v[service], version); !found {
		v[service] = slices.Insert(v[service], i, version)
	}
}

// TakeListed returns the software versions of the targets that were listed since the last call. Some
// may have left meanwhile: entries that are read together are applied together.
func (s *State) TakeListed() ServiceVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := s.listed
	s.listed = make(ServiceVersions)
	return listed
}

// versionsRecord is the value of the record.
type versionsRecord struct {
	Versions ServiceVersions `json:"versions"`
}

// updateVersions updates the versions from their record, and reports whether they have
// changed. The lock must be held.
func (s *State) updateVersions(r Record) bool {
	var decoded versionsRecord
	if r.Value != nil {
		if err := json.Unmarshal(r.Value, &decoded); err != nil {
			event.EntryIgnored.Log(s.logger, zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
			return false
		}
	}
	if s.versions.equal(decoded.Versions) {
		return false
	}
	s.versions = decoded.Versions
	return true
}

// Versions returns the software versions that the store's record lists. It must not be
// modified.
func (s *State) Versions() ServiceVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions
}

// RecordVersions writes the software versions of the services to the store unless its
// record already lists them. A host that starts later thus learns of versions whose
// targets have left. Errors wrap ErrUnavailable.
func (w *Watcher) RecordVersions(ctx context.Context, versions ServiceVersions) error {
	if w.State.Versions().equal(versions) {
		return nil
	}
	value, err := json.Marshal(versionsRecord{versions})
	if err != nil {
		return fmt.Errorf("encode the versions of services: %w", err)
	}
	position, err := w.store.Put(ctx, Hosts, versionsKey, value)
	if err != nil {
		w.recordFailure(Hosts, err)
		return err
	}
	w.State.ApplyOwn(w.clock.Now(), Hosts, Record{Key: versionsKey, Value: value, Offset: position.Offset, Incarnation: position.Incarnation})
	return nil
}

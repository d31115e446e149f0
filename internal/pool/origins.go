package pool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// originLifetime is how long the version that began a stream is kept after the
	// last use. It exceeds the time in which a caller takes up a stream again.
	originLifetime = time.Minute
	// endedOriginLifetime is how long it is kept after the stream has ended: the end
	// may not have reached the caller.
	endedOriginLifetime = 5 * time.Second
	// maxOrigins bounds the number of streams that are kept.
	maxOrigins = 1 << 16
	// versionWindow is how long a version counts as present after its last target has
	// left. It exceeds the time from the begin of a stream to its last resumption.
	versionWindow = 30 * time.Second
	// originDelay is how long an entry is delayed so that further ones can be sent in
	// the same message.
	originDelay = 50 * time.Millisecond
)

// Origins holds what this host knows of the software versions that began the streams,
// and of the versions that the services have. It is safe for concurrent use. A nil
// Origins knows and keeps nothing.
type Origins struct {
	clock clockwork.Clock
	// ReadSince reports whether this host has read from the store since a time which versions the
	// services have, all of which Observe and Import were told of. Read reads it; it may be nil.
	ReadSince func(time.Time) bool
	Read      func(ctx context.Context, since time.Time) error
	// Logger must be set if Read is.
	Logger *zap.Logger
	// Send sends entries to other hosts. It may be nil.
	Send func(origin.Batch)

	mu       sync.Mutex
	registry *origin.Registry
	seen     *origin.Seen
	// sentSequence is the sequence number up to which entries were sent. While sending
	// is true, a timer sends further ones.
	sentSequence int
	sending      bool
	// begun lists the streams that this host has recorded.
	begun beginLog
	// starts holds the starts of the targets at the last Observe.
	starts map[tables.TargetID]targetStart
	// ended lists the streams that have ended, the earliest first.
	ended []endedStream
	// mixed is true if a service had several versions at the last Observe or Import.
	mixed bool
	// imported holds the versions of the last Import.
	imported map[tables.ServiceID][]tables.SoftwareVersion
}

// targetStart is one start of a target with its software version.
type targetStart struct {
	at      time.Time
	version tables.SoftwareVersion
}

// startMargin is by how much the clock of a target may be ahead of that of this host.
const startMargin = 20 * time.Millisecond

// mayHaveBegun reports whether this start, and not the one with another version before it, may have
// sent an event that was recorded at a time.
func (s targetStart) mayHaveBegun(version tables.SoftwareVersion, recorded time.Time) bool {
	return !s.at.IsZero() && s.version != version && !recorded.Before(s.at.Add(-startMargin))
}

type endedStream struct {
	id origin.StreamID
	at time.Time
}

// NewOrigins returns Origins without entries.
func NewOrigins(clock clockwork.Clock) *Origins {
	o := &Origins{clock: clock, ReadSince: func(time.Time) bool { return true }}
	o.clear()
	return o
}

func (o *Origins) clear() {
	o.registry = origin.NewRegistry(originLifetime, maxOrigins)
	o.seen = origin.NewSeen(versionWindow)
	o.sentSequence, o.mixed, o.ended, o.imported, o.starts = 0, false, nil, nil, nil
	o.begun.clear()
}

// Reset forgets all streams and versions: they are of another fleet.
func (o *Origins) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clear()
}

// Observe records the targets that this host knows, and the versions that were listed since the last
// call, also of targets that have left meanwhile.
func (o *Origins) Observe(listed map[tables.ServiceID][]tables.SoftwareVersion, targets []fleet.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for service, versions := range listed {
		o.seen.Import(now, service, versions)
	}
	o.seen.Observe(now, targets)
	o.updateMixed(now)
	o.observeStarts(now, targets)
}

// observeStarts contradicts the streams that a later start of a target may have begun: its entry has
// arrived after their first events. The lock must be held.
func (o *Origins) observeStarts(now time.Time, targets []fleet.Target) {
	before := o.starts
	o.starts = make(map[tables.TargetID]targetStart, len(targets))
	for _, t := range targets {
		start := targetStart{t.StartedAt, t.Version}
		o.starts[t.ID] = start
		if before[t.ID] == start || now.Sub(start.at) >= originLifetime {
			continue
		}
		for _, b := range o.begun.entries {
			if b.target == t.ID && start.mayHaveBegun(b.version, b.at) {
				o.recordLocked(now, begunStream{b.id, start.version, t.ID, now})
			}
		}
	}
}

// Import records the versions that services had lately according to the store. Those
// that were not imported before count as present now.
func (o *Origins) Import(versions map[tables.ServiceID][]tables.SoftwareVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for service, names := range versions {
		added := slices.DeleteFunc(slices.Clone(names), func(v tables.SoftwareVersion) bool { return slices.Contains(o.imported[service], v) })
		o.seen.Import(now, service, added)
	}
	o.imported = versions
	o.updateMixed(now)
}

// updateMixed finds out whether a service has several versions, and sends all entries
// once that has begun. The lock must be held.
func (o *Origins) updateMixed(now time.Time) {
	before := o.mixed
	o.mixed = slices.ContainsFunc(o.seen.Services(), func(id tables.ServiceID) bool { return len(o.seen.Versions(now, id)) > 1 })
	if o.mixed && !before {
		o.sendLater()
	}
}

// Versions returns the versions that each service has or had lately.
func (o *Origins) Versions() map[tables.ServiceID][]tables.SoftwareVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[tables.ServiceID][]tables.SoftwareVersion)
	now := o.clock.Now()
	for _, id := range o.seen.Services() {
		if versions := o.seen.Versions(now, id); len(versions) > 0 {
			out[id] = versions
		}
	}
	return out
}

// Mixed reports whether a service has several versions.
func (o *Origins) Mixed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateMixed(o.clock.Now())
	return o.mixed
}

// BegunSince returns the streams that this host has recorded and that have not ended, from a sequence
// number on, and the number to pass in next time. Those that were contradicted have both versions.
func (o *Origins) BegunSince(sequence int) (origin.Batch, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	begun, next := o.begun.since(sequence)
	batch := make(origin.Batch)
	for _, g := range begun {
		if k := o.registry.Lookup(o.clock.Now(), g.id); k.Known || k.Disputed {
			batch.Add(g.id, g.version)
		}
	}
	return batch, next
}

// lookup returns what is known of the version that began a stream.
func (o *Origins) lookup(id origin.StreamID) origin.Knowledge {
	if o == nil || id == 0 {
		return origin.Knowledge{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.registry.Lookup(o.clock.Now(), id)
}

// constraint returns at which versions the request of a message, which arrived at a time, may run.
func (o *Origins) constraint(m slotRequestMessage, arrived time.Time) origin.Constraint {
	if o == nil || !m.Resumable {
		return origin.Constraint{Kind: origin.AnyVersion}
	}
	q := o.question(m)
	if origin.Decide(q).Sole {
		complete := o.ReadSince(arrived)
		// The read may have brought another version.
		q = o.question(m)
		q.Complete = complete
	}
	return origin.Decide(q)
}

// question returns what this host knows of the stream of a message, as if it had seen all versions.
func (o *Origins) question(m slotRequestMessage) origin.Question {
	q := m.question(o.lookup(m.stream()))
	q.Complete = true
	o.mu.Lock()
	defer o.mu.Unlock()
	q.Seen = o.seen.Versions(o.clock.Now(), m.Service)
	return q
}

// describe says why the version that began the stream of a message is unknown.
func (o *Origins) describe(m slotRequestMessage, arrived time.Time) string {
	q := o.question(m)
	return fmt.Sprintf("versions %q of its service were seen, disputed %t, read since %t", q.Seen, q.Disputed, o.ReadSince(arrived))
}

// maxVersionsWait bounds the wait of a request for the versions of services.
const maxVersionsWait = 300 * time.Millisecond

// readVersions reads which versions the services have, unless that has been done since the request of
// a message arrived or makes no difference for it. A version that began its stream was listed before.
func (o *Origins) readVersions(ctx context.Context, m slotRequestMessage, arrived time.Time) {
	if o == nil || o.Read == nil || !m.Resumable || !origin.Decide(o.question(m)).Sole || o.ReadSince(arrived) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxVersionsWait)
	defer cancel()
	if err := o.Read(ctx, arrived); err != nil {
		event.VersionsNotRead.Log(o.Logger, zap.String("request", m.Request), zap.Error(err))
	}
}

// question returns what the host that asks and the coordinator know of the stream.
func (m slotRequestMessage) question(own origin.Knowledge) origin.Question {
	q := origin.Question{Resumed: m.Resumed, Known: own.Known, Version: own.Version, Disputed: own.Disputed}
	heard := m.Heard
	if heard == nil {
		// That of a host of the build before Relayed.
		heard = m.Version
	}
	switch {
	case m.Relayed && m.Version != nil:
		q.Version, q.Known, q.Disputed = *m.Version, true, false
	case m.Disputed || own.Known && heard != nil && *heard != own.Version:
		q.Disputed = true
	case heard != nil && !own.Disputed:
		q.Version, q.Known = *heard, true
	}
	return q
}

// learn records that this host has relayed the first event of a stream, from a target of a version.
func (o *Origins) learn(id origin.StreamID, version tables.SoftwareVersion) {
	if o == nil || id == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.forgetEnded(now)
	batch := make(origin.Batch)
	batch.Add(id, version)
	o.registry.Merge(now, batch)
}

// begin records for all hosts that a target of a version has sent the first event of a stream. The
// target may be empty if it is not known. If a later start of it with another version is listed, that
// one may have sent the event.
func (o *Origins) begin(id origin.StreamID, version tables.SoftwareVersion, target tables.TargetID) {
	if o == nil || id == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.forgetEnded(now)
	if !o.recordLocked(now, begunStream{id, version, target, now}) {
		return
	}
	if start := o.starts[target]; start.mayHaveBegun(version, now) {
		o.recordLocked(now, begunStream{id, start.version, target, now})
	}
}

// recordLocked records a stream. It returns false if that was recorded before. The lock must be held.
func (o *Origins) recordLocked(now time.Time, b begunStream) bool {
	if !o.registry.Record(now, b.id, b.version) {
		return false
	}
	o.begun.add(b)
	if o.mixed {
		o.sendLater()
	}
	return true
}

// end records that a stream has ended with all its events.
func (o *Origins) end(id origin.StreamID) {
	if o == nil || id == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, endedStream{id, o.clock.Now()})
}

// forgetEnded forgets the streams that ended endedOriginLifetime ago. The lock must be
// held.
func (o *Origins) forgetEnded(now time.Time) {
	for len(o.ended) > 0 && now.Sub(o.ended[0].at) >= endedOriginLifetime {
		o.registry.Forget(o.ended[0].id)
		o.ended = o.ended[1:]
	}
}

// sendLater sends the entries that were not sent after originDelay. The lock must be
// held.
func (o *Origins) sendLater() {
	if o.sending || o.Send == nil {
		return
	}
	o.sending = true
	o.clock.AfterFunc(originDelay, o.sendNew)
}

func (o *Origins) sendNew() {
	o.mu.Lock()
	o.sending = false
	o.updateMixed(o.clock.Now())
	if !o.mixed {
		o.mu.Unlock()
		return
	}
	batch, sequence := o.registry.Since(o.sentSequence)
	o.sentSequence = sequence
	o.mu.Unlock()
	if len(batch) > 0 {
		o.Send(batch)
	}
}

// Merge adds the entries of another host.
func (o *Origins) Merge(batch origin.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.registry.Merge(o.clock.Now(), batch)
}

// All returns all entries if a service has several versions, otherwise nil: without
// them nobody needs to know.
func (o *Origins) All() origin.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mixed {
		return nil
	}
	return o.registry.All(o.clock.Now())
}

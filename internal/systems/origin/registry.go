package origin

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Registry holds the version that began each stream: that of the target whose first event was
// relayed. What was granted to a stream is no evidence of it: the answer with the grant may have been
// lost, or the target may have sent nothing. It holds what this host recorded and what it got from
// other hosts. It is not safe for concurrent use.
type Registry struct {
	lifetime time.Duration
	// entries is ordered by the time of the last use.
	entries *simplelru.LRU[StreamID, *entry]
	// recorded holds the entries that this host recorded, ordered by their sequence
	// number. sequence is the highest one.
	recorded *list.List
	sequence int
	// latest is the latest time passed in.
	latest time.Time
}

// entry is what a registry knows of a stream.
type entry struct {
	id      StreamID
	version tables.SoftwareVersion
	usedAt  time.Time
	// conflicting is true if another version was reported as well, which is reported.
	conflicting bool
	reported    tables.SoftwareVersion
	// sequence and recorded are set if this host recorded the entry. recorded is its place in
	// Registry.recorded.
	sequence int
	recorded *list.Element
}

// NewRegistry returns an empty registry. An entry expires lifetime after its last use,
// or once maxEntries others were used after it. maxEntries should exceed the number of
// streams that all hosts begin in a lifetime: streams whose entry is lost are refused.
func NewRegistry(lifetime time.Duration, maxEntries int) *Registry {
	r := &Registry{lifetime: lifetime, recorded: list.New()}
	// NewLRU fails only for a size below one.
	r.entries, _ = simplelru.NewLRU(max(maxEntries, 1), func(_ StreamID, e *entry) { r.removeRecorded(e) })
	return r
}

// Record records that a target of the version sent the first event of the stream. It returns false
// if that was recorded before.
func (r *Registry) Record(now time.Time, id StreamID, version tables.SoftwareVersion) bool {
	if id == 0 {
		return false
	}
	r.advance(now)
	contradicted := r.merge(id, version)
	e, _ := r.use(id)
	if e.recorded != nil && !contradicted {
		return false
	}
	r.removeRecorded(e)
	r.sequence++
	e.sequence = r.sequence
	e.recorded = r.recorded.PushBack(e)
	return true
}

// Knowledge is what a registry knows of the version that began a stream.
type Knowledge struct {
	// Known is true if it is Version.
	Known   bool
	Version tables.SoftwareVersion
	// Disputed is true if several versions were reported.
	Disputed bool
}

// Lookup returns what is known of the version that began the stream.
func (r *Registry) Lookup(now time.Time, id StreamID) Knowledge {
	r.advance(now)
	if e, known := r.entries.Peek(id); !known || e.conflicting {
		return Knowledge{Disputed: known}
	}
	e, _ := r.use(id)
	return Knowledge{Known: true, Version: e.version}
}

// Forget removes a stream that ended with all its events.
func (r *Registry) Forget(id StreamID) { r.entries.Remove(id) }

// Since returns the entries that this host recorded after a sequence number, and the
// sequence number to pass in next time. It returns no entries from other hosts. A stream that
// another host contradicted has both versions: others may know either one alone.
func (r *Registry) Since(sequence int) (Batch, int) {
	b := make(Batch)
	for element := r.recorded.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*entry)
		if e.sequence <= sequence {
			break
		}
		b.Add(e.id, e.version)
		if e.conflicting {
			b.Add(e.id, e.reported)
		}
	}
	return b, r.sequence
}

// All returns the entries of all hosts, without those that are contradicted.
func (r *Registry) All(now time.Time) Batch {
	r.advance(now)
	b := make(Batch)
	for _, e := range r.entries.Values() {
		if !e.conflicting {
			b.Add(e.id, e.version)
		}
	}
	return b
}

// Merge adds the entries of another host. A stream that is known with another version
// is contradicted from then on.
func (r *Registry) Merge(now time.Time, b Batch) {
	r.advance(now)
	for _, version := range slices.Sorted(maps.Keys(b)) {
		for id := range streams(b[version]) {
			if id != 0 {
				r.merge(id, version)
			}
		}
	}
}

// merge adds a version of a stream. It returns true if that contradicts what was known for the first
// time.
func (r *Registry) merge(id StreamID, version tables.SoftwareVersion) (contradicted bool) {
	e, known := r.use(id)
	switch {
	case !known:
		e.version = version
	case e.version != version:
		contradicted = !e.conflicting
		e.conflicting, e.reported = true, version
	}
	return contradicted
}

// Len returns the number of entries, which includes contradicted ones.
func (r *Registry) Len() int { return r.entries.Len() }

// advance removes the entries that have expired. A time before the latest one counts
// as the latest one.
func (r *Registry) advance(now time.Time) {
	if now.After(r.latest) {
		r.latest = now
	}
	for {
		_, e, ok := r.entries.GetOldest()
		if !ok || r.latest.Sub(e.usedAt) < r.lifetime {
			return
		}
		r.entries.RemoveOldest()
	}
}

// use returns the entry of a stream as the one used last, and whether it was known.
func (r *Registry) use(id StreamID) (*entry, bool) {
	e, known := r.entries.Get(id)
	if !known {
		e = &entry{id: id}
		r.entries.Add(id, e)
	}
	e.usedAt = r.latest
	return e, known
}

func (r *Registry) removeRecorded(e *entry) {
	if e.recorded != nil {
		r.recorded.Remove(e.recorded)
		e.recorded = nil
	}
}

package claim

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Limits determine which keys a Table accepts.
type Limits struct {
	// Window is the maximum age of a key. The log must retain records for longer.
	Window time.Duration
	// Skew is the maximum difference between the clocks of callers, hosts and
	// the log.
	Skew time.Duration
}

// Table holds the state of one claim stream, built by applying its records in
// order from the oldest retained one. It is not safe for concurrent use.
type Table struct {
	limits Limits
	// now never decreases, so that a key that was removed as expired stays expired.
	now time.Time
	// truncatedUntil is the time of the newest record that the log's retention
	// may have removed before it was read; zero if none was removed.
	truncatedUntil time.Time

	scopes  interner[scope]
	hosts   interner[tables.HostID]
	kinds   interner[errkind.Kind]
	digests interner[uint64]
	byKey   map[keyRef]uint32
	rows    slab
	// voidAttempts holds the released attempts, each with the expiry time of its
	// key.
	voidAttempts map[attempt]time.Time
	// notRun holds the requests that are proven not to have run, each with the
	// expiry time of its key.
	notRun map[requestRef]time.Time
}

// scope is the part of a key that many keys share.
type scope struct {
	customer tables.CustomerID
	service  tables.ServiceID
}

// keyRef is the compact form of a Key; scope is an interned ID.
type keyRef struct {
	id    uuid.UUID
	scope uint32
}

// requestRef is the compact form of a request ID; host is an interned ID.
type requestRef struct {
	id   uuid.UUID
	host uint32
}

// holderRow is the compact form of a Holder. Tables have many rows, so a row
// refers to interned values by their IDs.
type holderRow struct {
	request     requestRef
	status      uint16
	kind        uint8
	hasOutcome  bool
	fingerprint tables.Fingerprint
	attempt     attempt
	// outcomeOffset is the log offset of the record with the outcome.
	outcomeOffset int64
	// claimedUnix is the log's time of the claim, in Unix seconds.
	claimedUnix   uint32
	targetsDigest uint32
}

// Holder describes the request that holds a key.
type Holder struct {
	Request       tables.RequestID
	Fingerprint   tables.Fingerprint
	TargetsDigest uint64
	// Since is the log's time of the claim, truncated to seconds.
	Since time.Time
	// HasOutcome is set once an outcome is recorded.
	HasOutcome bool
	// Kind and Status describe the outcome; they are valid if HasOutcome is set.
	Kind   errkind.Kind
	Status int
	// OutcomeOffset is the log offset of the record with the full outcome.
	OutcomeOffset int64

	attempt attempt
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:       limits,
		scopes:       newInterner[scope](),
		hosts:        newInterner[tables.HostID](),
		kinds:        newInterner[errkind.Kind](),
		digests:      newInterner[uint64](),
		byKey:        make(map[keyRef]uint32),
		voidAttempts: make(map[attempt]time.Time),
		notRun:       make(map[requestRef]time.Time),
	}
}

// Len returns the number of held keys.
func (t *Table) Len() int { return len(t.byKey) }

// MarkTruncated records that the log removed unread records; newest is an upper
// bound of their log times. Keys that may have been claimed in them are refused.
func (t *Table) MarkTruncated(newest time.Time) {
	if newest.After(t.truncatedUntil) {
		t.truncatedUntil = newest
	}
}

// Check returns an error of kind KeyExpired if the table cannot decide about the
// key at now: the key is older than lifetime or the window, was created further
// in the future than the skew allows, or may have been claimed in a record that
// the log removed before it was read.
func (t *Table) Check(now time.Time, k Key, lifetime time.Duration) error {
	t.advance(now)
	if lifetime <= 0 || lifetime > t.limits.Window {
		lifetime = t.limits.Window
	}
	created := k.Created()
	age := t.now.Sub(created)
	switch {
	case age >= lifetime:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s is %s old, its lifetime is %s", k.ID, age.Round(time.Second), lifetime))
	case age < -t.limits.Skew:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s was created %s in the future", k.ID, (-age).Round(time.Second)))
	case !t.truncatedUntil.IsZero() && !created.After(t.truncatedUntil.Add(2*t.limits.Skew)):
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s is older than the records that the log keeps", k.ID))
	}
	return nil
}

// Holder returns the holder of k, if any.
func (t *Table) Holder(k Key) (Holder, bool) {
	compactKey, ok := t.lookupKey(k)
	if !ok {
		return Holder{}, false
	}
	n, ok := t.byKey[compactKey]
	if !ok {
		return Holder{}, false
	}
	r := t.rows.at(n)
	h := Holder{
		Request:       tables.NewRequestID(t.hosts.value(r.request.host), r.request.id),
		Fingerprint:   r.fingerprint,
		TargetsDigest: t.digests.value(r.targetsDigest),
		Since:         time.Unix(int64(r.claimedUnix), 0),
		HasOutcome:    r.hasOutcome,
		OutcomeOffset: r.outcomeOffset,
		Status:        int(r.status),
		attempt:       r.attempt,
	}
	if r.hasOutcome {
		h.Kind = t.kinds.value(uint32(r.kind))
	}
	return h, true
}

// Apply applies the batch of the record at offset; logTime is the log's time of
// the record.
func (t *Table) Apply(now time.Time, offset int64, logTime time.Time, b Batch) {
	t.advance(now)
	for _, r := range b.Releases {
		t.applyRelease(b, r)
	}
	for _, c := range b.Claims {
		t.applyClaim(logTime, b, c)
	}
	for _, o := range b.Outcomes {
		t.applyOutcome(offset, o)
	}
}

// applyClaim grants a free key to the first valid claim of it. A claim of a held
// key never takes effect, even if the key is freed later.
func (t *Table) applyClaim(logTime time.Time, b Batch, c Claim) {
	ref, ok := t.requestRef(c.Request)
	if !ok || t.expired(c.Key) {
		return
	}
	a := newAttempt(b.Writer, b.Incarnation, c.Sequence)
	if _, void := t.voidAttempts[a]; void {
		return
	}
	if _, known := t.notRun[ref]; known {
		return
	}
	compactKey := t.internKey(c.Key)
	if _, held := t.byKey[compactKey]; held {
		return
	}
	t.byKey[compactKey] = t.rows.add(holderRow{
		request:       ref,
		fingerprint:   c.Fingerprint,
		attempt:       a,
		targetsDigest: t.digests.intern(c.TargetsDigest),
		claimedUnix:   uint32(logTime.Unix()),
	})
}

// applyRelease voids the attempt and frees the key if the attempt holds it.
func (t *Table) applyRelease(b Batch, r Release) {
	a := newAttempt(b.Writer, b.Incarnation, r.Sequence)
	t.voidAttempts[a] = t.expiresAt(r.Key)
	compactKey := t.internKey(r.Key)
	if n, held := t.byKey[compactKey]; held && t.rows.at(n).attempt == a {
		t.remove(compactKey, n)
	}
}

func (t *Table) remove(k keyRef, n uint32) {
	delete(t.byKey, k)
	t.rows.remove(n)
}

// applyOutcome records the outcome of a request. An outcome that proves that the
// request did not run frees the key; with any other outcome the key stays held.
// Only an unknown outcome is replaced by a later one.
func (t *Table) applyOutcome(offset int64, o Outcome) {
	ref, ok := t.requestRef(o.Request)
	if !ok || t.expired(o.Key) {
		return
	}
	compactKey := t.internKey(o.Key)
	n, holdsKey := t.byKey[compactKey]
	holdsKey = holdsKey && t.rows.at(n).request == ref
	if holdsKey && t.hasFinalOutcome(n) {
		return
	}
	if o.Kind.Answer().Ran == errkind.RanNo {
		t.notRun[ref] = t.expiresAt(o.Key)
		if holdsKey {
			t.remove(compactKey, n)
		}
		return
	}
	if !holdsKey {
		return
	}
	r := t.rows.at(n)
	r.hasOutcome = true
	r.kind = uint8(t.kinds.intern(o.Kind))
	r.status = uint16(o.Status)
	r.outcomeOffset = offset
}

// hasFinalOutcome reports whether a row has an outcome other than unknown.
func (t *Table) hasFinalOutcome(n uint32) bool {
	r := t.rows.at(n)
	return r.hasOutcome && t.kinds.value(uint32(r.kind)).Answer().Ran != errkind.RanUnknown
}

// Tick removes entries that have expired at now.
func (t *Table) Tick(now time.Time) {
	t.advance(now)
	oldest := t.now.Add(-t.limits.Window).UnixMilli()
	for k, n := range t.byKey {
		if createdMillis(k.id) <= oldest {
			t.remove(k, n)
		}
	}
	for a, expires := range t.voidAttempts {
		if !expires.After(t.now) {
			delete(t.voidAttempts, a)
		}
	}
	for ref, expires := range t.notRun {
		if !expires.After(t.now) {
			delete(t.notRun, ref)
		}
	}
}

func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// expiresAt returns the time from which all state for k may be removed.
func (t *Table) expiresAt(k Key) time.Time {
	return k.Created().Add(t.limits.Window)
}

func (t *Table) expired(k Key) bool {
	return !t.expiresAt(k).After(t.now)
}

// requestRef returns the compact form of id, or false if id is malformed.
func (t *Table) requestRef(id tables.RequestID) (requestRef, bool) {
	host, parsed, err := splitRequest(id)
	if err != nil {
		return requestRef{}, false
	}
	return requestRef{id: parsed, host: t.hosts.intern(host)}, true
}

func (t *Table) internKey(k Key) keyRef {
	return keyRef{id: k.ID, scope: t.scopes.intern(scope{k.Customer, k.Service})}
}

func (t *Table) lookupKey(k Key) (keyRef, bool) {
	n, ok := t.scopes.lookup(scope{k.Customer, k.Service})
	return keyRef{id: k.ID, scope: n}, ok
}

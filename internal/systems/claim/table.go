package claim

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Limits bound the keys that a table decides about.
type Limits struct {
	// Window is the greatest age of a key. The log keeps records longer.
	Window time.Duration
	// Skew bounds how far the clocks of callers, hosts and log differ.
	Skew time.Duration
}

// Table is the fold of one claim stream. Its owner feeds it every record from
// the oldest kept one on.
type Table struct {
	limits Limits
	// now never goes back, so that a dropped key stays expired.
	now time.Time
	// horizon is the time of the newest record that may have been dropped
	// by the log's retention unread; zero when none was.
	horizon time.Time

	scopes   index[scope]
	hosts    index[tables.HostID]
	kinds    index[errkind.Kind]
	digests  index[uint64]
	byKey    map[rowKey]uint32
	rows     slab
	voided   map[attempt]time.Time
	finished map[requestRef]time.Time
}

type scope struct {
	customer tables.CustomerID
	service  tables.ServiceID
}

type rowKey struct {
	id    uuid.UUID
	scope uint32
}

type requestRef struct {
	id   uuid.UUID
	host uint32
}

// row is the holder of a key. Many rows are kept, so it holds numbers in place
// of names.
type row struct {
	request     requestRef
	status      uint16
	kind        uint8
	hasOutcome  bool
	fingerprint tables.Fingerprint
	attempt     attempt
	// outcomeAt is the offset of the record with the outcome.
	outcomeAt int64
	// claimed is the log's time of the claim in Unix seconds.
	claimed uint32
	digest  uint32
}

// Holder is what the table knows of the request that holds a key.
type Holder struct {
	Request       tables.RequestID
	Fingerprint   tables.Fingerprint
	TargetsDigest uint64
	// Since is the log's time of the claim, to the second.
	Since time.Time
	// HasOutcome states that the outcome is recorded.
	HasOutcome bool
	// Kind and Status are those of the outcome.
	Kind   errkind.Kind
	Status int
	// OutcomeAt is the offset of the record with the whole outcome.
	OutcomeAt int64

	attempt attempt
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:   limits,
		scopes:   newIndex[scope](),
		hosts:    newIndex[tables.HostID](),
		kinds:    newIndex[errkind.Kind](),
		digests:  newIndex[uint64](),
		byKey:    make(map[rowKey]uint32),
		voided:   make(map[attempt]time.Time),
		finished: make(map[requestRef]time.Time),
	}
}

// Len counts the held keys.
func (t *Table) Len() int { return len(t.byKey) }

// Truncated notes that records up to a log time were dropped unread. Keys
// that may have been claimed in them are refused.
func (t *Table) Truncated(newest time.Time) {
	if newest.After(t.horizon) {
		t.horizon = newest
	}
}

// Check returns an error of kind KeyExpired when the table cannot decide about
// the key at now: it is older than lifetime or than the window, lies further in
// the future than the skew, or may have been claimed in records that are gone.
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
	case !t.horizon.IsZero() && !created.After(t.horizon.Add(2*t.limits.Skew)):
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s is older than the records that the log keeps", k.ID))
	}
	return nil
}

// Holder returns the request that holds k.
func (t *Table) Holder(k Key) (Holder, bool) {
	rk, ok := t.findKey(k)
	if !ok {
		return Holder{}, false
	}
	n, ok := t.byKey[rk]
	if !ok {
		return Holder{}, false
	}
	r := t.rows.at(n)
	h := Holder{
		Request:       tables.NewRequestID(t.hosts.at(r.request.host), r.request.id),
		Fingerprint:   r.fingerprint,
		TargetsDigest: t.digests.at(r.digest),
		Since:         time.Unix(int64(r.claimed), 0),
		HasOutcome:    r.hasOutcome,
		OutcomeAt:     r.outcomeAt,
		Status:        int(r.status),
		attempt:       r.attempt,
	}
	if r.hasOutcome {
		h.Kind = t.kinds.at(uint32(r.kind))
	}
	return h, true
}

// Apply folds the batch at an offset, whose record has the log's time at.
func (t *Table) Apply(now time.Time, offset int64, at time.Time, b Batch) {
	t.advance(now)
	for _, r := range b.Releases {
		t.release(b, r)
	}
	for _, c := range b.Claims {
		t.claim(at, b, c)
	}
	for _, o := range b.Outcomes {
		t.outcome(offset, o)
	}
}

// claim gives a free key to its first claim. A claim that meets a held key is
// void for good, also when the key is freed later.
func (t *Table) claim(at time.Time, b Batch, c Claim) {
	ref, ok := t.requestRef(c.Request)
	if !ok || t.expired(c.Key) {
		return
	}
	a := newAttempt(b.Writer, b.Incarnation, c.Sequence)
	if _, void := t.voided[a]; void {
		return
	}
	if _, done := t.finished[ref]; done {
		return
	}
	rk := t.addKey(c.Key)
	if _, held := t.byKey[rk]; held {
		return
	}
	t.byKey[rk] = t.rows.add(row{
		request:     ref,
		fingerprint: c.Fingerprint,
		attempt:     a,
		digest:      t.digests.add(c.TargetsDigest),
		claimed:     uint32(at.Unix()),
	})
}

// release frees the key when the released attempt holds it.
func (t *Table) release(b Batch, r Release) {
	a := newAttempt(b.Writer, b.Incarnation, r.Sequence)
	t.voided[a] = t.until(r.Key)
	rk := t.addKey(r.Key)
	if n, held := t.byKey[rk]; held && t.rows.at(n).attempt == a {
		t.drop(rk, n)
	}
}

func (t *Table) drop(k rowKey, n uint32) {
	delete(t.byKey, k)
	t.rows.remove(n)
}

// outcome notes the end of a request. "Not run" frees the key; any other
// outcome holds it. Only an unknown outcome gives way to a later one.
func (t *Table) outcome(offset int64, o Outcome) {
	ref, ok := t.requestRef(o.Request)
	if !ok || t.expired(o.Key) {
		return
	}
	rk := t.addKey(o.Key)
	n, holds := t.byKey[rk]
	holds = holds && t.rows.at(n).request == ref
	if holds && t.settled(n) {
		return
	}
	if o.Kind.Answer().Ran == errkind.RanNo {
		t.finished[ref] = t.until(o.Key)
		if holds {
			t.drop(rk, n)
		}
		return
	}
	if !holds {
		return
	}
	r := t.rows.at(n)
	r.hasOutcome = true
	r.kind = uint8(t.kinds.add(o.Kind))
	r.status = uint16(o.Status)
	r.outcomeAt = offset
}

// settled reports whether a row has an outcome that is not unknown.
func (t *Table) settled(n uint32) bool {
	r := t.rows.at(n)
	return r.hasOutcome && t.kinds.at(uint32(r.kind)).Answer().Ran != errkind.RanUnknown
}

// Tick drops what has expired at now.
func (t *Table) Tick(now time.Time) {
	t.advance(now)
	oldest := t.now.Add(-t.limits.Window).UnixMilli()
	for k, n := range t.byKey {
		if createdMillis(k.id) <= oldest {
			t.drop(k, n)
		}
	}
	for a, until := range t.voided {
		if !until.After(t.now) {
			delete(t.voided, a)
		}
	}
	for r, until := range t.finished {
		if !until.After(t.now) {
			delete(t.finished, r)
		}
	}
}

func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// until is when nothing about k matters any more.
func (t *Table) until(k Key) time.Time {
	return k.Created().Add(t.limits.Window)
}

func (t *Table) expired(k Key) bool {
	return !t.until(k).After(t.now)
}

func (t *Table) requestRef(id tables.RequestID) (requestRef, bool) {
	host, parsed, err := splitRequest(id)
	if err != nil {
		return requestRef{}, false
	}
	return requestRef{id: parsed, host: t.hosts.add(host)}, true
}

func (t *Table) addKey(k Key) rowKey {
	return rowKey{id: k.ID, scope: t.scopes.add(scope{k.Customer, k.Service})}
}

func (t *Table) findKey(k Key) (rowKey, bool) {
	n, ok := t.scopes.find(scope{k.Customer, k.Service})
	return rowKey{id: k.ID, scope: n}, ok
}

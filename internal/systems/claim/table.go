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
	rows     map[rowKey]row
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

// row is the holder of a key. Millions of rows are kept, so it holds numbers
// in place of names.
type row struct {
	request     requestRef
	status      uint16
	kind        uint8
	hasOutcome  bool
	fingerprint tables.Fingerprint
	attempt     attempt
	// claimedAt and outcomeAt are record offsets.
	claimedAt int64
	outcomeAt int64
	digest    uint64
	claimed   int64
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
		rows:     make(map[rowKey]row),
		voided:   make(map[attempt]time.Time),
		finished: make(map[requestRef]time.Time),
	}
}

// Len counts the held keys.
func (t *Table) Len() int { return len(t.rows) }

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
	r, ok := t.rows[rk]
	if !ok {
		return Holder{}, false
	}
	h := Holder{
		Request:       tables.NewRequestID(t.hosts.at(r.request.host), r.request.id),
		Fingerprint:   r.fingerprint,
		TargetsDigest: r.digest,
		Since:         time.Unix(r.claimed, 0),
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
	for _, e := range b.Entries {
		switch {
		case e.Claim != nil:
			t.claim(offset, at, b, e.Claim)
		case e.Release != nil:
			t.release(b, e.Release)
		case e.Outcome != nil:
			t.outcome(offset, e.Outcome)
		}
	}
}

// claim gives a free key to its first claim. A claim that meets a held key is
// void for good, also when the key is freed later.
func (t *Table) claim(offset int64, at time.Time, b Batch, c *Claim) {
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
	if _, held := t.rows[rk]; held {
		return
	}
	t.rows[rk] = row{
		request:     ref,
		fingerprint: c.Fingerprint,
		attempt:     a,
		claimedAt:   offset,
		digest:      c.TargetsDigest,
		claimed:     at.Unix(),
	}
}

// release frees the key when the released attempt holds it.
func (t *Table) release(b Batch, r *Release) {
	a := newAttempt(b.Writer, b.Incarnation, r.Sequence)
	t.voided[a] = t.until(r.Key)
	rk := t.addKey(r.Key)
	if held, ok := t.rows[rk]; ok && held.attempt == a {
		delete(t.rows, rk)
	}
}

// outcome notes the end of a request. "Not run" frees the key; any other
// outcome holds it. Only an unknown outcome gives way to a later one.
func (t *Table) outcome(offset int64, o *Outcome) {
	ref, ok := t.requestRef(o.Request)
	if !ok || t.expired(o.Key) {
		return
	}
	rk := t.addKey(o.Key)
	held, ok := t.rows[rk]
	holds := ok && held.request == ref
	if holds && held.hasOutcome && t.kinds.at(uint32(held.kind)).Answer().Ran != errkind.RanUnknown {
		return
	}
	if o.Kind.Answer().Ran == errkind.RanNo {
		t.finished[ref] = t.until(o.Key)
		if holds {
			delete(t.rows, rk)
		}
		return
	}
	if !holds {
		return
	}
	held.hasOutcome = true
	held.kind = uint8(t.kinds.add(o.Kind))
	held.status = uint16(o.Status)
	held.outcomeAt = offset
	t.rows[rk] = held
}

// Tick drops what has expired at now.
func (t *Table) Tick(now time.Time) {
	t.advance(now)
	oldest := t.now.Add(-t.limits.Window).UnixMilli()
	for k := range t.rows {
		if createdMillis(k.id) <= oldest {
			delete(t.rows, k)
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
	host, err := id.Home()
	if err != nil {
		return requestRef{}, false
	}
	parsed, err := uuid.Parse(string(id)[len(host)+1:])
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

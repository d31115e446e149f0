package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxRemembered limits the memory of an authority: it grants no further keys
	// while it remembers this many held keys and requests reported as not run,
	// taken together.
	maxRemembered = 1 << 16
	// sweepInterval is the minimum time between two removals of expired keys and
	// requests.
	sweepInterval = time.Minute
	// incarnationBase is the numeric base of the incarnation in the text of a key.
	incarnationBase = 36
)

// MintedKey is an idempotency key that a host minted. Only the process that
// minted it can decide about it, so the key expires when that process ends.
type MintedKey struct {
	Host        tables.HostID
	Incarnation int64
	ID          uuid.UUID
}

// String returns the key in the form used in the Idempotency-Key header:
// "<host>.<incarnation>.<UUID>".
func (k MintedKey) String() string {
	return fmt.Sprintf("%s.%s.%s", k.Host, strconv.FormatInt(k.Incarnation, incarnationBase), k.ID)
}

// IsMinted reports whether text has the form of a minted key. Keys that callers
// create are plain UUIDs.
func IsMinted(text string) bool { return strings.Contains(text, ".") }

// ParseMinted parses the value of an Idempotency-Key header as a minted key. It
// accepts only the form that String returns. Errors are of kind KeyMalformed.
func ParseMinted(text string) (MintedKey, error) {
	malformed := func(missing string) (MintedKey, error) {
		return MintedKey{}, errkind.New(errkind.KeyMalformed, fmt.Sprintf("key %q has no %s", text, missing))
	}
	last := strings.LastIndex(text, ".")
	if last < 0 {
		return malformed("host")
	}
	id, err := uuid.Parse(text[last+1:])
	if err != nil || id.Version() != keyVersion {
		return malformed("UUID of version 7")
	}
	host, incarnationText, ok := cutLast(text[:last])
	if !ok || host == "" {
		return malformed("host")
	}
	incarnation, err := strconv.ParseInt(incarnationText, incarnationBase, 64)
	if err != nil {
		return malformed("incarnation")
	}
	k := MintedKey{Host: tables.HostID(host), Incarnation: incarnation, ID: id}
	if k.String() != text {
		return malformed("canonical form")
	}
	return k, nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndex(s, ".")
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// Authority grants the keys that its process has minted. It keeps its state in
// memory: no other process decides about these keys, so no log is needed. It is
// not safe for concurrent use.
type Authority struct {
	host        tables.HostID
	incarnation int64
	limits      Limits
	// now never decreases, so that a key that was removed as expired stays expired.
	now       time.Time
	lastSweep time.Time
	holders   map[Key]*Holder
	// notRun holds the requests that were reported as not run, each with the
	// creation time of its key. A late Acquire for such a request is refused.
	notRun map[tables.RequestID]time.Time
}

// NewAuthority returns the authority of one process. The incarnation
// distinguishes the process from earlier ones on the same host.
func NewAuthority(host tables.HostID, incarnation int64, limits Limits) *Authority {
	return &Authority{
		host: host, incarnation: incarnation, limits: limits,
		holders: make(map[Key]*Holder), notRun: make(map[tables.RequestID]time.Time),
	}
}

// Mint returns a minted key with the given ID, a UUID of version 7.
func (a *Authority) Mint(id uuid.UUID) MintedKey {
	return MintedKey{Host: a.host, Incarnation: a.incarnation, ID: id}
}

// Acquire returns immediately whether the request acquired the key. Only a
// result with Won set permits a dispatch.
func (a *Authority) Acquire(now time.Time, k MintedKey, req AcquireRequest) Result {
	a.advance(now)
	if err := a.check(k, req); err != nil {
		return Result{Err: err}
	}
	if h := a.holders[req.Key]; h != nil {
		return a.heldResult(*h, req)
	}
	if len(a.holders)+len(a.notRun) >= maxRemembered {
		return Result{Err: errkind.New(errkind.ClaimsUnavailable, fmt.Sprintf("host %q remembers %d keys", a.host, maxRemembered))}
	}
	a.holders[req.Key] = &Holder{
		Request: req.Request, Fingerprint: req.Fingerprint, TargetsDigest: req.TargetsDigest, Since: a.now,
	}
	return Result{Won: true}
}

// check returns an error if this authority cannot grant the key to the request:
// the key was minted by another process, is expired or was created too far in the
// future, or the request was reported as not run.
func (a *Authority) check(k MintedKey, req AcquireRequest) error {
	lifetime := req.Lifetime
	if lifetime <= 0 || lifetime > a.limits.Window {
		lifetime = a.limits.Window
	}
	age := a.now.Sub(req.Key.Created())
	_, reportedNotRun := a.notRun[req.Request]
	switch {
	case k.Host != a.host || k.Incarnation != a.incarnation:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("the process on host %q that made key %s has ended", k.Host, k.ID))
	case age >= lifetime:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s is %s old, its lifetime is %s", k.ID, age.Round(time.Second), lifetime))
	case age < -a.limits.Skew:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s was created %s in the future", k.ID, (-age).Round(time.Second)))
	case reportedNotRun:
		return errkind.New(errkind.ClaimsUnavailable, fmt.Sprintf("request %q was told that it does not run", req.Request))
	}
	return nil
}

// heldResult returns the result for a key that is already held. The holder itself
// does not win again: its second Acquire is a duplicate message.
func (a *Authority) heldResult(h Holder, req AcquireRequest) Result {
	if h.Fingerprint != req.Fingerprint {
		return Result{Err: errkind.New(errkind.KeyReused, fmt.Sprintf("key %s was used with another body", req.Key.ID)), Holder: &h}
	}
	return Result{Holder: &h}
}

// Record stores the outcome of a request under k. An outcome that proves that
// the request did not run frees the key. A stored outcome that leaves open whether
// the request ran is replaced by a later one; any other stored outcome never changes.
func (a *Authority) Record(now time.Time, k MintedKey, o Outcome) {
	a.advance(now)
	if k.Host != a.host || k.Incarnation != a.incarnation {
		return
	}
	h := a.holders[o.Key]
	holdsKey := h != nil && h.Request == o.Request
	final := holdsKey && h.HasOutcome && h.Kind.Answer().Ran != errkind.RanUnknown
	switch {
	case final:
	case o.Kind.Answer().Ran == errkind.RanNo:
		a.notRun[o.Request] = o.Key.Created()
		if holdsKey {
			delete(a.holders, o.Key)
		}
	case holdsKey:
		h.HasOutcome, h.Kind, h.Status = true, o.Kind, o.Status
	}
}

// advance moves the clock forward and removes expired keys and requests at most
// once per sweepInterval.
func (a *Authority) advance(now time.Time) {
	if now.After(a.now) {
		a.now = now
	}
	if a.now.Sub(a.lastSweep) < sweepInterval {
		return
	}
	a.lastSweep = a.now
	oldest := a.now.Add(-a.limits.Window)
	for key := range a.holders {
		if !key.Created().After(oldest) {
			delete(a.holders, key)
		}
	}
	for id, created := range a.notRun {
		if !created.After(oldest) {
			delete(a.notRun, id)
		}
	}
}

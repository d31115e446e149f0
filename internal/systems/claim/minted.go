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
	// maxMinted bounds the keys and ended requests that an authority remembers.
	maxMinted = 1 << 16
	// sweepEvery is the time between two searches for expired ones.
	sweepEvery = time.Minute
	// incarnationBase is the base of the incarnation in the text of a key.
	incarnationBase = 36
)

// MintedKey is a key that a host made. The process that made it is its only
// authority and takes it with it when it ends.
type MintedKey struct {
	Host        tables.HostID
	Incarnation int64
	ID          uuid.UUID
}

// String returns the text of an Idempotency-Key header:
// "<host>.<incarnation>.<UUID>".
func (k MintedKey) String() string {
	return fmt.Sprintf("%s.%s.%s", k.Host, strconv.FormatInt(k.Incarnation, incarnationBase), k.ID)
}

// IsMinted reports whether a key names a host; a caller's own key does not.
func IsMinted(text string) bool { return strings.Contains(text, ".") }

// ParseMinted returns the minted key of an Idempotency-Key header. Errors are
// of kind KeyMalformed.
func ParseMinted(text string) (MintedKey, error) {
	malformed := func(what string) (MintedKey, error) {
		return MintedKey{}, errkind.New(errkind.KeyMalformed, fmt.Sprintf("key %q has no %s", text, what))
	}
	last := strings.LastIndex(text, ".")
	if last < 0 {
		return malformed("host")
	}
	id, err := uuid.Parse(text[last+1:])
	if err != nil || id.Version() != keyVersion {
		return malformed("UUID of version 7")
	}
	host, number, ok := cutLast(text[:last])
	if !ok || host == "" {
		return malformed("host")
	}
	incarnation, err := strconv.ParseInt(number, incarnationBase, 64)
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

// Authority decides in memory about the keys that its process has minted. It
// needs no log: nobody else ever decides about them.
type Authority struct {
	host        tables.HostID
	incarnation int64
	limits      Limits
	// now never goes back, so that a dropped key stays expired.
	now     time.Time
	swept   time.Time
	holders map[Key]*Holder
	// ended are the requests that were told "not run", by the creation of their
	// keys. A late Acquire of theirs is refused.
	ended map[tables.RequestID]time.Time
}

// NewAuthority returns the authority of one process. The incarnation tells it
// from those that ran on the host before.
func NewAuthority(host tables.HostID, incarnation int64, limits Limits) *Authority {
	return &Authority{
		host: host, incarnation: incarnation, limits: limits,
		holders: make(map[Key]*Holder), ended: make(map[tables.RequestID]time.Time),
	}
}

// Mint makes a key of id, a UUID of version 7.
func (a *Authority) Mint(id uuid.UUID) MintedKey {
	return MintedKey{Host: a.host, Incarnation: a.incarnation, ID: id}
}

// Acquire decides at once who holds the key of ask. Only Won allows a dispatch.
func (a *Authority) Acquire(now time.Time, k MintedKey, ask Ask) Answer {
	a.advance(now)
	if err := a.check(k, ask); err != nil {
		return Answer{Err: err}
	}
	if h := a.holders[ask.Key]; h != nil {
		return a.held(*h, ask)
	}
	if len(a.holders)+len(a.ended) >= maxMinted {
		return Answer{Err: errkind.New(errkind.ClaimsUnavailable, fmt.Sprintf("host %q remembers %d keys", a.host, maxMinted))}
	}
	a.holders[ask.Key] = &Holder{
		Request: ask.Request, Fingerprint: ask.Fingerprint, TargetsDigest: ask.TargetsDigest, Since: a.now,
	}
	return Answer{Won: true}
}

// check refuses keys that this authority cannot decide about.
func (a *Authority) check(k MintedKey, ask Ask) error {
	lifetime := ask.Lifetime
	if lifetime <= 0 || lifetime > a.limits.Window {
		lifetime = a.limits.Window
	}
	age := a.now.Sub(ask.Key.Created())
	_, ended := a.ended[ask.Request]
	switch {
	case k.Host != a.host || k.Incarnation != a.incarnation:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("the process on host %q that made key %s has ended", k.Host, k.ID))
	case age >= lifetime:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s is %s old, its lifetime is %s", k.ID, age.Round(time.Second), lifetime))
	case age < -a.limits.Skew:
		return errkind.New(errkind.KeyExpired, fmt.Sprintf("key %s was created %s in the future", k.ID, (-age).Round(time.Second)))
	case ended:
		return errkind.New(errkind.ClaimsUnavailable, fmt.Sprintf("request %q was told that it does not run", ask.Request))
	}
	return nil
}

// held answers an ask that meets a holder. An ask of the holder itself is a
// repeated message and gives no second right.
func (a *Authority) held(h Holder, ask Ask) Answer {
	if h.Fingerprint != ask.Fingerprint {
		return Answer{Err: errkind.New(errkind.KeyReused, fmt.Sprintf("key %s was used with another body", ask.Key.ID)), Holder: &h}
	}
	return Answer{Holder: &h}
}

// Record notes the outcome of a request under k. "Not run" frees the key; a
// known outcome never changes, and an unknown one gives way to a later one.
func (a *Authority) Record(now time.Time, k MintedKey, o Outcome) {
	a.advance(now)
	if k.Host != a.host || k.Incarnation != a.incarnation {
		return
	}
	h := a.holders[o.Key]
	mine := h != nil && h.Request == o.Request
	known := mine && h.HasOutcome && h.Kind.Answer().Ran != errkind.RanUnknown
	switch {
	case known:
	case o.Kind.Answer().Ran == errkind.RanNo:
		a.ended[o.Request] = o.Key.Created()
		if mine {
			delete(a.holders, o.Key)
		}
	case mine:
		h.HasOutcome, h.Kind, h.Status = true, o.Kind, o.Status
	}
}

// advance drops what has expired.
func (a *Authority) advance(now time.Time) {
	if now.After(a.now) {
		a.now = now
	}
	if a.now.Sub(a.swept) < sweepEvery {
		return
	}
	a.swept = a.now
	oldest := a.now.Add(-a.limits.Window)
	for key := range a.holders {
		if !key.Created().After(oldest) {
			delete(a.holders, key)
		}
	}
	for id, created := range a.ended {
		if !created.After(oldest) {
			delete(a.ended, id)
		}
	}
}

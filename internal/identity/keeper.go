package identity

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

const (
	// firstStartWait is the longest wait for another host's record when all hosts start for the
	// first time. Each one waits for a random part of it, so that few try to write it.
	firstStartWait = 100 * time.Millisecond
	// createDelay is how long the record must be missing before a host writes a new identity at
	// another start: hosts that hold one write it again within this time.
	createDelay = 4 * time.Second
	// retryDelay is the time between two attempts to read the record. It varies by up to half.
	retryDelay = 800 * time.Millisecond
	// followDelay is the same for a host that does not write a missing record, since others do.
	followDelay = 5 * time.Second
	// checkInterval is the time between checks whether the record must be read again.
	checkInterval = 250 * time.Millisecond
	// conflictInterval is the shortest time between two reads because peers that use the same
	// store state another identity.
	conflictInterval = 2 * time.Second
	// unreadableDelay is the time to the next read after an unreadable record.
	unreadableDelay = 10 * time.Second
)

// ErrTaken means that the record was written meanwhile.
var ErrTaken = errors.New("the record of the fleet's identity was written meanwhile")

// Stored is the record as the store has it.
type Stored struct {
	// Value is nil if there is no record.
	Value []byte
	// End is the offset at which the record may be written.
	End int64
	// Incarnation is that of the store.
	Incarnation int64
}

// Store holds the record in the platform's store.
type Store interface {
	// ReadIdentity returns the record. If there is none yet, it waits for one, at most for wait.
	ReadIdentity(ctx context.Context, wait time.Duration) (Stored, error)
	// WriteIdentity writes the record if its topic ends at offset at. Otherwise the error wraps
	// ErrTaken.
	WriteIdentity(ctx context.Context, at int64, value []byte) error
}

// Keeper holds the identity of the fleet of one host. It is safe for concurrent use. Its
// exported fields must be set before use.
type Keeper struct {
	Store Store
	// StoreAddress is the address of the store.
	StoreAddress string
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	// Incarnation returns that of the store, as far as the host knows.
	Incarnation func() int64
	// Renews reports whether this host is one of the few that write the record if the store has
	// lost it.
	Renews func() bool
	// OnReplaced is called, without a lock held, when the store turns out to be another one than
	// that of the fleet whose state this host has: what the host knows must be dropped. It may be
	// nil.
	OnReplaced func()
	Clock      clockwork.Clock
	Logger     *zap.Logger

	mu sync.Mutex
	id ID
	// former are the identities that the store has stated before.
	former map[ID]bool
	// vouched are the identities that peers with the same store state, while the host has none,
	// each with the latest incarnation of the store that held it.
	vouched map[ID]int64
	// conflict is true if peers with the same store state another identity than this host's.
	conflict bool
	// dropping is true from when the store turns out to be another one until OnReplaced has returned.
	// Meanwhile the host states no identity: what it knows is of another fleet.
	dropping bool
	// confirmed is the incarnation of the store that is known to hold the identity.
	confirmed int64

	// missingSince is when the record was first found missing; zero if it was not.
	missingSince time.Time
	// conflictReadAt is when the record was read last because of a conflict. It is used only by
	// Run.
	conflictReadAt time.Time
}

// Claim returns what this host says of its fleet.
func (k *Keeper) Claim() Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dropping {
		return Claim{Store: k.StoreAddress}
	}
	return Claim{Fleet: k.id, Store: k.StoreAddress, Incarnation: k.confirmed}
}

// Judge returns an error of type *RefusedError if a host that makes a claim does not belong to
// the fleet. listed reports whether a host that states nothing is listed as one of the build
// before.
func (k *Keeper) Judge(c Claim, listed func() bool) error {
	if !c.Stated() {
		if listed() {
			return nil
		}
		return &RefusedError{Unlisted, c}
	}
	if c.Fleet != "" && !c.Fleet.readable() {
		return &RefusedError{Unreadable, c}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	sameStore := c.Store == k.StoreAddress
	switch {
	case k.id == "" || c.Fleet == "":
		if !sameStore {
			return &RefusedError{OtherStore, c}
		}
		if k.id == "" && c.Fleet != "" {
			k.vouch(c)
		}
		return nil
	case c.Fleet == k.id || k.former[c.Fleet]:
		return nil
	default:
		k.conflict = k.conflict || sameStore
		return &RefusedError{OtherFleet, c}
	}
}

// vouch records the identity that a peer states. The lock must be held.
func (k *Keeper) vouch(c Claim) {
	if k.vouched == nil {
		k.vouched = make(map[ID]int64)
	}
	k.vouched[c.Fleet] = max(k.vouched[c.Fleet], c.Incarnation)
}

// contradicts reports whether a store that does not hold an identity in an incarnation cannot be
// the one that held it in the incarnation heldIn: a store loses nothing without a later incarnation.
// A store that states no incarnation contradicts nothing.
func contradicts(incarnation, heldIn int64) bool { return incarnation > 0 && heldIn >= incarnation }

// Run reads the identity, and writes it where the store lacks it, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := checkInterval
		if k.mustRead() {
			delay = k.read(ctx)
		}
		select {
		case <-ctx.Done():
		case <-k.Clock.After(delay):
		}
	}
}

// mustRead reports whether the record must be read: the identity is not known, the store was
// restored, or a peer contradicts it.
func (k *Keeper) mustRead() bool {
	k.mu.Lock()
	id, confirmed, conflict := k.id, k.confirmed, k.conflict
	k.mu.Unlock()
	now := k.Clock.Now()
	switch {
	case id == "":
		return true
	case conflict && now.Sub(k.conflictReadAt) >= conflictInterval:
		k.conflictReadAt = now
		return true
	default:
		return k.Incarnation() > confirmed && k.Renews()
	}
}

// read reads the record and writes it if it is missing. It returns the time to the next check.
func (k *Keeper) read(ctx context.Context) time.Duration {
	stored, err := k.Store.ReadIdentity(ctx, k.wait())
	if err != nil {
		return k.failed(err)
	}
	if stored.Value == nil {
		return k.write(ctx, stored)
	}
	id, err := decode(stored.Value)
	if err != nil {
		event.IdentityUnreadable.Log(k.Logger, zap.Error(err))
		return unreadableDelay
	}
	k.hold(id, stored.Incarnation)
	return checkInterval
}

// wait returns how long to wait for another host's record.
func (k *Keeper) wait() time.Duration {
	if !k.FirstStart || k.Claim().Fleet != "" {
		return 0
	}
	return time.Duration(1 + rand.Int64N(int64(firstStartWait)))
}

// write writes the record that is missing in the store: what this host or its peers hold, or a
// new identity once none of them can.
func (k *Keeper) write(ctx context.Context, missing Stored) time.Duration {
	id := k.candidate(missing.Incarnation)
	if id == "" {
		return k.missingDelay()
	}
	value, err := encode(id)
	if err == nil {
		err = k.Store.WriteIdentity(ctx, missing.End, value)
	}
	switch {
	case errors.Is(err, ErrTaken):
		return 0
	case err != nil:
		return k.failed(err)
	}
	k.hold(id, missing.Incarnation)
	return checkInterval
}

// missingDelay returns the time to the next read while the record is missing and may not be
// written yet.
func (k *Keeper) missingDelay() time.Duration {
	if k.Renews() {
		return retryDelay
	}
	return followDelay/2 + time.Duration(rand.Int64N(int64(followDelay)))
}

// candidate returns the identity that is to be written where the record is missing in an
// incarnation of the store; empty if it may not be written yet.
func (k *Keeper) candidate(incarnation int64) ID {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock.Now()
	if k.missingSince.IsZero() {
		k.missingSince = now
	}
	vouched := k.vouchedFor(incarnation)
	switch {
	case k.id != "" && !contradicts(incarnation, k.confirmed):
		return k.id
	case k.FirstStart && vouched == "":
		return newID()
	case now.Sub(k.missingSince) < createDelay:
		return ""
	case vouched != "":
		return vouched
	default:
		return newID()
	}
}

// vouchedFor returns an identity that peers state and that a store may have lost which does not hold
// it in an incarnation; empty if there is none. The lock must be held.
func (k *Keeper) vouchedFor(incarnation int64) ID {
	for id, heldIn := range k.vouched {
		if !contradicts(incarnation, heldIn) {
			return id
		}
	}
	return ""
}

// hold records what the store holds.
func (k *Keeper) hold(id ID, incarnation int64) {
	k.mu.Lock()
	before, replaced := k.id, k.isReplaced(id, incarnation)
	switch {
	case replaced:
		k.former, k.confirmed = nil, incarnation
	case before != "" && before != id:
		if k.former == nil {
			k.former = make(map[ID]bool)
		}
		k.former[before] = true
	}
	k.id, k.vouched, k.conflict = id, nil, false
	k.confirmed = max(k.confirmed, incarnation)
	k.missingSince = time.Time{}
	k.dropping = replaced && k.OnReplaced != nil
	k.mu.Unlock()
	if before != id {
		event.IdentityKnown.Log(k.Logger, zap.String("fleet", string(id)), zap.String("before", string(before)), zap.Int64("incarnation", incarnation))
	}
	if replaced && k.OnReplaced != nil {
		k.OnReplaced()
		k.mu.Lock()
		k.dropping = false
		k.mu.Unlock()
	}
}

// TrustsStateOf reports whether the state may be used of a host that makes a claim. A host without an
// identity may have taken its state from another fleet, and finds that out once it has read its own.
func (k *Keeper) TrustsStateOf(c Claim) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id == "" || c.Fleet != "" || !c.Stated()
}

// isReplaced reports whether a store that holds an identity in an incarnation contradicts the
// identity that this host has held, or one that peers have stated. The lock must be held.
func (k *Keeper) isReplaced(id ID, incarnation int64) bool {
	if k.id != "" {
		return k.id != id && contradicts(incarnation, k.confirmed)
	}
	for stated, heldIn := range k.vouched {
		if stated != id && contradicts(incarnation, heldIn) {
			return true
		}
	}
	return false
}

func (k *Keeper) failed(err error) time.Duration {
	event.IdentityNotRead.Log(k.Logger, zap.Error(err))
	return retryDelay/2 + time.Duration(rand.Int64N(int64(retryDelay)))
}

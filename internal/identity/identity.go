// Package identity tells the hosts of a fleet from those of others. A fleet's identity is a
// random value that its hosts read from their own store, which no other fleet uses.
package identity

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// idBytes is the length of an identity.
const idBytes = 16

// ID is the identity of a fleet, in hexadecimal digits; empty if it is not known.
type ID string

// newID returns a random identity.
func newID() ID {
	raw := make([]byte, idBytes)
	// Read never returns an error.
	_, _ = rand.Read(raw)
	return ID(hex.EncodeToString(raw))
}

// readable reports whether an identity is one that a fleet can have.
func (id ID) readable() bool {
	raw, err := hex.DecodeString(string(id))
	return err == nil && len(raw) == idBytes
}

// record is the value of the record in the store.
type record struct {
	Fleet ID `json:"fleet"`
}

// ErrUnreadable means that the record in the store holds no identity.
var ErrUnreadable = errors.New("the record of the fleet's identity is unreadable")

func decode(value []byte) (ID, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if !r.Fleet.readable() {
		return "", fmt.Errorf("%w: %q is not %d bytes in hexadecimal digits", ErrUnreadable, shorten(r.Fleet), idBytes)
	}
	return r.Fleet, nil
}

func encode(id ID) ([]byte, error) { return json.Marshal(record{Fleet: id}) }

// shorten bounds the length of an identity in messages; another program may have written it.
func shorten(id ID) ID { return id[:min(len(id), 2*idBytes)] }

// Claim is what a host says of its fleet.
type Claim struct {
	// Fleet is the identity; empty while the host has not read it.
	Fleet ID
	// Store is the address of the store that the host uses. While one of two hosts does not know
	// the identity, the address tells whether they are of one fleet: two stores that run at the
	// same time have different ones.
	Store string
	// Incarnation is the latest one of the store that the host knows to have held the identity; zero
	// if the host knows no identity or the store states none.
	Incarnation int64
}

// Stated reports whether the host states anything. The build before does not.
func (c Claim) Stated() bool { return c != Claim{} }

// Reason is why a peer was refused.
type Reason string

// The values of Reason.
const (
	// OtherFleet means that the peer states another identity.
	OtherFleet Reason = "other_fleet"
	// OtherStore means that one of the hosts does not know its identity, and they use different
	// stores.
	OtherStore Reason = "other_store"
	// Unlisted means that the peer states nothing, and is not listed as a host of the build
	// before.
	Unlisted Reason = "unlisted"
	// Unreadable means that what the peer states is no identity.
	Unreadable Reason = "unreadable"
	// OtherHost means that another host than the listed one answers at an address.
	OtherHost Reason = "other_host"
)

// RefusedError is the error for a peer that does not belong to the fleet.
type RefusedError struct {
	Reason Reason
	Claim  Claim
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the peer does not belong to this fleet (%s): it states fleet %q and store %q", e.Reason, shorten(e.Claim.Fleet), e.Claim.Store)
}

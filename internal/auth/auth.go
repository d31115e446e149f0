// Package auth finds the customer or operator that a key belongs to. The
// configuration holds only SHA-256 digests of keys; several labels of one
// customer may be valid at once, so that keys rotate without a gap.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// digest is the SHA-256 of a key.
type digest [sha256.Size]byte

// entry is one valid key.
type entry struct {
	digest digest
	owner  string
	label  string
}

// Index holds the valid keys of one configuration version. It never changes,
// so that it needs no lock.
type Index struct {
	customers []entry
	operators []entry
}

// NewIndex builds the index of a document. It returns an error of kind
// InvalidConfig for a digest that is no hex SHA-256 or that two owners share.
func NewIndex(d config.Document) (*Index, error) {
	x := &Index{}
	for name, c := range d.Customers {
		added, err := appendKeys(x.customers, "customer", name, c.KeySHA256)
		if err != nil {
			return nil, err
		}
		x.customers = added
	}
	for name, o := range d.Operators {
		added, err := appendKeys(x.operators, "operator", name, o.KeySHA256)
		if err != nil {
			return nil, err
		}
		x.operators = added
	}
	if err := checkShared(x.customers, "customers"); err != nil {
		return nil, err
	}
	return x, checkShared(x.operators, "operators")
}

func appendKeys(to []entry, role, owner string, keys map[string]string) ([]entry, error) {
	for label, text := range keys {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			detail := fmt.Sprintf("%s %q: key %q is no hex SHA-256 digest", role, owner, label)
			return nil, errkind.New(errkind.InvalidConfig, detail)
		}
		to = append(to, entry{digest: digest(raw), owner: owner, label: label})
	}
	return to, nil
}

// checkShared refuses one key for two owners. It sorts entries by owner and
// label, so that all hosts report the same pair.
func checkShared(entries []entry, role string) error {
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		return a.owner < b.owner || a.owner == b.owner && a.label < b.label
	})
	first := make(map[digest]entry, len(entries))
	for _, e := range entries {
		other, taken := first[e.digest]
		if taken && other.owner != e.owner {
			detail := fmt.Sprintf("%s %q and %q have the same key (labels %q and %q)", role, other.owner, e.owner, other.label, e.label)
			return errkind.New(errkind.InvalidConfig, detail)
		}
		first[e.digest] = e
	}
	return nil
}

// Customer returns the customer that key belongs to. The error has the kind
// Unauthenticated and never contains the key.
func (x *Index) Customer(key string) (tables.CustomerID, error) {
	owner, err := find(x.customers, key, "customer")
	return tables.CustomerID(owner), err
}

// Operator returns the operator that key belongs to, like Customer.
func (x *Index) Operator(key string) (string, error) {
	return find(x.operators, key, "operator")
}

// find compares key with every entry, so that its time does not depend on
// which entry matches.
func find(entries []entry, key, role string) (string, error) {
	if key == "" {
		return "", errkind.New(errkind.Unauthenticated, "the Authorization header carries no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range entries {
		equal := subtle.ConstantTimeCompare(sum[:], entries[i].digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", errkind.New(errkind.Unauthenticated, "the key belongs to no "+role)
	}
	return entries[found].owner, nil
}

// EqualKeys compares two shared keys in a time that does not depend on where
// they differ.
func EqualKeys(a, b string) bool {
	x := sha256.Sum256([]byte(a))
	y := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

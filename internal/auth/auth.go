// Package auth finds the customer or operator that a key belongs to. The
// configuration contains only SHA-256 digests of keys. A customer or operator may
// have several valid keys under different labels, so that keys can be rotated
// without interruption.
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

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// entry is one valid key.
type entry struct {
	digest digest
	owner  string
	label  string
}

// Index holds the valid keys of one configuration version. It is immutable and safe
// for concurrent use.
type Index struct {
	customers []entry
	operators []entry
}

// NewIndex returns the index of the keys in a document. It returns an error of kind
// InvalidConfig if a digest is not a hex SHA-256 digest or if two customers or two
// operators have the same key.
func NewIndex(d config.Document) (*Index, error) {
	idx := &Index{}
	for name, c := range d.Customers {
		customers, err := appendKeys(idx.customers, "customer", name, c.KeySHA256)
		if err != nil {
			return nil, err
		}
		idx.customers = customers
	}
	for name, o := range d.Operators {
		operators, err := appendKeys(idx.operators, "operator", name, o.KeySHA256)
		if err != nil {
			return nil, err
		}
		idx.operators = operators
	}
	if err := checkUnique(idx.customers, "customers"); err != nil {
		return nil, err
	}
	return idx, checkUnique(idx.operators, "operators")
}

// appendKeys appends the keys of one owner to entries. digests maps the labels of
// the keys to their hex SHA-256 digests.
func appendKeys(entries []entry, role, owner string, digests map[string]string) ([]entry, error) {
	for label, hexDigest := range digests {
		raw, err := hex.DecodeString(hexDigest)
		if err != nil || len(raw) != sha256.Size {
			detail := fmt.Sprintf("%s %q: key %q is no hex SHA-256 digest", role, owner, label)
			return nil, errkind.New(errkind.InvalidConfig, detail)
		}
		entries = append(entries, entry{digest: digest(raw), owner: owner, label: label})
	}
	return entries, nil
}

// checkUnique returns an error if two owners have the same key. It sorts entries by
// owner and label so that all hosts report the same pair.
func checkUnique(entries []entry, role string) error {
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		return a.owner < b.owner || a.owner == b.owner && a.label < b.label
	})
	first := make(map[digest]entry, len(entries))
	for _, e := range entries {
		other, exists := first[e.digest]
		if exists && other.owner != e.owner {
			detail := fmt.Sprintf("%s %q and %q have the same key (labels %q and %q)", role, other.owner, e.owner, other.label, e.label)
			return errkind.New(errkind.InvalidConfig, detail)
		}
		first[e.digest] = e
	}
	return nil
}

// Customer returns the customer that key belongs to. The error has the kind
// Unauthenticated and never contains the key.
func (idx *Index) Customer(key string) (tables.CustomerID, error) {
	owner, err := findOwner(idx.customers, key, "customer")
	return tables.CustomerID(owner), err
}

// Operator returns the operator that key belongs to. Its errors are like those of
// Customer.
func (idx *Index) Operator(key string) (string, error) {
	return findOwner(idx.operators, key, "operator")
}

// findOwner returns the owner of key. It compares key with every entry in constant
// time, so that the duration does not reveal which entry matches.
func findOwner(entries []entry, key, role string) (string, error) {
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

// EqualKeys reports whether two keys are equal. Its duration does not depend on
// where the keys differ.
func EqualKeys(a, b string) bool {
	sumA := sha256.Sum256([]byte(a))
	sumB := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(sumA[:], sumB[:]) == 1
}

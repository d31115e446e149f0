// Package claim decides which request may be dispatched under an idempotency
// key. Claims, releases and outcomes are records of a log stream. Every host
// applies the records of a stream in log order, so all hosts build the same
// table. The first claim of a key wins and holds the key for its lifetime,
// unless an outcome proves that its request did not run.
package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// keyVersion is the required UUID version; version 7 embeds a creation time.
const keyVersion = 7

// Key is an idempotency key, scoped to a customer and a service.
type Key struct {
	Customer tables.CustomerID
	Service  tables.ServiceID
	ID       uuid.UUID
}

// ParseKey parses the value of an Idempotency-Key header. Errors are of kind
// KeyMalformed.
func ParseKey(customer tables.CustomerID, service tables.ServiceID, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, errkind.Wrap(err, errkind.KeyMalformed, fmt.Sprintf("key %q is not a UUID", text))
	}
	if id.Version() != keyVersion {
		return Key{}, errkind.New(errkind.KeyMalformed, fmt.Sprintf("key %q is a UUID of version %d", text, id.Version()))
	}
	return Key{Customer: customer, Service: service, ID: id}, nil
}

// Created returns the creation time that the caller embedded in the key.
func (k Key) Created() time.Time {
	return time.UnixMilli(createdMillis(k.ID))
}

// createdMillis returns the 48-bit timestamp of a version 7 UUID, in Unix
// milliseconds.
func createdMillis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Shard returns the index of the key's shard, in [0, shards).
func (k Key) Shard(shards int) int {
	h := xxhash.New()
	_, _ = h.WriteString(string(k.Customer))
	_, _ = h.WriteString("\x00" + string(k.Service) + "\x00")
	_, _ = h.Write(k.ID[:])
	return int(h.Sum64() % uint64(shards))
}

// TargetsDigest returns a hash of a set of targets that does not depend on
// their order. A gate stores in its claim the digest of all targets that it may
// dispatch to. A process that resolves the outcome later compares it with the
// digest of the targets that it can query, to check that none is missing.
func TargetsDigest(ids []tables.TargetID) uint64 {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	h := xxhash.New()
	for _, id := range slices.Compact(sorted) {
		_, _ = h.WriteString(string(id) + "\x00")
	}
	return h.Sum64()
}

// ShardOf returns the shard index for the value of an Idempotency-Key header. A
// malformed value maps to shard 0, whose home rejects it.
func ShardOf(customer tables.CustomerID, service tables.ServiceID, text string, shards int) int {
	k, err := ParseKey(customer, service, text)
	if err != nil {
		return 0
	}
	return k.Shard(shards)
}

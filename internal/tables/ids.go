// Package tables holds the entities that the systems read and write. A table
// is owned by one goroutine; systems get it by argument and keep no state of
// their own.
package tables

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// HostID names a host of bluebellseam.
type HostID string

// DomainID names a failure domain.
type DomainID string

// CustomerID names a customer.
type CustomerID string

// ServiceID names a service.
type ServiceID string

// TargetID names a target.
type TargetID string

// RequestID is the identity of one request and names the host that is its
// home: "<host>.<UUIDv7>". It is also the dispatch ID at targets.
type RequestID string

// NewRequestID mints the ID of a request whose home is host.
func NewRequestID(host HostID, id uuid.UUID) RequestID {
	return RequestID(string(host) + "." + id.String())
}

// Home returns the host part of the ID, or an error when id is malformed.
func (id RequestID) Home() (HostID, error) {
	host, rest, ok := cutLast(string(id), ".")
	if !ok || host == "" {
		return "", fmt.Errorf("request ID %q names no host", string(id))
	}
	if _, err := uuid.Parse(rest); err != nil {
		return "", fmt.Errorf("request ID %q ends in no UUID: %w", string(id), err)
	}
	return HostID(host), nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// Fingerprint is the XXH64 hash of customer, service and body. Equal
// fingerprints mean that the same content was sent.
type Fingerprint uint64

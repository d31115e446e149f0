// Package tables defines the rows and tables that the packages in
// internal/systems read and write. They receive the tables as arguments. Tables
// are not safe for concurrent use.
package tables

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// HostID identifies a host of bluebellseam.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

// CustomerID identifies a customer.
type CustomerID string

// ServiceID identifies a service.
type ServiceID string

// TargetID identifies a target.
type TargetID string

// SoftwareVersion is the version of the software that a target runs, as the target
// reports it. Versions have no order, only equality.
type SoftwareVersion string

// RequestID identifies a request: "<host>.<UUIDv7>". The host is the home of the
// request, the host whose gate accepted it. The request ID is also the dispatch ID
// at targets.
type RequestID string

// NewRequestID returns the ID of a request that the gate on host accepted. id is a
// UUID of version 7.
func NewRequestID(host HostID, id uuid.UUID) RequestID {
	return RequestID(string(host) + "." + id.String())
}

// Home returns the host part of the ID, or an error if id is malformed.
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

// cutLast is like strings.Cut but splits at the last separator.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// Fingerprint is the XXH64 hash of the customer, service and body of a request.
// Requests with equal fingerprints are treated as identical.
type Fingerprint uint64

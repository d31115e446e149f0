// Package origin decides at which software version a stream may go on. Events of two
// software versions don't fit together, so a stream that has begun goes on only at the
// version that began it. The package keeps which version that is and which versions
// the targets of a service have. It uses no clock and does no I/O: callers pass in the
// time.
package origin

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// StreamID identifies a stream. It is zero for no stream.
type StreamID uint64

// StreamIDOf returns the ID of the stream that the request began; zero if requestID is
// empty.
func StreamIDOf(requestID string) StreamID {
	if requestID == "" {
		return 0
	}
	return max(StreamID(xxhash.Sum64String(requestID)), 1)
}

// Kind says which targets may serve a request.
type Kind uint8

// Kinds of constraints.
const (
	// Unknown means that the version that began the stream is unknown, so that no
	// target may continue it.
	Unknown Kind = iota
	// AnyVersion means that all targets of the service may serve the request.
	AnyVersion
	// OnlyVersion means that only targets of Constraint.Version may serve the request.
	OnlyVersion
)

// Question is what Decide has to know of a request.
type Question struct {
	// Resumed is true if the caller already has events of the stream.
	Resumed bool
	// Known is true if the version that began the stream is known. It is Version then.
	Known   bool
	Version tables.SoftwareVersion
	// Disputed is true if several versions were reported to have begun the stream.
	Disputed bool
	// Seen holds the versions of the service that were listed lately (Seen.Versions).
	Seen []tables.SoftwareVersion
	// Complete is true if Seen has all versions that were listed before the request arrived, and so
	// the one that began the stream.
	Complete bool
}

// Constraint is the answer of Decide.
type Constraint struct {
	Kind Kind
	// Version is set for OnlyVersion, and for AnyVersion if Sole is true.
	Version tables.SoftwareVersion
	// Sole is true for a resumed stream that may go on at any version because Version
	// is the only one that was seen.
	Sole bool
}

// Decide returns at which versions a request may be served.
func Decide(q Question) Constraint {
	switch {
	case !q.Resumed:
		return Constraint{Kind: AnyVersion}
	case q.Disputed:
		return Constraint{Kind: Unknown}
	case q.Known:
		return Constraint{Kind: OnlyVersion, Version: q.Version}
	case !q.Complete || len(q.Seen) > 1:
		return Constraint{Kind: Unknown}
	case len(q.Seen) == 1:
		return Constraint{Kind: AnyVersion, Version: q.Seen[0], Sole: true}
	default:
		return Constraint{Kind: Unknown}
	}
}

// Binding returns the version to which a slot request must be bound and whether it must
// be bound. This includes the only version seen: another one may appear between the
// decision and the grant.
func (c Constraint) Binding() (tables.SoftwareVersion, bool) {
	return c.Version, c.Kind == OnlyVersion || c.Sole
}

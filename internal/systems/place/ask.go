// Package place gives requests places at targets: it holds the queue of each
// service and knows every place in use. It has no clock and no I/O.
package place

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ID names an ask, and the grant that answers it.
type ID uint64

// Ask is a request that wants a place.
type Ask struct {
	ID       ID
	Host     tables.HostID
	Service  tables.ServiceID
	Customer tables.CustomerID
	// Domain is that of the host that will send the request.
	Domain tables.DomainID
	// Tier is the rank of the customer, or of the route where the customer has
	// none; 0 goes first. Urgency is that of the route, within a tier.
	Tier, Urgency int
	// Prompt is the number of tokens to read.
	Prompt int
	// Came is when the ask arrived, and AimAt when the first byte is due.
	Came, AimAt time.Time
	// GapAim is the longest pause between events; zero means none.
	GapAim time.Duration
	// HoldUntil is when an ask that is late already is refused.
	HoldUntil time.Time
	// Returned is true for a request that was refused before and has come back
	// when it was told to.
	Returned bool
	// Late is true for a request whose first byte was due at an earlier attempt.
	Late bool
	// Above is true when the customer uses more than its rate; others of equal
	// tier and urgency go first.
	Above bool
	// Avoid lists targets that have failed the request.
	Avoid []tables.TargetID
}

// late reports whether the aim of an ask can no longer be met.
func (a *Ask) late(now time.Time) bool { return a.Late || now.After(a.AimAt) }

// Decision answers an ask.
type Decision struct {
	Ask *Ask
	// Target is the place, or empty when the ask is refused.
	Target tables.TargetID
	// Expected is when the first byte is expected.
	Expected time.Time
	// Reason says why an ask is refused.
	Reason Reason
	// RetryAfter is when a refused caller may find a place.
	RetryAfter time.Duration
}

// Reason says why there is no place.
type Reason string

// The reasons.
const (
	// NoTargets means that no target of the service is known.
	NoTargets Reason = "no_targets"
	// TooLate means that no place is expected in useful time.
	TooLate Reason = "too_late"
)

// Outcome is how a grant ended.
type Outcome uint8

// The outcomes.
const (
	// Good answers were whole.
	Good Outcome = iota
	// Failed answers were errors of the target.
	Failed
	// Broken connections say that the target may be gone.
	Broken
	// NotRun requests were refused by the target.
	NotRun
	// Left requests were given up by their callers.
	Left
	// Replaced targets are gone: another has their address.
	Replaced
	// Unused places were given back before anything was sent.
	Unused
)

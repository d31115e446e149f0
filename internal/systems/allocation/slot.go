// Package allocation assigns requests to targets. It keeps the queue of each
// service and tracks every slot in use. It uses no clock and does no I/O:
// callers pass in the time.
package allocation

import (
	"slices"
	"strconv"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// ID identifies a slot request and the grant that answers it.
type ID uint64

// SlotRequest is a request for a slot: the right to send one request to a target.
type SlotRequest struct {
	ID       ID
	Host     tables.HostID
	Service  tables.ServiceID
	Customer tables.CustomerID
	// Route is the name of the route; empty if no rollout needs it.
	Route string
	// Domain is the failure domain of the host that will send the request.
	Domain tables.DomainID
	// Tier is the tier of the customer, or that of the route if the customer has
	// none. Urgency is the urgency of the route within the tier. Lower values are
	// served first.
	Tier, Urgency int
	// PromptTokens is the prompt length in tokens.
	PromptTokens int
	// Tokens is what the request needs of the memory of a target, where that is limited.
	Tokens TokenCounts
	// ArrivedAt is the arrival time. FirstByteDue is the time by which the SLO
	// requires the first byte.
	ArrivedAt, FirstByteDue time.Time
	// EventGapSLO is the longest time allowed between two events of a stream; zero
	// means no limit.
	EventGapSLO time.Duration
	// QueueDeadline is the time at which the request is refused if it is still queued.
	QueueDeadline time.Time
	// RetriedAsAdvised is true if the request was refused before and the caller
	// waited for the advised time before the retry.
	RetriedAsAdvised bool
	// Retried is true if the request was refused before. It then counts as late,
	// even if its first byte is not overdue yet.
	Retried bool
	// OverRate is true if the customer exceeds its configured rate. Requests of equal
	// tier and urgency from other customers are served first.
	OverRate bool
	// Avoid lists targets that already failed the request. They are not granted.
	Avoid []tables.TargetID
	// Indirect lists targets to which the host has lost its path, so that another host has
	// to send the request. Others are preferred. Only builds before reach.HostReport send it.
	Indirect []tables.TargetID
	// Version is the software version at which the request must be served, if
	// VersionBound is true. Targets of other versions are not granted.
	Version      tables.SoftwareVersion
	VersionBound bool
	// Resumed is true if the caller already has events of the stream.
	Resumed bool
	// counted is true once the request counts as demand of its customer.
	counted bool
	// surplus is how far the request is beyond the customer's share in the current pass; zero
	// if it is within it. covered is true if it is within it and there is too little capacity
	// for all of its tier.
	surplus int
	covered bool
}

// late reports whether the first byte is overdue or the request was refused
// before. A resumed request is never late: its caller waits in the middle of a stream.
func (r *SlotRequest) late(now time.Time) bool {
	return !r.Resumed && (r.Retried || now.After(r.FirstByteDue))
}

// accepts reports whether the target may be granted to the request.
func (r *SlotRequest) accepts(t *target) bool {
	return (!r.VersionBound || t.Version == r.Version) && !slices.Contains(r.Avoid, t.ID)
}

// Decision is the answer to a slot request: a grant or a refusal.
type Decision struct {
	Request *SlotRequest
	// Target is the granted target; empty if the request is refused.
	Target tables.TargetID
	// Version is the software version of the granted target.
	Version tables.SoftwareVersion
	// ExpectedFirstByte is the estimated time of the first byte.
	ExpectedFirstByte time.Time
	// Through names hosts that are likely to reach the target, the best first, while hosts
	// have lost their paths.
	Through []tables.HostID
	// Reason is set if the request is refused.
	Reason Reason
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
	// Surplus is true if the refused request was beyond the share of its customer.
	Surplus bool
}

// Reason is the reason for a refusal.
type Reason string

// Refusal reasons.
const (
	// NoTargets means that the service has no targets.
	NoTargets Reason = "no_targets"
	// TooLate means that no slot became available in time, or that too many late
	// requests were queued.
	TooLate Reason = "too_late"
)

// Outcome is the result of a grant. It is encoded as a number in messages
// between hosts, so the order of the constants must not change.
type Outcome uint8

// Outcomes of a grant.
const (
	// Succeeded means that the target returned a complete response.
	Succeeded Outcome = iota
	// Failed means that the target returned an error.
	Failed
	// ConnectionLost means that the connection broke; the target may be down.
	ConnectionLost
	// NotRun means that the target rejected the request without running it.
	NotRun
	// Abandoned means that the release says nothing about the target: for example,
	// the caller disconnected, or the host that held the slot was lost or no longer
	// reports the slot.
	Abandoned
	// TargetReplaced means that another target now has the address of this one.
	TargetReplaced
	// Unused means that the slot was released before anything was sent.
	Unused
	// Silent means that the request left the target because it sent nothing for too
	// long. The target may be sound.
	Silent
	// Unsent means that neither the host nor others that it asked could connect to the
	// target. Builds that do not know it take it for a release that says nothing.
	Unsent
)

// Sent reports whether the request may have reached the target.
func (o Outcome) Sent() bool { return o != Unused && o != Unsent }

// NotRun reports whether the target has not run the request.
func (o Outcome) NotRun() bool {
	return o == NotRun || o == TargetReplaced || !o.Sent()
}

// answered reports whether the target has answered, so that its host reaches it.
func (o Outcome) answered() bool {
	return o == Succeeded || o == Failed || o == NotRun || o == TargetReplaced
}

// String returns the name that logs use.
func (o Outcome) String() string {
	names := [...]string{"succeeded", "failed", "connection_lost", "not_run", "abandoned", "target_replaced", "unused", "silent", "unsent"}
	if int(o) >= len(names) {
		return strconv.Itoa(int(o))
	}
	return names[o]
}

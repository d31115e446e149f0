// Package rollout decides how the traffic of a service moves to another software version
// of its targets, and whether that version is good. It uses no clock and does no I/O:
// callers pass in the time.
package rollout

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// OrderID identifies an order by the position of its record in the store.
type OrderID struct {
	// Incarnation is the incarnation of the store; it rises when the store is restored.
	Incarnation int64 `json:"incarnation,omitempty"`
	Offset      int64 `json:"offset"`
}

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	ID      OrderID
	Service tables.ServiceID
	To      tables.SoftwareVersion
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// Bounds limit how many requests a bad version may get.
type Bounds struct {
	// ExposureShare is the fraction, from 0 to 1, of the requests that reach the service
	// between the order and its deadline. ExposureSlack is a number of requests beyond it.
	ExposureShare, ExposureSlack float64
	// RollbackTime is the time from the last tolerated bad answer until no request may be
	// sent to the version.
	RollbackTime time.Duration
}

// Record is the state of a rollout that outlives the hosts. It is kept in the store.
type Record struct {
	Order   OrderID                `json:"order"`
	Service tables.ServiceID       `json:"service"`
	To      tables.SoftwareVersion `json:"to"`
	Phase   Phase                  `json:"phase"`
	// Old lists the other versions that targets of the service have had since the order.
	Old []tables.SoftwareVersion `json:"old,omitempty"`
	// BegunAtMS and DeadlineMS are Unix times in milliseconds.
	BegunAtMS  int64 `json:"begun_ms"`
	DeadlineMS int64 `json:"deadline_ms"`
	// Excluded lists versions that an earlier order rolled back or replaced. They get no
	// requests while their targets drain.
	Excluded []tables.SoftwareVersion `json:"excluded,omitempty"`
	// Reason is why the rollout ended; empty before that.
	Reason Reason `json:"reason,omitempty"`
	Usage
	// Evidence counts the judged responses since the order, so that the next coordinator
	// need not begin anew.
	Evidence []RouteEvidence `json:"evidence,omitempty"`
}

// RouteEvidence counts the judged responses of a route since an order.
type RouteEvidence struct {
	Route string `json:"r"`
	Kind  Kind   `json:"k,omitempty"`
	New   Counts `json:"n"`
	Old   Counts `json:"o"`
}

// OrderOf returns the order of the record.
func (r Record) OrderOf() Order {
	return Order{ID: r.Order, Service: r.Service, To: r.To, Duration: time.Duration(r.DeadlineMS-r.BegunAtMS) * time.Millisecond}
}

// Usage counts the requests of a service since an order.
type Usage struct {
	// Requests is the number of requests that were granted a target, Exposed the number of
	// those at the new version, and Bad the number of bad answers of the new version.
	Requests int64 `json:"requests"`
	Exposed  int64 `json:"exposed"`
	Bad      int64 `json:"bad"`
}

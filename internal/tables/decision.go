package tables

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Action is the action that a scheduling decision requests.
type Action int

// The actions of a dispatcher.
const (
	// Start sends the request to the target.
	Start Action = iota
	// Shed refuses a queued request.
	Shed
	// Cancel stops a running request at its target.
	Cancel
)

// Decision is an action that the scheduling system has chosen for a request.
type Decision struct {
	Action  Action
	Request RequestID
	// Target is set for Start and Cancel.
	Target TargetID
	// Kind is the reason for Shed or Cancel.
	Kind errkind.Kind
	// RetryAfter is the retry delay returned with Shed; zero means the default of
	// Kind.
	RetryAfter time.Duration
}

// TargetSummary is the state of one target that its dispatcher reports to gates.
type TargetSummary struct {
	Target TargetID `json:"target"`
	// Free is the concurrency limit of the target minus the number of running
	// requests; negative if more requests run than the limit allows.
	Free int `json:"free"`
	// QueuedByTier is the number of queued requests by tier rank.
	QueuedByTier []int `json:"queued,omitempty"`
	// RunningByTier is the number of running requests by tier rank.
	RunningByTier []int `json:"running,omitempty"`
	// WaitMillis is the expected queueing time of a new request of the lowest
	// tier, in milliseconds. If the time differs between services, it is the longest.
	WaitMillis int `json:"wait_ms"`
	// Straggler is set if the target receives probe requests only.
	Straggler bool `json:"straggler,omitempty"`
	// Slowdown is the measured time between tokens divided by the nominal one, but
	// at least 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// CachedPrefixes lists the shared prompt prefixes that the target has probably
	// cached, each by the low 32 bits of its hash; see Request.PrefixHashes.
	CachedPrefixes []uint32 `json:"held,omitempty"`
	// Unloaded lists the services of the target whose model is not loaded.
	Unloaded []ServiceID `json:"unloaded,omitempty"`
}

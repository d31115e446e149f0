package tables

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Action is what a scheduling decision asks for.
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

// Decision is one result of the scheduling system.
type Decision struct {
	Action  Action
	Request RequestID
	// Target is set for Start and Cancel.
	Target TargetID
	// Kind is the reason of Shed and Cancel.
	Kind errkind.Kind
	// RetryAfter is the advice that goes with Shed; zero means the default.
	RetryAfter time.Duration
}

// PoolSummary is what a dispatcher tells gates about one of its targets.
type PoolSummary struct {
	Target TargetID `json:"target"`
	// Free is the unused window in requests; negative when over it.
	Free int `json:"free"`
	// QueuedByTier counts waiting requests by tier rank.
	QueuedByTier []int `json:"queued,omitempty"`
	// RunningByTier counts running requests by tier rank.
	RunningByTier []int `json:"running,omitempty"`
	// WaitMillis is the expected wait of a new request of the lowest tier.
	WaitMillis int `json:"wait_ms"`
	// Straggler marks a target that gets probes only.
	Straggler bool `json:"straggler,omitempty"`
	// Slowdown is measured over nominal time between tokens.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Held names shared prompt parts in the target's cache by the low half of
	// the hash of their last block.
	Held []uint32 `json:"held,omitempty"`
	// Unloaded lists services of the target whose model it does not hold now.
	Unloaded []ServiceID `json:"unloaded,omitempty"`
}

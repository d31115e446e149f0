package fleet

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Rollout is an operator's order to move the traffic of a service to the targets of
// another software version.
type Rollout struct {
	Service tables.ServiceID
	To      tables.SoftwareVersion
	// Duration is the time from the order within which the rollout must have ended.
	Duration time.Duration
}

// RolloutState is what the operator is told of a rollout.
type RolloutState string

// The states of a rollout. It is first taken up and then completed or rolled back.
const (
	// RolloutTakenUp means that the order has been taken up.
	RolloutTakenUp RolloutState = "taken_up"
	// RolloutCompleted means that the old targets get no more requests.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that the new targets get no more requests.
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutStatus tells the operator about a rollout.
type RolloutStatus struct {
	Service tables.ServiceID
	To      tables.SoftwareVersion
	State   RolloutState
}

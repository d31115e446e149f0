package schedule

import "time"

// Policy holds the choices of the scheduling policy that a measurement can
// compare. The zero value is not a policy.
type Policy struct {
	// HeldBackPart is the part of a window that is held back from lower tiers
	// at most: one place from the second tier, two from the third.
	HeldBackPart int
	// PreemptCooldown is how long after a cancel no more of that tier starts
	// at the target.
	PreemptCooldown time.Duration
}

// CurrentPolicy returns the policy in force.
func CurrentPolicy() Policy {
	return Policy{HeldBackPart: 4, PreemptCooldown: 2 * time.Second}
}

// PreviousPolicy returns the policy before the latest change, for comparison.
func PreviousPolicy() Policy {
	return Policy{HeldBackPart: 4}
}

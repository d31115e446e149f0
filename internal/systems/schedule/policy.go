package schedule

// Policy holds the choices of the scheduling policy that a measurement can
// compare. The zero value is not a policy.
type Policy struct {
	// HeldBackPart is the part of a window that is held back from lower tiers
	// at most: one place from the second tier, two from the third.
	HeldBackPart int
	// HoldPerCancel is how many more places are held back from a tier at a
	// target, each time that a request of it is cancelled there, and
	// ReleasePerEnd how many fewer, each time that one ends of itself.
	HoldPerCancel float64
	ReleasePerEnd float64
	// PreferHeld lets requests whose prompt a free target holds go first, and
	// the others wait a moment for such a target.
	PreferHeld bool
	// LongFactor is the length of a long answer over the predicted one; a
	// request is urgent if a long answer would be late.
	LongFactor float64
}

// maxHeld bounds the places that are held back from a tier after cancels.
const maxHeld = 8

// CurrentPolicy returns the policy in force.
func CurrentPolicy() Policy {
	return Policy{HeldBackPart: 4, HoldPerCancel: 2, ReleasePerEnd: 0.1, PreferHeld: true, LongFactor: 2}
}

// PreviousPolicy returns the policy before the latest change, for comparison.
func PreviousPolicy() Policy {
	return Policy{HeldBackPart: 4, HoldPerCancel: 2, ReleasePerEnd: 0.1, LongFactor: 1}
}

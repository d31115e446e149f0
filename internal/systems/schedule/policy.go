package schedule

// Policy holds the choices of the scheduling policy that a measurement can
// compare.
type Policy struct{}

// CurrentPolicy returns the policy in force.
func CurrentPolicy() Policy { return Policy{} }

// PreviousPolicy returns the policy before the latest change, for comparison.
func PreviousPolicy() Policy { return Policy{} }

package schedule

// Policy holds the tunable parameters of the scheduling policy, so that
// benchmarks can compare policies. The zero value is not usable.
type Policy struct {
	// WithheldDivisor limits the slots of a target that are withheld from lower
	// tiers. One slot is withheld from the second tier, two from the third, and
	// so on, but no more than 1/WithheldDivisor of the concurrency limit.
	WithheldDivisor int
	// WithholdPerCancel is the number of additional slots withheld on a target
	// from a tier and all lower ones for each request of the tier that is
	// cancelled there. RestorePerCompletion is the number of these slots that are
	// no longer withheld after a request of the tier ends there without being
	// cancelled.
	WithholdPerCancel    float64
	RestorePerCompletion float64
	// PreferCached prefers a request if an eligible target has at least
	// 1/cachedDivisor of its prompt cached. It also lets a request wait up to
	// maxCacheWait for a slot on a target that has more of its prompt cached.
	PreferCached bool
	// LongAnswerFactor is the length of a long answer relative to the predicted
	// one. A request becomes urgent at urgentSlack before the latest start that
	// meets its deadlines with a long answer, and is no longer urgent when even
	// the fastest target cannot meet its deadline.
	LongAnswerFactor float64
}

// maxWithheld is the largest number of slots that are withheld on a target
// because requests of one tier were cancelled there.
const maxWithheld = 8

// CurrentPolicy returns the policy in use.
func CurrentPolicy() Policy {
	return Policy{WithheldDivisor: 4, WithholdPerCancel: 2, RestorePerCompletion: 0.1, PreferCached: true, LongAnswerFactor: 2}
}

// PreviousPolicy returns the policy that CurrentPolicy replaced, for comparison
// in benchmarks.
func PreviousPolicy() Policy {
	return Policy{WithheldDivisor: 4, WithholdPerCancel: 2, RestorePerCompletion: 0.1, LongAnswerFactor: 1}
}

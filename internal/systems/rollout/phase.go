package rollout

// Phase is how far a rollout has come. It is encoded as a string in the store and in
// messages between hosts.
type Phase string

// Phases of a rollout.
const (
	// Observing means that a small part of the new requests goes to some targets of the
	// new version.
	Observing Phase = "observing"
	// Shifting means that the share of the new version is raised to all new requests.
	Shifting Phase = "shifting"
	// Completed means that the old versions get no new requests.
	Completed Phase = "completed"
	// RolledBack means that the new version gets no requests.
	RolledBack Phase = "rolled_back"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Reason is why a rollout ended.
type Reason string

// Reasons for the end of a rollout.
const (
	// Drained means that all requests were shifted and no slot is in use at the old targets.
	Drained Reason = "drained"
	// DeadlineNear means that all requests were shifted, but requests still run at the old
	// targets at the deadline.
	DeadlineNear Reason = "deadline_near"
	// NoOldTargets means that the service has only ever had targets of the new version.
	NoOldTargets Reason = "no_old_targets"
	// BadAnswers means that the new version failed or was slow more often than the old ones.
	BadAnswers Reason = "bad_answers"
	// Slow means that most targets of the new version are slower than those of the old ones.
	Slow Reason = "slow"
	// Crashes means that several targets of the new version crashed.
	Crashes Reason = "crashes"
	// Unproven means that the evidence did not suffice by the deadline.
	Unproven Reason = "unproven"
)

// condemns reports whether the reason is a fault of the version, and not a lack of evidence.
func (r Reason) condemns() bool { return r == BadAnswers || r == Slow || r == Crashes }

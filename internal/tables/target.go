package tables

import "time"

// Target is one row of the target table: what configuration says of a target
// and what its dispatcher has learned.
type Target struct {
	ID         TargetID
	Address    string
	Domain     DomainID
	Generation string
	Plain      bool
	// Services lists what the target may serve.
	Services map[ServiceID]bool
	// WindowMin and WindowMax bound the requests at the target at once.
	WindowMin int
	WindowMax int
	// ChecksFencing states that the target refuses old fencing numbers.
	ChecksFencing bool
	// Drained is the operator's mark, Leaving that of the host list.
	Drained bool
	Leaving bool
	// Owned is set while this host is the target's owner.
	Owned bool
	// Gained is when this host took the target over from another owner; zero
	// when it has owned it since it first knew of it.
	Gained time.Time
	// RampUntil limits the window of a new owner until this time.
	RampUntil time.Time
	// DownUntil keeps work off a target that refused connections.
	DownUntil time.Time
	// LastCrash is the start of the latest crash; zero without one.
	LastCrash time.Time

	// Speed is the nominal speed of the hardware generation.
	Speed Speed
	// Estimate is what the dispatcher has measured.
	Estimate Estimate
	// Straggler is set by the straggler system.
	Straggler bool
	// ProbeAt is when a straggler may next get a probe.
	ProbeAt time.Time
	// Window is the number of requests that the target may run at once.
	Window float64
	// Running counts the requests at the target; the scheduling system
	// keeps it.
	Running int
}

// Open reports whether the target may get new work at now.
func (t *Target) Open(now time.Time) bool {
	return !t.Drained && !t.Leaving && !now.Before(t.DownUntil)
}

// Fits reports whether the target may serve r.
func (t *Target) Fits(r *Request) bool {
	return t.Services[r.Service]
}

// Speed describes an engine by its generation.
type Speed struct {
	// PrefillTokensPerSecond is the prompt throughput.
	PrefillTokensPerSecond float64
	// Step is the decode step at batch size one.
	Step time.Duration
	// StepPerSequence is added to the step by each further sequence.
	StepPerSequence time.Duration
}

// Nominal speed of an engine whose generation is not configured.
const (
	defaultPrefillTokensPerSecond = 4000
	defaultStep                   = 20 * time.Millisecond
	defaultStepPerSequence        = time.Millisecond
)

// Prefill returns the nominal time to compute a prompt part.
func (s Speed) Prefill(tokens int) time.Duration {
	rate := s.PrefillTokensPerSecond
	if rate <= 0 {
		rate = defaultPrefillTokensPerSecond
	}
	return time.Duration(float64(max(tokens, 0)) / rate * float64(time.Second))
}

// Gap returns the nominal time between tokens of one sequence in a batch.
func (s Speed) Gap(batch int) time.Duration {
	step, each := s.Step, s.StepPerSequence
	if step <= 0 {
		step, each = defaultStep, defaultStepPerSequence
	}
	return step + time.Duration(max(batch-1, 0))*each
}

// Estimate is the measured speed of a target.
type Estimate struct {
	// TokenGap is the smoothed time between tokens of one sequence.
	TokenGap time.Duration
	// PrefillTokensPerSecond is the smoothed prompt throughput.
	PrefillTokensPerSecond float64
	// Slowdown is measured time over nominal time; 1 is nominal.
	Slowdown float64
	// Baseline is the low quantile of the same ratio, which prefill of other
	// requests disturbs little.
	Baseline float64
	// Samples counts the measurements.
	Samples int
	// Updated is the time of the last measurement.
	Updated time.Time
}

// LoadReport is an engine's own, lagging account of itself.
type LoadReport struct {
	// At is the engine's time of the report.
	At time.Time
	// Running and Waiting count sequences.
	Running int
	Waiting int
	// CacheTokens is the used prefix cache in tokens.
	CacheTokens int
}

// Targets is the target table.
type Targets struct {
	rows    map[TargetID]*Target
	version uint64
}

// NewTargets returns an empty table.
func NewTargets() *Targets {
	return &Targets{rows: make(map[TargetID]*Target)}
}

// Put adds t, or replaces the row of the same ID.
func (t *Targets) Put(row *Target) {
	t.rows[row.ID] = row
	t.version++
}

// Get returns the row of id, or nil.
func (t *Targets) Get(id TargetID) *Target { return t.rows[id] }

// Delete removes the row of id.
func (t *Targets) Delete(id TargetID) {
	delete(t.rows, id)
	t.version++
}

// Version changes with every Put and Delete, so that pointers to rows may be
// kept until then.
func (t *Targets) Version() uint64 { return t.version }

// Len counts the rows.
func (t *Targets) Len() int { return len(t.rows) }

// All calls visit for every row, in no fixed order.
func (t *Targets) All(visit func(*Target)) {
	for _, r := range t.rows {
		visit(r)
	}
}

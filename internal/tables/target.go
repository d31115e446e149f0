package tables

import "time"

// Target is a row of the target table: the configuration of a target and the
// estimates and state that its dispatcher maintains.
type Target struct {
	ID         TargetID
	Address    string
	Domain     DomainID
	Generation string
	// PlainService is set for a target of plain services, which have no tokens.
	PlainService bool
	// Services is the set of services that the target may serve.
	Services map[ServiceID]bool
	// WindowMin and WindowMax are the lower and upper bounds of Window. If WindowMax
	// is not positive, a default of the scheduling system applies.
	WindowMin int
	WindowMax int
	// ChecksFencing is set if the target refuses outdated fencing numbers.
	ChecksFencing bool
	// Drained is set while an operator drains the target, and Leaving while the host
	// list marks it as leaving.
	Drained bool
	Leaving bool
	// Owned is set while this host owns the target.
	Owned bool
	// TakenOverAt is when this host last took over the target from another owner;
	// zero if it has not done so since it added this row.
	TakenOverAt time.Time
	// RampUntil is the time until which only half of the window is used after this
	// host became the owner.
	RampUntil time.Time
	// DownUntil is the time until which the target gets no new requests after a
	// refused connection, a failed request or a crash.
	DownUntil time.Time
	// LastCrash is when the dispatcher detected the latest crash; zero if there was
	// none.
	LastCrash time.Time

	// Speed is the nominal speed of the hardware generation.
	Speed Speed
	// Estimate holds the measurements of the dispatcher.
	Estimate Estimate
	// Straggler is set while the target is much slower than its nominal speed and
	// receives probe requests only. Package measure maintains it.
	Straggler bool
	// ProbeAt is when a straggler may receive its next probe request.
	ProbeAt time.Time
	// Window is the maximum number of concurrent requests at the target; zero if it
	// is not computed, as for targets of plain services.
	Window float64
	// Running is the number of running requests at the target. Package schedule
	// maintains it.
	Running int
}

// Available reports whether the target may receive new requests at now.
func (t *Target) Available(now time.Time) bool {
	return !t.Drained && !t.Leaving && !now.Before(t.DownUntil)
}

// Serves reports whether the target may serve the service of r.
func (t *Target) Serves(r *Request) bool {
	return t.Services[r.Service]
}

// Speed is the nominal performance of an engine of a hardware generation.
type Speed struct {
	// PrefillTokensPerSecond is the prompt throughput.
	PrefillTokensPerSecond float64
	// Step is the duration of a decode step at batch size one.
	Step time.Duration
	// StepPerSequence is the additional duration per further sequence in the
	// batch.
	StepPerSequence time.Duration
}

// Nominal performance of an engine whose generation is not configured.
const (
	defaultPrefillTokensPerSecond = 4000
	defaultStep                   = 20 * time.Millisecond
	defaultStepPerSequence        = time.Millisecond
)

// Prefill returns the nominal time to process the given number of prompt tokens.
func (s Speed) Prefill(tokens int) time.Duration {
	rate := s.PrefillTokensPerSecond
	if rate <= 0 {
		rate = defaultPrefillTokensPerSecond
	}
	return time.Duration(float64(max(tokens, 0)) / rate * float64(time.Second))
}

// TokenGap returns the nominal time between tokens of a sequence in a batch of the
// given size.
func (s Speed) TokenGap(batch int) time.Duration {
	step, perSequence := s.Step, s.StepPerSequence
	if step <= 0 {
		step, perSequence = defaultStep, defaultStepPerSequence
	}
	return step + time.Duration(max(batch-1, 0))*perSequence
}

// Estimate is the measured performance of a target.
type Estimate struct {
	// TokenGap is the smoothed time between tokens of a sequence.
	TokenGap time.Duration
	// PrefillTokensPerSecond is the smoothed prompt throughput.
	PrefillTokensPerSecond float64
	// Slowdown is the smoothed ratio of the measured time between tokens to the
	// nominal one; 1 is nominal, and zero means that nothing was measured.
	Slowdown float64
	// Baseline is a low quantile of the ratio of the measured time between tokens to
	// the nominal one. Prefills of other requests affect it little.
	Baseline float64
	// Samples is the number of measured times between tokens.
	Samples int
	// Updated is the time of the last measurement of the prompt throughput.
	Updated time.Time
}

// LoadReport is the load that an engine reports about itself. It lags behind the
// actual load.
type LoadReport struct {
	// At is the time of the report by the engine's clock.
	At time.Time
	// Running and Waiting are numbers of sequences.
	Running int
	Waiting int
	// CacheTokens is the used size of the prefix cache, in tokens.
	CacheTokens int
}

// Targets is the target table. It is not safe for concurrent use.
type Targets struct {
	rows    map[TargetID]*Target
	version uint64
}

// NewTargets returns an empty table.
func NewTargets() *Targets {
	return &Targets{rows: make(map[TargetID]*Target)}
}

// Put adds row, or replaces the row with the same ID.
func (t *Targets) Put(row *Target) {
	t.rows[row.ID] = row
	t.version++
}

// Get returns the row with the given ID, or nil.
func (t *Targets) Get(id TargetID) *Target { return t.rows[id] }

// Delete removes the row with the given ID, if any.
func (t *Targets) Delete(id TargetID) {
	delete(t.rows, id)
	t.version++
}

// Version returns a number that changes with every Put and Delete. Callers may
// keep pointers to rows while the number is unchanged.
func (t *Targets) Version() uint64 { return t.version }

// Len returns the number of rows.
func (t *Targets) Len() int { return len(t.rows) }

// Each passes every row to visit, in unspecified order.
func (t *Targets) Each(visit func(*Target)) {
	for _, r := range t.rows {
		visit(r)
	}
}

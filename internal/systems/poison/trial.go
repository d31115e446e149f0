package poison

import "time"

const (
	// trialDelay is how long a cause is known before one of its requests is sent again. Reports
	// of the crashes that led to it arrive within that time.
	trialDelay = time.Second
	// trialCalm is the time without a loss before a trial: a target that ends for another reason
	// would confirm a wrong cause. A trial waits no longer for it than trialPatience.
	trialCalm, trialPatience = time.Second, 10 * time.Second
	// trialTimeout is the time after which a trial counts as lost whose end is not known. Its host
	// may have ended.
	trialTimeout = 30 * time.Second
	// firstTrialBackoff is the time from a lost trial to the next one of its cause. It doubles with
	// each lost trial up to maxTrialBackoff: a real cause costs a target each time.
	firstTrialBackoff, maxTrialBackoff = time.Minute, time.Hour
)

// Trials decides when one request that holds a known cause may be sent, to find out whether
// targets crash on it. It uses no clock and is not safe for concurrent use.
type Trials struct{ byCause map[string]*trials }

// trials are those of one cause.
type trials struct {
	// running is whether the last one, granted at grantedAt, has not ended.
	running   bool
	grantedAt time.Time
	// lost is the number of trials that ended with a crash, the last one at lostAt. If a later trial
	// has said nothing, lostAt is its end.
	lost   int
	lostAt time.Time
}

// NewTrials returns Trials without entries.
func NewTrials() *Trials { return &Trials{make(map[string]*trials)} }

// Due reports whether a trial may begin for a cause that was found at a time, if the last request
// was lost at lastLoss.
func (ts *Trials) Due(now time.Time, cause string, foundAt, lastLoss time.Time) bool {
	known := now.Sub(foundAt)
	if known < trialDelay || known < trialPatience && now.Sub(lastLoss) < trialCalm {
		return false
	}
	t := ts.byCause[cause]
	switch {
	case t == nil:
		return true
	case ts.Running(now, cause):
		return false
	case t.running:
		ts.End(t.grantedAt.Add(trialTimeout), cause, true)
	}
	return t.lost == 0 || now.Sub(t.lostAt) >= t.backoff()
}

// Running reports whether a trial of a cause may be under way.
func (ts *Trials) Running(now time.Time, cause string) bool {
	t := ts.byCause[cause]
	return t != nil && t.running && now.Sub(t.grantedAt) < trialTimeout
}

func (t *trials) backoff() time.Duration {
	d := firstTrialBackoff
	for n := 1; n < t.lost && d < maxTrialBackoff; n++ {
		d = min(2*d, maxTrialBackoff)
	}
	return d
}

// Begin records a trial that was granted by any host.
func (ts *Trials) Begin(now time.Time, cause string) {
	t := ts.byCause[cause]
	if t == nil {
		t = &trials{}
		ts.byCause[cause] = t
	}
	t.running, t.grantedAt = true, now
}

// End records the end of a trial: the target was lost, or the request was not sent or said
// nothing. After a lost trial, one that said nothing makes the next one wait, too. So does a target
// that is lost after its trial has ended; it does not double the wait, since the loss may be
// reported twice.
func (ts *Trials) End(now time.Time, cause string, lost bool) {
	t := ts.byCause[cause]
	if t == nil || !t.running && !lost {
		return
	}
	if lost && t.running {
		t.lost++
	}
	if lost {
		t.lost = max(t.lost, 1)
	}
	if t.lost > 0 {
		t.lostAt = now
	}
	t.running = false
}

// Lost returns how many trials of a cause cost a target, and when the last of them ended. One whose
// end is not known counts: its host may end before it tells.
func (ts *Trials) Lost(cause string) (lost int, lostAt time.Time) {
	t := ts.byCause[cause]
	switch {
	case t == nil:
		return 0, time.Time{}
	case t.running:
		return t.lost + 1, t.grantedAt
	default:
		return t.lost, t.lostAt
	}
}

// Import records trials that were lost before this host knew of any of the cause.
func (ts *Trials) Import(cause string, lost int, lostAt time.Time) {
	if ts.byCause[cause] == nil && lost > 0 {
		ts.byCause[cause] = &trials{lost: lost, lostAt: lostAt}
	}
}

// Forget forgets a cause that is no longer known.
func (ts *Trials) Forget(cause string) { delete(ts.byCause, cause) }

package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the metrics of one run. Unless stated otherwise, they exclude the
// warm-up and everything after the last arrivals.
type Result struct {
	Profile string
	Policy  string
	Load    float64
	Seed    uint64
	// Tiers holds the results of the model requests by tier.
	Tiers []TierResult
	// Plain holds the results of the calls of plain services. Its Cancelled,
	// FirstTokenP95 and TokenGapP95 are those of the model requests of tier 0.
	Plain TierResult
	// PrefillTokens is the number of computed prompt tokens.
	PrefillTokens int
	// WastedPrefill is the number of prompt tokens that were computed for requests
	// that did not complete, or although another engine had them cached.
	WastedPrefill int
	// Utilization is the engine time that the completed model requests need in
	// full batches, as a share of the available time of all model engines.
	Utilization float64
	// Inversions counts the inversions of the whole run; see trace.
	Inversions int
	// StragglerStartShare refers to the model requests that were started after the
	// straggler became slow. It is the share of them that were started on the straggler.
	StragglerStartShare float64
}

// TierResult holds the metrics of one tier. A retried request counts once, with the
// ending of its last attempt.
type TierResult struct {
	Tier      int
	Offered   int
	Completed int
	// Shed counts the requests that the policy refused.
	Shed int
	// Cancelled counts the attempts that the policy stopped at their engine.
	Cancelled int
	// Expired counts the requests that reached their deadline and whose first
	// attempt was not sent to an engine.
	Expired int
	// Late counts the requests that reached their deadline and whose first attempt
	// was sent to an engine.
	Late int
	// Failed counts the requests that ended because an engine was down or crashed, or
	// because the host of their gate crashed.
	Failed int
	// Overtaken counts the requests whose first attempt had waited for longer than
	// overtakenWait when a request of a lower tier (a higher number) was sent to an
	// engine that serves the service of the waiting request.
	Overtaken int
	// MinCustomerGoodput is the lowest goodput of a customer.
	MinCustomerGoodput float64
	// FirstTokenP95 is the 95th percentile of the time from the arrival of the first
	// attempt to the first token, over the requests of the tier that
	// completed in the whole run.
	FirstTokenP95 time.Duration
	// TokenGapP95 is the 95th percentile of the time between two tokens of a
	// request, over all requests of the tier in the whole run.
	TokenGapP95 time.Duration
}

// Goodput is the share of the offered requests that completed. It is 1 if none were
// offered. A request that reaches its deadline does not complete.
func (t TierResult) Goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Completed) / float64(t.Offered)
}

// FailedShare is the share of the offered requests that are counted in Failed. It is 0
// if none were offered.
func (t TierResult) FailedShare() float64 { return float64(t.Failed) / float64(max(t.Offered, 1)) }

// WastedShare is the wasted share of all prefill tokens.
func (r Result) WastedShare() float64 {
	return float64(r.WastedPrefill) / float64(max(r.PrefillTokens, 1))
}

// score collects the metrics of one run.
type score struct {
	sim   *sim
	trace *trace
	tiers [3]tierScore
	// endings holds the ending of each request by its first attempt.
	endings       map[*job]ending
	prefillTokens int
	wastedPrefill int
	usefulTime    time.Duration
}

type tierScore struct {
	firstToken, tokenGap *hdrhistogram.Histogram
	cancelled            int
}

func newScore(s *sim) *score {
	c := &score{sim: s, trace: newTrace(s), endings: make(map[*job]ending)}
	for i := range c.tiers {
		c.tiers[i].firstToken = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 2)
		c.tiers[i].tokenGap = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	return c
}

// inMeasuredPeriod reports whether at is after the warm-up and before the end of the
// arrivals.
func (c *score) inMeasuredPeriod(at time.Duration) bool { return at >= warmUp && at < c.sim.length }

// recordArrival records the arrival of j. Until it ends, a request counts as expired.
func (c *score) recordArrival(j *job) {
	c.trace.waiting[j] = true
	if j.original == nil {
		c.endings[j] = endExpired
	}
}

func (c *score) recordPrefill(_ *job, tokens int) {
	if c.inMeasuredPeriod(c.sim.now) {
		c.prefillTokens += tokens
	}
}

func (c *score) recordTokenGap(j *job, d time.Duration) {
	_ = c.tiers[j.tier].tokenGap.RecordValue(d.Microseconds())
}

// recordEnd records how j ended. It replaces the ending of an earlier attempt of the same
// request.
func (c *score) recordEnd(j *job, how ending) {
	c.trace.end(j, how)
	c.endings[j.firstAttempt()] = how
	if how == endCancelled && !j.class.plain && c.inMeasuredPeriod(j.arrivedAt) {
		c.tiers[j.tier].cancelled++
	}
	if how == endCompleted && !j.class.plain {
		_ = c.tiers[j.tier].firstToken.RecordValue((j.firstTokenAt - j.firstAttempt().arrivedAt).Microseconds())
	}
	if !c.inMeasuredPeriod(c.sim.now) {
		return
	}
	if how != endCompleted {
		c.wastedPrefill += j.prefilledTokens
		return
	}
	c.wastedPrefill += min(j.cachedElsewhere, j.prefilledTokens)
	if !j.class.plain {
		c.usefulTime += engineTime(j.engine.spec, j.promptTokens-j.cachedTokens, j.outputLength)
	}
}

// availableTime is the total time of all model engines in the measured period, less
// the time lost to the slowdown of the straggler and to the engine crash.
func (c *score) availableTime() time.Duration {
	s := c.sim
	var sum time.Duration
	for _, e := range s.engines {
		if !e.spec.plain {
			sum += s.length - warmUp
		}
	}
	slowTime := s.length - s.fractionOfRun(stragglerAt)
	return sum - slowTime*(stragglerSlowdown-1)/stragglerSlowdown - engineRestartTime
}

func (c *score) result(profile, policy string, load float64, seed uint64) Result {
	r := Result{Profile: profile, Policy: policy, Load: load, Seed: seed, PrefillTokens: c.prefillTokens, WastedPrefill: c.wastedPrefill,
		Utilization: float64(c.usefulTime) / float64(c.availableTime()), Inversions: c.trace.inversions,
		StragglerStartShare: float64(c.trace.stragglerStarts) / float64(max(c.trace.starts, 1))}
	for tier := range c.tiers {
		r.Tiers = append(r.Tiers, c.tierResult(tier, func(j *job) bool { return j.tier == tier && !j.class.plain }))
	}
	r.Plain = c.tierResult(0, func(j *job) bool { return j.class.plain })
	return r
}

// tierResult returns the result of the requests for which member returns true.
// Cancelled, FirstTokenP95 and TokenGapP95 are those of the model requests of tier.
func (c *score) tierResult(tier int, member func(*job) bool) TierResult {
	t := TierResult{Tier: tier, Cancelled: c.tiers[tier].cancelled}
	t.FirstTokenP95 = time.Duration(c.tiers[tier].firstToken.ValueAtQuantile(95)) * time.Microsecond
	t.TokenGapP95 = time.Duration(c.tiers[tier].tokenGap.ValueAtQuantile(95)) * time.Microsecond
	var byCustomer [customers]TierResult
	for j, how := range c.endings {
		if !member(j) || !c.inMeasuredPeriod(j.arrivedAt) {
			continue
		}
		t.Offered++
		byCustomer[j.customer].Offered++
		if j.overtaken {
			t.Overtaken++
		}
		switch how {
		case endCompleted:
			t.Completed++
			byCustomer[j.customer].Completed++
		case endShed:
			t.Shed++
		case endExpired:
			if j.engine == nil {
				t.Expired++
			} else {
				t.Late++
			}
		case endFailed, endHostCrashed:
			t.Failed++
		case endCancelled:
		}
	}
	t.MinCustomerGoodput = 1
	for _, customer := range byCustomer {
		t.MinCustomerGoodput = min(t.MinCustomerGoodput, customer.Goodput())
	}
	return t
}

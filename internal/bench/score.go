package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of one run.
type Result struct {
	Profile string
	Policy  string
	Load    float64
	Seed    uint64
	// Tiers are the model requests by tier; Plain are the calls of plain
	// services.
	Tiers []TierResult
	Plain TierResult
	// PrefillTokens were computed in all, WastedPrefill of them for answers
	// that were not whole in time or for prefixes that another engine held.
	PrefillTokens int
	WastedPrefill int
	// Work is the time of full batches that went into answers whole in time,
	// as a share of the time of all model engines.
	Work       float64
	Inversions int
	// StragglerStarts is the share of the starts since one engine became slow
	// that went to it.
	StragglerStarts float64
}

// TierResult is the outcome of one tier.
type TierResult struct {
	Tier      int
	Offered   int
	Good      int
	Shed      int
	Cancelled int
	// Expired had not started by their deadline, Late had.
	Expired int
	Late    int
	Failed  int
	// Overtaken waited for more than a second while a lower tier started on a
	// target that fits them.
	Overtaken int
	// LeastCustomer is the lowest goodput of a customer.
	LeastCustomer float64
	// FirstTokenP95 and GapP95 are of answers whole in time.
	FirstTokenP95 time.Duration
	GapP95        time.Duration
}

// Goodput is the share of the offered requests whose answer came whole and in
// time.
func (t TierResult) Goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

// Lost is the share of the offered requests that a crash of an engine or host
// ended.
func (t TierResult) Lost() float64 { return float64(t.Failed) / float64(max(t.Offered, 1)) }

// WastedShare is the wasted share of all prefill tokens.
func (r Result) WastedShare() float64 {
	return float64(r.WastedPrefill) / float64(max(r.PrefillTokens, 1))
}

// score collects the figures of one run.
type score struct {
	sim     *sim
	trace   *trace
	tiers   [3]tierScore
	outcome map[*job]ending
	prefill int
	wasted  int
	work    time.Duration
}

type tierScore struct {
	first, gaps *hdrhistogram.Histogram
	cancelled   int
}

func newScore(s *sim) *score {
	c := &score{sim: s, trace: newTrace(s), outcome: make(map[*job]ending)}
	for i := range c.tiers {
		c.tiers[i].first = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 2)
		c.tiers[i].gaps = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	return c
}

func (c *score) counted(at time.Duration) bool { return at >= warmUp && at < c.sim.length }

func (c *score) offered(j *job) {
	c.trace.waiting[j] = true
	if j.original == nil {
		c.outcome[j] = endExpired
	}
}

func (c *score) prefilled(_ *job, tokens int) {
	if c.counted(c.sim.now) {
		c.prefill += tokens
	}
}

func (c *score) gap(j *job, d time.Duration) {
	_ = c.tiers[j.tier].gaps.RecordValue(d.Microseconds())
}

func (c *score) ended(j *job, how ending) {
	c.trace.ended(j, how)
	c.outcome[j.root()] = how
	if how == endCancelled && !j.class.plain && c.counted(j.arrived) {
		c.tiers[j.tier].cancelled++
	}
	if how == endWhole && !j.class.plain {
		_ = c.tiers[j.tier].first.RecordValue((j.first - j.root().arrived).Microseconds())
	}
	if !c.counted(c.sim.now) {
		return
	}
	if how != endWhole {
		c.wasted += j.computed
		return
	}
	c.wasted += min(j.recomputed, j.computed)
	if !j.class.plain {
		c.work += engineTime(j.at.spec, j.prompt-j.cached, j.out)
	}
}

// available is the time of all model engines in the counted part of the run,
// less the straggler's loss and the crash.
func (c *score) available() time.Duration {
	s := c.sim
	var sum time.Duration
	for _, e := range s.engines {
		if !e.spec.plain {
			sum += s.length - warmUp
		}
	}
	lost := s.length - s.share(stragglerAt)
	return sum - lost*(stragglerSlow-1)/stragglerSlow - engineRestart
}

func (c *score) result(profile, policy string, load float64, seed uint64) Result {
	r := Result{Profile: profile, Policy: policy, Load: load, Seed: seed, PrefillTokens: c.prefill, WastedPrefill: c.wasted,
		Work: float64(c.work) / float64(c.available()), Inversions: c.trace.inversions,
		StragglerStarts: float64(c.trace.slowStarts) / float64(max(c.trace.starts, 1))}
	for tier := range c.tiers {
		r.Tiers = append(r.Tiers, c.tier(tier, func(j *job) bool { return j.tier == tier && !j.class.plain }))
	}
	r.Plain = c.tier(0, func(j *job) bool { return j.class.plain })
	return r
}

func (c *score) tier(tier int, member func(*job) bool) TierResult {
	t := TierResult{Tier: tier, Cancelled: c.tiers[tier].cancelled}
	t.FirstTokenP95 = time.Duration(c.tiers[tier].first.ValueAtQuantile(95)) * time.Microsecond
	t.GapP95 = time.Duration(c.tiers[tier].gaps.ValueAtQuantile(95)) * time.Microsecond
	var byCustomer [customers]TierResult
	for j, how := range c.outcome {
		if !member(j) || !c.counted(j.arrived) {
			continue
		}
		t.Offered++
		byCustomer[j.customer].Offered++
		if j.overtaken {
			t.Overtaken++
		}
		switch how {
		case endWhole:
			t.Good++
			byCustomer[j.customer].Good++
		case endShed:
			t.Shed++
		case endExpired:
			if j.at == nil {
				t.Expired++
			} else {
				t.Late++
			}
		case endFailed, endLost:
			t.Failed++
		case endCancelled:
		}
	}
	t.LeastCustomer = 1
	for _, one := range byCustomer {
		t.LeastCustomer = min(t.LeastCustomer, one.Goodput())
	}
	return t
}

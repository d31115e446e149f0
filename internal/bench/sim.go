// Package bench measures scheduling policies in virtual time. The policies of
// bluebellseam run the production scheduling code. Engines, hosts and the network are
// simulated: messages have a fixed delay, hosts have views of different ages, and
// model engines use continuous batching.
package bench

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// networkDelay is the delay of a message between hosts or to an engine.
	networkDelay = 500 * time.Microsecond
	// warmUp is the period at the start of a run that most metrics exclude.
	warmUp = 15 * time.Second
)

// epoch is the wall-clock time at which the virtual time is zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one attempt of a request. Times are virtual.
type job struct {
	class    class
	id       tables.RequestID
	tier     int
	customer int
	// gate is the index of the host whose gate received the job.
	gate         int
	arrivedAt    time.Duration
	deadline     time.Duration
	promptTokens int
	// outputLength is the number of tokens that an engine emits for the job.
	outputLength int
	prefixHashes []uint64
	// original is the first attempt if this job is a retry, or nil.
	original *job

	// engine is the engine that the job was sent to, or nil.
	engine *engine
	// prefilledTokens is the number of prompt tokens computed for the job.
	prefilledTokens int
	// cachedTokens is the number of prompt tokens reused from the engine's cache.
	cachedTokens int
	// outputTokens is the number of tokens emitted so far.
	outputTokens int
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	// cachedElsewhere is the number of prompt tokens beyond cachedTokens that an
	// engine that serves the job had cached when the prefill began.
	cachedElsewhere int
	// overtaken is set if a job of a lower tier was sent to an engine that serves this
	// job after this job had waited for longer than overtakenWait.
	overtaken bool
	ended     bool

	// The fields below are used by bluebellPolicy.

	// owner is the index of the host whose dispatcher last queued or adopted the job;
	// 0 before that.
	owner int
	// choices holds the owners that the gate has not tried yet.
	choices []route.Choice
	// incomplete is set if an owner in the original choices was down or accepted
	// none of its targets.
	incomplete bool
	// routedAt is when choices was computed.
	routedAt time.Duration
	// prefixLookedUp is set in the first attempt once sharedPrefix and
	// sharedTokens are.
	prefixLookedUp bool
	// sharedPrefix and sharedTokens are the hash and the length in tokens of the
	// prompt prefix that an earlier request of the gate also had. They are zero if
	// there is none.
	sharedPrefix uint64
	sharedTokens int
}

// ending is the way in which a job ended.
type ending int

const (
	// endCompleted means that all output tokens arrived before the deadline.
	endCompleted ending = iota
	// endFailed means that the engine crashed or was down.
	endFailed
	// endCancelled means that the dispatcher stopped the job at its engine.
	endCancelled
	// endShed means that the gate refused the job.
	endShed
	// endExpired means that the deadline passed before the job completed.
	endExpired
	// endHostCrashed means that the host of the gate crashed.
	endHostCrashed
)

// policy assigns jobs to engines.
type policy interface {
	// arrive is called when a job reaches its gate.
	arrive(s *sim, j *job)
	// token is called for each token that an engine emits.
	token(s *sim, j *job)
	// ended is called once for each job, whether it was sent to an engine or not.
	ended(s *sim, j *job, how ending)
	// hostDown and engineDown are called when a host or an engine crashes.
	hostDown(s *sim, host int)
	engineDown(s *sim, e *engine)
}

// sim is the state of one run.
type sim struct {
	now       time.Duration
	events    eventHeap
	nextOrder int
	seed      uint64
	length    time.Duration
	profile   profile
	engines   []*engine
	policy    policy
	score     *score
	jobs      []*job
	down      [hosts]bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)   { *h = append(*h, v.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *sim) scheduleAt(t time.Duration, do func()) {
	s.nextOrder++
	heap.Push(&s.events, event{at: t, order: s.nextOrder, run: do})
}

func (s *sim) scheduleAfter(d time.Duration, do func()) { s.scheduleAt(s.now+d, do) }

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// Run simulates one policy on one profile. Load is the offered load relative to the
// capacity of the engines. Requests arrive for length in virtual time; the run ends
// after twice length at the latest. The result depends only on the arguments.
func Run(profileName, policyName string, load float64, seed uint64, length time.Duration) (Result, error) {
	p, ok := profiles[profileName]
	if !ok {
		return Result{}, fmt.Errorf("profile %q does not exist", profileName)
	}
	s := &sim{seed: seed, length: length, profile: p}
	for i, sp := range p.engines {
		s.engines = append(s.engines, newEngine(tables.TargetID(fmt.Sprintf("t%02d", i)), sp))
	}
	s.score = newScore(s)
	s.policy, ok = newPolicy(s, policyName)
	if !ok {
		return Result{}, fmt.Errorf("policy %q does not exist", policyName)
	}
	s.scheduleFaults()
	s.scheduleArrivals(load)
	for len(s.events) > 0 && s.now < 2*length {
		s.runNextEvent()
	}
	return s.score.result(profileName, policyName, load, seed), nil
}

// runNextEvent advances the virtual time to the earliest event and runs it.
func (s *sim) runNextEvent() {
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	e.run()
}

// scheduleEvery calls the function do at the virtual time first and every period after
// that, until the virtual time reaches twice the length of the run.
func (s *sim) scheduleEvery(first, period time.Duration, do func()) {
	s.scheduleAt(first, func() {
		if s.now < 2*s.length {
			do()
			s.scheduleEvery(s.now+period, period, do)
		}
	})
}

// Faults of each run. The values whose names end in At are fractions of the run length.
const (
	stragglerAt       = 0.3
	stragglerSlowdown = 3
	engineCrashAt     = 0.5
	hostCrashAt       = 0.7
	engineRestartTime = 8 * time.Second
)

func (s *sim) fractionOfRun(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.length))
}

// scheduleFaults schedules the slowdown of one engine, the crash and restart of
// another, and the crash of a host, which does not restart.
func (s *sim) scheduleFaults() {
	straggler, crashing := s.engines[3], s.engines[4]
	s.scheduleAt(s.fractionOfRun(stragglerAt), func() { straggler.slowdown = stragglerSlowdown })
	s.scheduleAt(s.fractionOfRun(engineCrashAt), func() {
		crashing.crash(s)
		s.policy.engineDown(s, crashing)
		s.scheduleAfter(engineRestartTime, func() { crashing.down = false })
	})
	s.scheduleAt(s.fractionOfRun(hostCrashAt), func() {
		s.down[0] = true
		s.policy.hostDown(s, 0)
	})
}

// arrive delivers a job to a gate and schedules its expiry at its deadline. If the host
// of the gate is down, the next live host receives the job, as behind a load balancer.
func (s *sim) arrive(j *job) {
	for s.down[j.gate] {
		j.gate = (j.gate + 1) % hosts
	}
	s.jobs = append(s.jobs, j)
	s.score.recordArrival(j)
	s.scheduleAt(j.deadline, func() {
		if !j.ended {
			s.finish(j, endExpired)
		}
	})
	s.policy.arrive(s, j)
}

// beginPrefill determines how much of the prompt of a sequence is cached. At least one
// prompt token is always computed.
func (s *sim) beginPrefill(e *engine, q *sequence) {
	j := q.job
	j.cachedTokens = min(e.cachedTokens(j), max(j.promptTokens-1, 0))
	q.prefillLeft = j.promptTokens - j.cachedTokens
	for _, o := range s.engines {
		if o.serves(j.class.service) && !o.down {
			j.cachedElsewhere = max(j.cachedElsewhere, min(o.cachedTokens(j), j.promptTokens)-j.cachedTokens)
		}
	}
}

// emitToken records that the engine emitted one token of j.
func (s *sim) emitToken(j *job) {
	if j.outputTokens == 0 {
		j.firstTokenAt = s.now
	} else {
		s.score.recordTokenGap(j, s.now-j.lastTokenAt)
	}
	j.outputTokens++
	j.lastTokenAt = s.now
	s.policy.token(s, j)
}

// start sends a job to an engine, which receives it after networkDelay.
func (s *sim) start(j *job, e *engine) {
	s.score.trace.start(j, e.id)
	j.engine = e
	s.scheduleAfter(networkDelay, func() {
		if !j.ended {
			e.admit(s, j)
		}
	})
}

// finish ends a job and removes it from its engine. It has no effect on a job that has
// ended. A job of retryingCustomer that was shed is retried.
func (s *sim) finish(j *job, how ending) {
	if j.ended {
		return
	}
	j.ended = true
	if j.engine != nil {
		j.engine.cancel(j)
	}
	s.score.recordEnd(j, how)
	s.policy.ended(s, j, how)
	if how == endShed && j.customer == retryingCustomer {
		s.retry(j)
	}
}

// retryDelay is the time from a refusal to the retry.
const retryDelay = 2 * time.Second

// retry schedules a shed job to arrive again at another gate as a new job with its own
// deadline. It does not retry after the deadline of the first attempt or after the end
// of the arrivals.
func (s *sim) retry(j *job) {
	at := s.now + retryDelay
	if at >= j.firstAttempt().deadline || at >= s.length {
		return
	}
	again := &job{class: j.class, tier: j.tier, customer: j.customer, gate: (j.gate + 1) % hosts,
		arrivedAt: at, deadline: at + j.class.deadline, promptTokens: j.promptTokens, outputLength: j.outputLength, prefixHashes: j.prefixHashes, original: j.firstAttempt()}
	again.id = j.id + "+"
	s.scheduleAt(at, func() { s.arrive(again) })
}

// firstAttempt returns the first attempt of the request, which may be j itself.
func (j *job) firstAttempt() *job {
	if j.original != nil {
		return j.original
	}
	return j
}

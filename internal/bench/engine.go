package bench

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// prefillChunkTokens is the maximum number of prompt tokens that one step computes.
const prefillChunkTokens = 1024

// engine simulates a model engine with continuous batching. Each step computes up to
// prefillChunkTokens prompt tokens and one output token of every running sequence whose
// prompt is computed. The time of a step grows with the prompt tokens and with
// the number of running sequences.
type engine struct {
	id      tables.TargetID
	spec    engineSpec
	waiting []*sequence
	running []*sequence
	cache   *simplelru.LRU[uint64, struct{}]
	// evicted holds the blocks evicted from the cache since the last cache event.
	evicted []uint64
	// slowdown is the factor on the time of each step; 2 is twice as long.
	slowdown float64
	// incarnation counts the crashes. Steps that began in an earlier incarnation have
	// no effect.
	incarnation int
	down        bool
	inStep      bool
}

// engineSpec describes the hardware of an engine and the services it offers.
type engineSpec struct {
	speed tables.Speed
	// window is the maximum number of running sequences.
	window      int
	cacheTokens int
	plain       bool
	services    []tables.ServiceID
	domain      tables.DomainID
	generation  string
}

// sequence is a request that waits or runs at an engine.
type sequence struct {
	job *job
	// prefillLeft is the number of prompt tokens still to compute.
	prefillLeft  int
	outputTokens int
}

func newEngine(id tables.TargetID, s engineSpec) *engine {
	e := &engine{id: id, spec: s, slowdown: 1}
	e.reset()
	return e
}

// reset removes all sequences and empties the cache.
func (e *engine) reset() {
	e.waiting, e.running, e.inStep = nil, nil, false
	e.cache, _ = simplelru.NewLRU[uint64, struct{}](max(e.spec.cacheTokens/prefix.BlockTokens, 1),
		func(block uint64, _ struct{}) { e.evicted = append(e.evicted, block) })
}

func (e *engine) serves(s tables.ServiceID) bool {
	for _, o := range e.spec.services {
		if o == s {
			return true
		}
	}
	return false
}

// cachedTokens returns the length in tokens of the longest cached prefix of the prompt
// of j.
func (e *engine) cachedTokens(j *job) int {
	low, high := 0, len(j.prefixHashes)
	for low < high {
		mid := (low + high + 1) / 2
		if e.cache.Contains(j.prefixHashes[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low * prefix.BlockTokens
}

// cachePrompt adds the prompt blocks of j to the cache. The first block is added last, so
// that it is evicted after the others.
func (e *engine) cachePrompt(j *job) {
	for i := len(j.prefixHashes) - 1; i >= 0; i-- {
		e.cache.Add(j.prefixHashes[i], struct{}{})
	}
}

// admit queues j until the batch has room. If e is down, j fails at once.
func (e *engine) admit(s *sim, j *job) {
	if e.down {
		s.finish(j, endFailed)
		return
	}
	j.engine = e
	e.waiting = append(e.waiting, &sequence{job: j})
	if !e.inStep {
		e.startStep(s)
	}
}

// cancel removes j and reports whether it was waiting or running.
func (e *engine) cancel(j *job) bool {
	for _, list := range []*[]*sequence{&e.waiting, &e.running} {
		for i, q := range *list {
			if q.job == j {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return true
			}
		}
	}
	return false
}

// startStep moves waiting sequences into the batch and starts the next step unless the
// batch is empty.
func (e *engine) startStep(s *sim) {
	for len(e.waiting) > 0 && len(e.running) < e.spec.window {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.beginPrefill(e, q)
		e.running = append(e.running, q)
	}
	e.inStep = len(e.running) > 0
	if !e.inStep {
		return
	}
	duration := e.spec.speed.TokenGap(len(e.running))
	duration += e.spec.speed.Prefill(e.computePrefill(s))
	incarnation := e.incarnation
	s.scheduleAfter(time.Duration(float64(duration)*e.slowdown), func() {
		if e.incarnation == incarnation {
			e.finishStep(s)
			e.startStep(s)
		}
	})
}

// computePrefill computes the prompt tokens of the next step and returns their number.
func (e *engine) computePrefill(s *sim) int {
	remaining := prefillChunkTokens
	for _, q := range e.running {
		n := min(q.prefillLeft, remaining)
		if n == 0 {
			continue
		}
		q.prefillLeft -= n
		remaining -= n
		q.job.prefilledTokens += n
		s.score.recordPrefill(q.job, n)
		if q.prefillLeft == 0 {
			e.cachePrompt(q.job)
		}
	}
	return prefillChunkTokens - remaining
}

// finishStep emits one token of every sequence whose prompt is computed and completes
// the sequences that have emitted all their tokens.
func (e *engine) finishStep(s *sim) {
	batch := e.running
	e.running = make([]*sequence, 0, len(batch))
	var done []*job
	for _, q := range batch {
		if q.prefillLeft == 0 {
			q.outputTokens++
			s.emitToken(q.job)
			if q.outputTokens >= q.job.outputLength {
				done = append(done, q.job)
				continue
			}
		}
		e.running = append(e.running, q)
	}
	for _, j := range done {
		s.finish(j, endCompleted)
	}
}

// crash takes the engine down. Its sequences fail and its cache is lost.
func (e *engine) crash(s *sim) {
	failed := append(e.running, e.waiting...)
	e.reset()
	e.incarnation++
	e.down = true
	for _, q := range failed {
		s.finish(q.job, endFailed)
	}
}

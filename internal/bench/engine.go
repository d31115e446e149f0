package bench

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// prefillChunk is the prompt part that one step computes, in tokens.
const prefillChunk = 1024

// engine models continuous batching: each step computes one chunk of prompts
// and one token of every sequence whose prompt is done, and takes longer the
// more there is of both.
type engine struct {
	id      tables.TargetID
	spec    spec
	waiting []*sequence
	running []*sequence
	cache   *simplelru.LRU[uint64, struct{}]
	// evicted are the blocks dropped since the last cache event.
	evicted []uint64
	// slow multiplies every step; epoch changes with every crash.
	slow     float64
	epoch    int
	down     bool
	stepping bool
}

// spec is the hardware of an engine.
type spec struct {
	speed       tables.Speed
	window      int
	cacheTokens int
	plain       bool
	services    []tables.ServiceID
	domain      tables.DomainID
	generation  string
}

// sequence is one request at an engine.
type sequence struct {
	job *job
	// prefill is the prompt part still to compute, in tokens.
	prefill int
	emitted int
}

func newEngine(id tables.TargetID, s spec) *engine {
	e := &engine{id: id, spec: s, slow: 1}
	e.reset()
	return e
}

func (e *engine) reset() {
	e.waiting, e.running, e.stepping = nil, nil, false
	e.cache, _ = simplelru.NewLRU[uint64, struct{}](max(e.spec.cacheTokens/prefix.BlockTokens, 1),
		func(block uint64, _ struct{}) { e.evicted = append(e.evicted, block) })
}

func (e *engine) fits(s tables.ServiceID) bool {
	for _, o := range e.spec.services {
		if o == s {
			return true
		}
	}
	return false
}

// cached returns the length of the prompt of j that e holds, in tokens.
func (e *engine) cached(j *job) int {
	low, high := 0, len(j.chain)
	for low < high {
		mid := (low + high + 1) / 2
		if e.cache.Contains(j.chain[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low * prefix.BlockTokens
}

// touch puts the blocks of j into the cache, the head last.
func (e *engine) touch(j *job) {
	for i := len(j.chain) - 1; i >= 0; i-- {
		e.cache.Add(j.chain[i], struct{}{})
	}
}

// admit takes j in; e batches it when there is room.
func (e *engine) admit(s *sim, j *job) {
	if e.down {
		s.finish(j, endFailed)
		return
	}
	j.at = e
	e.waiting = append(e.waiting, &sequence{job: j})
	if !e.stepping {
		e.step(s)
	}
}

// cancel removes j and reports whether it was there.
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

// step begins the next step, or stops when there is nothing to do.
func (e *engine) step(s *sim) {
	for len(e.waiting) > 0 && len(e.running) < e.spec.window {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.prefill(e, q)
		e.running = append(e.running, q)
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	took := e.spec.speed.TokenGap(len(e.running))
	took += e.spec.speed.Prefill(e.prefillChunk(s))
	epoch := e.epoch
	s.after(time.Duration(float64(took)*e.slow), func() {
		if e.epoch == epoch {
			e.emit(s)
			e.step(s)
		}
	})
}

// prefillChunk takes the prompt part of the next step off the sequences.
func (e *engine) prefillChunk(s *sim) int {
	left := prefillChunk
	for _, q := range e.running {
		n := min(q.prefill, left)
		if n == 0 {
			continue
		}
		q.prefill -= n
		left -= n
		q.job.computed += n
		s.score.prefilled(q.job, n)
		if q.prefill == 0 {
			e.touch(q.job)
		}
	}
	return prefillChunk - left
}

// emit ends a step: every sequence with a computed prompt gets one token.
func (e *engine) emit(s *sim) {
	batch := e.running
	e.running = make([]*sequence, 0, len(batch))
	var done []*job
	for _, q := range batch {
		if q.prefill == 0 {
			q.emitted++
			s.token(q.job)
			if q.emitted >= q.job.out {
				done = append(done, q.job)
				continue
			}
		}
		e.running = append(e.running, q)
	}
	for _, j := range done {
		s.finish(j, endWhole)
	}
}

// crash loses all sequences and the cache.
func (e *engine) crash(s *sim) {
	lost := append(e.running, e.waiting...)
	e.reset()
	e.epoch++
	e.down = true
	for _, q := range lost {
		s.finish(q.job, endFailed)
	}
}

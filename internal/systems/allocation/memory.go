package allocation

import (
	"math"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// memoryDeviations is the number of standard deviations above the mean that a normally
	// distributed sum exceeds once in a thousand times.
	memoryDeviations = 3.09
	// overMemoryTime is how long a target counts as over its memory after the last time that
	// its requests exceeded it. A host notices a lost connection within 0.4 s and reports it
	// with its next message, at the latest a second later.
	overMemoryTime = 1500 * time.Millisecond
)

// TokenCounts is what the caller of a request states of its tokens.
type TokenCounts struct {
	Prompt int
	// MaxOutput is the largest number of output tokens; zero if not stated.
	MaxOutput int
	// Hint is how many output tokens the caller expects; zero if not stated.
	Hint int
}

// known reports whether anything is stated. Hosts of the build before state nothing.
func (c TokenCounts) known() bool { return c != TokenCounts{} }

// Memory is the memory of each target of a service.
type Memory struct {
	// Tokens is the number of tokens that the requests at a target may have together; zero
	// means no limit.
	Tokens int
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
}

// demand is the tokens of one request or the sum over several: the prompts and the moments
// of the predicted output. most is the largest sum possible.
type demand struct {
	prompt, mean, variance, third, most float64
}

func (d demand) plus(o demand) demand {
	return demand{d.prompt + o.prompt, d.mean + o.mean, d.variance + o.variance, d.third + o.third, d.most + o.most}
}

func (d demand) minus(o demand) demand {
	return demand{d.prompt - o.prompt, d.mean - o.mean, d.variance - o.variance, d.third - o.third, d.most - o.most}
}

// reserved returns the tokens that the sum exceeds at most once in a thousand times. The
// normal quantile is corrected for the skewness of the sum (the first term of the
// Cornish-Fisher expansion): outputs are few and have a long tail.
func (d demand) reserved() float64 {
	if d.variance <= 0 {
		return d.prompt + min(d.mean, d.most)
	}
	deviation := math.Sqrt(d.variance)
	skewness := max(d.third/(d.variance*deviation), 0)
	deviations := memoryDeviations + (memoryDeviations*memoryDeviations-1)/6*skewness
	return d.prompt + min(d.mean+deviations*deviation, d.most)
}

// targetMemory is the use of the memory of a target.
type targetMemory struct {
	held demand
	// overAt is when the requests at the target last exceeded its memory.
	overAt time.Time
}

// SetMemory sets the memory of the targets of each service. Services that it lacks have no
// limit.
func (sched *Scheduler) SetMemory(memory map[tables.ServiceID]Memory) {
	for id, s := range sched.services {
		s.memory = memory[id]
	}
	for id, m := range memory {
		sched.service(id).memory = m
	}
}

// demandOf returns what a request needs of the memory of a target. A request of unknown
// size counts as the share of a slot.
func (s *service) demandOf(c TokenCounts, slots int) demand {
	if s.memory.Tokens <= 0 {
		return demand{}
	}
	if !c.known() {
		share := float64(s.memory.Tokens) / float64(max(slots, 1))
		return demand{prompt: share}
	}
	d := s.output.predict(c, float64(s.memory.Tokens))
	d.prompt = float64(c.Prompt)
	return d
}

// fitsMemory reports whether a request may be added to those at a target. One that exceeds
// the memory by itself fits an empty target, which rejects it.
func (s *service) fitsMemory(t *target, r *SlotRequest) bool {
	if s.memory.Tokens <= 0 || t.inUse == 0 {
		return true
	}
	return t.memory.held.plus(s.demandOf(r.Tokens, t.Slots)).reserved() <= float64(s.memory.Tokens)
}

// takeMemory adds a grant to the memory of its target.
func (s *service) takeMemory(now time.Time, g *grant) {
	if s.memory.Tokens <= 0 {
		return
	}
	g.demand = s.demandOf(g.request.Tokens, g.target.Slots)
	m := &g.target.memory
	m.held = m.held.plus(g.demand)
	s.checkMemory(now, g.target)
}

// freeMemory removes a grant from the memory of its target, after its slot was freed.
func (s *service) freeMemory(now time.Time, g *grant) {
	m := &g.target.memory
	m.held = m.held.minus(g.demand)
	if g.target.inUse <= 0 {
		m.held = demand{}
	}
	s.checkMemory(now, g.target)
}

// checkMemory records that the requests at a target exceed its memory.
func (s *service) checkMemory(now time.Time, t *target) {
	if s.memory.Tokens > 0 && t.memory.held.reserved() > float64(s.memory.Tokens) {
		t.memory.overAt = now
	}
}

// overMemory reports whether a crash of the target is likely to be due to its memory: its
// requests exceed it, or did shortly before.
func (t *target) overMemory(now time.Time) bool {
	return !t.memory.overAt.IsZero() && now.Sub(t.memory.overAt) < overMemoryTime
}

// OverMemory reports whether the requests at a target exceed its memory or did shortly
// before.
func (sched *Scheduler) OverMemory(now time.Time, service tables.ServiceID, id tables.TargetID) bool {
	s := sched.services[service]
	if s == nil || s.targets[id] == nil {
		return false
	}
	s.checkMemory(now, s.targets[id])
	return s.targets[id].overMemory(now)
}

// ExcusedLoss is a lost connection that does not count for a target, since it was over its
// memory.
type ExcusedLoss struct {
	Target tables.TargetID
	// Host is the host whose request lost its connection.
	Host tables.HostID
	// Tokens is what the target's requests held, Memory what it has.
	Tokens float64
	Memory int
	// OverAgo is how long ago Tokens last exceeded Memory.
	OverAgo time.Duration
}

// excuseLoss returns the outcome that counts for a target: a lost connection while it is
// over its memory says nothing about it.
func (sched *Scheduler) excuseLoss(now time.Time, s *service, g *grant, outcome Outcome) Outcome {
	t := g.target
	s.checkMemory(now, t)
	if outcome != ConnectionLost || !t.overMemory(now) {
		return outcome
	}
	if sched.OnExcusedLoss != nil {
		sched.OnExcusedLoss(ExcusedLoss{
			Target: t.ID, Host: g.sentBy(), Tokens: t.memory.held.reserved(), Memory: s.memory.Tokens, OverAgo: now.Sub(t.memory.overAt),
		})
	}
	return Abandoned
}

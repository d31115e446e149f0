// Package schedule decides, for the targets that a dispatcher owns, which
// queued requests start, which are refused and which running ones are
// cancelled. It is a function of its tables and the time.
//
// Tiers are strict: within the targets that fit it, a request waits for no
// lower tier, and it is refused only when no lower tier runs or queues there.
package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// State is what the scheduling system reads and writes. One goroutine owns it.
type State struct {
	Requests *tables.Requests
	Targets  *tables.Targets
	Prefixes *prefix.Index
	Lengths  *predict.Lengths
	// Shared finds the prompt parts that requests have in common.
	Shared *prefix.Shared
	// MaxQueuedPerTarget bounds the queue in front of one owned target; zero
	// means DefaultMaxQueuedPerTarget.
	MaxQueuedPerTarget int
	// Policy is CurrentPolicy unless a measurement compares another.
	Policy Policy

	index *index
}

// NewState returns empty tables.
func NewState() *State {
	return &State{
		Requests: tables.NewRequests(),
		Targets:  tables.NewTargets(),
		Prefixes: prefix.NewIndex(),
		Lengths:  predict.NewLengths(),
		Shared:   prefix.NewShared(prefix.DefaultSharedBlocks),
		Policy:   CurrentPolicy(),
		index:    newIndex(),
	}
}

// Tick returns the decisions for now. The caller carries them out: a started
// request is set Running by Tick itself, a cancelled one Cancelling; a shed one
// has left the queue and its row is left to the caller to delete.
func Tick(now time.Time, s *State) []tables.Decision {
	x := s.index
	x.sync(now, s)
	p := &pass{now: now, state: s, index: x, out: x.decisions[:0]}
	p.start()
	p.admit()
	p.rescue()
	p.bound()
	x.decisions = p.out
	if len(p.out) == 0 {
		return nil
	}
	return append([]tables.Decision(nil), p.out...)
}

// pass is the work of one Tick.
type pass struct {
	now   time.Time
	state *State
	index *index
	out   []tables.Decision
}

// start fills free windows, the most urgent tier first.
func (p *pass) start() {
	for tier := range p.index.tiers {
		for {
			e := p.next(tier)
			if e == nil {
				break
			}
			p.run(e.group, e)
		}
	}
}

// best returns the free slot of g that finishes r first, and the part of the
// prompt that it holds in tokens. What another free slot holds weighs more,
// because computing it again fills a second cache with the same tokens.
func (p *pass) best(g *group, r *tables.Request) (best *slot, cached int) {
	most := p.mostHeld(g.usable, r)
	var bestCost time.Duration
	for _, sl := range g.usable {
		if r.Alone && len(sl.running) > 0 {
			continue
		}
		held := p.state.Prefixes.Match(sl.id, r.Prefix)
		cost := finishTime(sl.t, r, held, len(sl.running)+1) + recomputeTime(sl.t, most-held)
		if best == nil || cost < bestCost {
			best, bestCost, cached = sl, cost, held
		}
	}
	return best, cached
}

// isolate reports whether a slot of g is empty for e, which runs alone. When e
// is urgent and none is, the slot with the least work is emptied.
func (p *pass) isolate(g *group, e *entry) bool {
	var least *slot
	for _, sl := range g.usable {
		if len(sl.running) == 0 {
			return true
		}
		if sl.isolated == e {
			return false
		}
		if least == nil || len(sl.running) < len(least.running) {
			least = sl
		}
	}
	if least != nil && p.urgent(e) {
		least.isolated = e
	}
	return false
}

// run starts e at the free target of g that finishes it first.
func (p *pass) run(g *group, e *entry) {
	r := e.r
	best, cached := p.best(g, r)
	p.index.dequeue(e)
	p.index.charge(r)
	r.State = tables.Running
	r.Target = best.id
	r.Started = p.now
	r.CachedTokens = cached
	if best.t.Straggler {
		best.t.ProbeAt = p.now.Add(probeInterval)
	}
	best.add(r)
	for _, o := range best.groups {
		o.took(p, best)
	}
	p.state.Prefixes.Stored(best.id, r.Prefix)
	shared, _ := p.state.Shared.Find(r.Prefix)
	p.state.Prefixes.StoredShared(best.id, shared)
	p.out = append(p.out, tables.Decision{Action: tables.Start, Request: r.ID, Target: best.id})
}

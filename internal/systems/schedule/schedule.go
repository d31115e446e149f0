// Package schedule decides, for the targets that a dispatcher owns, which
// queued requests start, which are refused and which running requests are
// cancelled. Its decisions depend only on its tables and the time.
//
// Tiers are strict: free slots go to higher tiers first. A request is refused only
// if no lower tier runs or is queued on the targets that it may use, or within
// lowerTierBlock after the refusal of a higher tier.
package schedule

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// State holds the tables that the scheduler reads and writes. It is not safe
// for concurrent use.
type State struct {
	Requests *tables.Requests
	Targets  *tables.Targets
	Prefixes *prefix.Index
	Lengths  *predict.LengthPredictor
	// SharedPrefixes finds prompt prefixes that several requests have in common.
	SharedPrefixes *prefix.SharedPrefixes
	// MaxQueuedPerTarget limits the queue to this many requests per target;
	// zero means DefaultMaxQueuedPerTarget.
	MaxQueuedPerTarget int
	// Policy is the scheduling policy. NewState sets it to CurrentPolicy().
	Policy Policy

	index *index
}

// NewState returns a state with empty tables.
func NewState() *State {
	return &State{
		Requests:       tables.NewRequests(),
		Targets:        tables.NewTargets(),
		Prefixes:       prefix.NewIndex(),
		Lengths:        predict.NewLengthPredictor(),
		SharedPrefixes: prefix.NewSharedPrefixes(prefix.DefaultSharedHashes),
		Policy:         CurrentPolicy(),
		index:          newIndex(),
	}
}

// Tick returns the scheduling decisions for now, which the caller carries out.
// It marks started requests as Running and requests to be cancelled as
// Cancelling. A shed request has left the queue; the caller deletes it from the
// table.
func Tick(now time.Time, s *State) []tables.Decision {
	idx := s.index
	idx.sync(now, s)
	p := &pass{now: now, state: s, index: idx, decisions: idx.decisions[:0]}
	p.startQueued()
	p.admit()
	p.makeRoomForDue()
	p.boundQueue()
	idx.decisions = p.decisions
	if len(p.decisions) == 0 {
		return nil
	}
	return append([]tables.Decision(nil), p.decisions...)
}

// pass is the state of one Tick.
type pass struct {
	now       time.Time
	state     *State
	index     *index
	decisions []tables.Decision
}

// startQueued fills free slots, beginning with the highest tier.
func (p *pass) startQueued() {
	for tier := range p.index.tiers {
		for {
			e := p.nextEntry(tier)
			if e == nil {
				break
			}
			p.startEntry(e.group, e)
		}
	}
}

// bestTarget returns the eligible target of g with the lowest cost for r, or nil
// if there is none, and the length in tokens of the prompt prefix that this target
// has probably cached. A request that must run alone needs an idle target. The cost
// is the expected time to finish r, plus the weighted time to recompute the
// tokens that only another eligible target has cached, because recomputing them
// stores the same tokens in a second cache.
func (p *pass) bestTarget(g *group, r *tables.Request) (best *targetState, cached int) {
	longest := p.maxCached(g.eligible, r)
	var bestCost time.Duration
	for _, ts := range g.eligible {
		if r.Alone && len(ts.running) > 0 {
			continue
		}
		match := p.state.Prefixes.Match(ts.id, r.PrefixHashes)
		cost := runDuration(ts.target, r, match, len(ts.running)+1) + recomputeCost(ts.target, longest-match)
		if best == nil || cost < bestCost {
			best, bestCost, cached = ts, cost, match
		}
	}
	return best, cached
}

// findIdleOrReserve reports whether an eligible target of g is idle, so that e
// can run alone on it. It returns false once it meets a target that is already
// reserved for e, even if a later target is idle. If no target is idle or
// reserved for e, and e is urgent, findIdleOrReserve reserves for e the eligible
// target with the fewest running requests, which then drains.
func (p *pass) findIdleOrReserve(g *group, e *entry) bool {
	var least *targetState
	for _, ts := range g.eligible {
		if len(ts.running) == 0 {
			return true
		}
		if ts.reservedFor == e {
			return false
		}
		if least == nil || len(ts.running) < len(least.running) {
			least = ts
		}
	}
	if least != nil && p.urgent(e) {
		least.reservedFor = e
	}
	return false
}

// startEntry starts e on its best eligible target in g.
func (p *pass) startEntry(g *group, e *entry) {
	r := e.req
	best, cached := p.bestTarget(g, r)
	p.index.dequeue(e)
	p.index.charge(r)
	r.State = tables.Running
	r.Target = best.id
	r.Started = p.now
	r.CachedTokens = cached
	if best.target.Straggler {
		best.target.ProbeAt = p.now.Add(probeInterval)
	}
	best.add(r)
	for _, o := range best.groups {
		o.dropIfFull(p, best)
	}
	p.state.Prefixes.RecordStored(best.id, r.PrefixHashes)
	shared, _ := p.state.SharedPrefixes.Find(r.PrefixHashes)
	p.state.Prefixes.RecordStoredShared(best.id, shared)
	p.decisions = append(p.decisions, tables.Decision{Action: tables.Start, Request: r.ID, Target: best.id})
}

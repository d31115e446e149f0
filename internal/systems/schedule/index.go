package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxIdleGroups is the number of groups at which those without queued
// requests are dropped.
const maxIdleGroups = 256

// index mirrors the request and target tables, so that a decision does not scan
// all requests.
type index struct {
	targets map[tables.TargetID]*targetState
	groups  []*group
	byKey   map[groupKey]*group
	entries map[*tables.Request]*entry
	arrived []*entry
	tiers   int
	// usage is, by tier and customer, the number of tokens started divided by
	// the customer's share.
	usage []map[tables.CustomerID]float64
	// targetsVersion is the version of the target table that targets reflects.
	targetsVersion uint64
	// lastRefused is the time of the last refusal on any target.
	lastRefused time.Time
	// scanSeq numbers the scans of free targets; targetState.lastScan holds the
	// number of the last one that visited a target.
	scanSeq   uint64
	decisions []tables.Decision
}

func newIndex() *index {
	return &index{
		targets: make(map[tables.TargetID]*targetState),
		byKey:   make(map[groupKey]*group),
		entries: make(map[*tables.Request]*entry),
	}
}

// sync applies the changes of the tables since the last call and refreshes the
// groups with queued requests.
func (x *index) sync(now time.Time, s *State) {
	if v := s.Targets.Version(); v != x.targetsVersion {
		x.targetsVersion = v
		x.reloadTargets(s)
	}
	s.Requests.Changes(func(r *tables.Request) { x.add(now, s, r) },
		func(r *tables.Request) { x.remove(s.Policy, r) })
	for _, g := range x.groups {
		if g.queued(len(g.tiers)-1) > 0 {
			g.refresh(now)
		}
	}
}

// reloadTargets looks up the table rows of all targets again.
func (x *index) reloadTargets(s *State) {
	for id, ts := range x.targets {
		ts.target = s.Targets.Get(id)
		ts.publishRunning()
	}
	for _, g := range x.groups {
		g.refreshedAt = time.Time{}
	}
}

func (x *index) add(now time.Time, s *State, r *tables.Request) {
	x.ensureTier(r.Tier)
	switch r.State {
	case tables.Queued:
		if r.PredictedTokens == 0 && !r.Plain {
			r.PredictedTokens = s.Lengths.Predict(r)
		}
		e := &entry{req: r, group: x.group(s, r)}
		e.group.refresh(now)
		e.estimate(now, s.Policy)
		x.entries[r] = e
		x.arrived = append(x.arrived, e)
		e.group.push(e)
		x.initUsage(r)
	case tables.Running:
		x.target(s, r.Target).add(r)
	case tables.Finished:
	}
}

func (x *index) ensureTier(tier int) {
	for x.tiers <= tier {
		x.usage = append(x.usage, make(map[tables.CustomerID]float64))
		x.tiers++
	}
}

func (x *index) remove(p Policy, r *tables.Request) {
	if e := x.entries[r]; e != nil {
		x.dequeue(e)
	}
	if ts := x.targets[r.Target]; ts != nil {
		ts.remove(p, r)
	}
}

func (x *index) dequeue(e *entry) {
	delete(x.entries, e.req)
	e.group.tiers[e.req.Tier].remove(e)
	e.heapIndex = -1
}

// customerUsage returns the usage of a customer in a tier, relative to its
// share.
func (x *index) customerUsage(tier int, c tables.CustomerID) float64 { return x.usage[tier][c] }

// charge adds the tokens of a started request to the usage of its customer.
func (x *index) charge(r *tables.Request) {
	share := r.Share
	if share <= 0 {
		share = 1
	}
	x.usage[r.Tier][r.Customer] += float64(r.PromptTokens+r.PredictedTokens+1) / share
}

// initUsage sets the usage of a new customer to the lowest of the others, so
// that a customer earns no credit while idle.
func (x *index) initUsage(r *tables.Request) {
	usage := x.usage[r.Tier]
	if _, ok := usage[r.Customer]; ok {
		return
	}
	least, found := 0.0, false
	for _, v := range usage {
		if !found || v < least {
			least, found = v, true
		}
	}
	usage[r.Customer] = least
}

func (x *index) target(s *State, id tables.TargetID) *targetState {
	ts := x.targets[id]
	if ts == nil {
		ts = &targetState{id: id, target: s.Targets.Get(id)}
		x.targets[id] = ts
	}
	return ts
}

// group returns the group for the service and the allowed targets of r,
// creating it if needed.
func (x *index) group(s *State, r *tables.Request) *group {
	key := groupKey{service: r.Service, targetCount: len(r.Allowed)}
	for _, id := range r.Allowed {
		key.targetsHash += xxhash.Sum64String(string(id))
	}
	if g := x.byKey[key]; g != nil {
		g.ensureTier(r.Tier)
		return g
	}
	if len(x.groups) >= maxIdleGroups {
		x.dropIdleGroups()
	}
	g := &group{key: key}
	g.ensureTier(r.Tier)
	for _, id := range r.Allowed {
		ts := x.target(s, id)
		g.targets = append(g.targets, ts)
	}
	x.byKey[key] = g
	x.groups = append(x.groups, g)
	x.updateOverlaps()
	return g
}

// dropIdleGroups removes the groups without queued requests.
func (x *index) dropIdleGroups() {
	kept := x.groups[:0]
	for _, g := range x.groups {
		if g.queued(len(g.tiers)-1) > 0 {
			kept = append(kept, g)
			continue
		}
		delete(x.byKey, g.key)
	}
	clear(x.groups[len(kept):])
	x.groups = kept
}

// updateOverlaps recomputes, for every group, the groups that share a target
// with it.
func (x *index) updateOverlaps() {
	for _, ts := range x.targets {
		ts.groups = ts.groups[:0]
	}
	for _, g := range x.groups {
		for _, ts := range g.targets {
			ts.groups = append(ts.groups, g)
		}
	}
	for _, g := range x.groups {
		g.overlaps = g.overlaps[:0]
		seen := make(map[*group]bool)
		for _, ts := range g.targets {
			for _, o := range ts.groups {
				if !seen[o] {
					seen[o] = true
					g.overlaps = append(g.overlaps, o)
				}
			}
		}
	}
}

package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// groupCleanupThreshold is the number of groups at which those without queued
// requests are dropped before a new group is added.
const groupCleanupThreshold = 256

// index mirrors the request and target tables, so that a decision does not scan
// all requests.
type index struct {
	targets map[tables.TargetID]*targetState
	groups  []*group
	byKey   map[groupKey]*group
	entries map[*tables.Request]*entry
	// arrived lists the queued requests that admit has not examined yet.
	arrived []*entry
	// tiers is the number of tiers from the highest to the lowest of any request
	// so far.
	tiers int
	// usage holds, by tier and customer, the number of tokens of the customer's
	// started requests divided by the customer's share. A new customer does not
	// start at zero; see initUsage.
	usage []map[tables.CustomerID]float64
	// targetsVersion is the version of the target table that targets reflects.
	targetsVersion uint64
	// lastRefused is the latest targetState.refusedAt of any target and tier.
	lastRefused time.Time
	// scanSeq is the number of the latest scan of free targets.
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
func (idx *index) sync(now time.Time, s *State) {
	if v := s.Targets.Version(); v != idx.targetsVersion {
		idx.targetsVersion = v
		idx.reloadTargets(s)
	}
	s.Requests.Changes(func(r *tables.Request) { idx.add(now, s, r) },
		func(r *tables.Request) { idx.remove(s.Policy, r) })
	for _, g := range idx.groups {
		if g.queued(len(g.tiers)-1) > 0 {
			g.refresh(now)
		}
	}
}

// reloadTargets looks up all targets in the target table again and forces a
// refresh of all groups.
func (idx *index) reloadTargets(s *State) {
	for id, ts := range idx.targets {
		ts.target = s.Targets.Get(id)
		ts.publishRunning()
	}
	for _, g := range idx.groups {
		g.refreshedAt = time.Time{}
	}
}

func (idx *index) add(now time.Time, s *State, r *tables.Request) {
	idx.ensureTier(r.Tier)
	switch r.State {
	case tables.Queued:
		if r.PredictedTokens == 0 && !r.PlainService {
			r.PredictedTokens = s.Lengths.Predict(r)
		}
		e := &entry{req: r, group: idx.group(s, r)}
		e.group.refresh(now)
		e.estimate(now, s.Policy)
		idx.entries[r] = e
		idx.arrived = append(idx.arrived, e)
		e.group.push(e)
		idx.initUsage(r)
	case tables.Running:
		idx.target(s, r.Target).add(r)
	case tables.Finished:
	}
}

func (idx *index) ensureTier(tier int) {
	for idx.tiers <= tier {
		idx.usage = append(idx.usage, make(map[tables.CustomerID]float64))
		idx.tiers++
	}
}

func (idx *index) remove(p Policy, r *tables.Request) {
	if e := idx.entries[r]; e != nil {
		idx.dequeue(e)
	}
	if ts := idx.targets[r.Target]; ts != nil {
		ts.remove(p, r)
	}
}

func (idx *index) dequeue(e *entry) {
	delete(idx.entries, e.req)
	e.group.tiers[e.req.Tier].remove(e)
	e.heapIndex = -1
}

// customerUsage returns the usage of a customer in a tier, relative to its
// share.
func (idx *index) customerUsage(tier int, c tables.CustomerID) float64 { return idx.usage[tier][c] }

// charge adds the tokens of a started request to the usage of its customer.
func (idx *index) charge(r *tables.Request) {
	share := r.Share
	if share <= 0 {
		share = 1
	}
	idx.usage[r.Tier][r.Customer] += float64(r.PromptTokens+r.PredictedTokens+1) / share
}

// initUsage sets the usage of a customer that is new in a tier to the lowest
// usage in that tier, so that a customer earns no credit before its first
// request.
func (idx *index) initUsage(r *tables.Request) {
	usage := idx.usage[r.Tier]
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

func (idx *index) target(s *State, id tables.TargetID) *targetState {
	ts := idx.targets[id]
	if ts == nil {
		ts = &targetState{id: id, target: s.Targets.Get(id)}
		idx.targets[id] = ts
	}
	return ts
}

// group returns the group for the service and the allowed targets of r,
// creating it if needed.
func (idx *index) group(s *State, r *tables.Request) *group {
	key := groupKey{service: r.Service, targetCount: len(r.Allowed)}
	for _, id := range r.Allowed {
		key.targetsHash += xxhash.Sum64String(string(id))
	}
	if g := idx.byKey[key]; g != nil {
		g.ensureTier(r.Tier)
		return g
	}
	if len(idx.groups) >= groupCleanupThreshold {
		idx.dropIdleGroups()
	}
	g := &group{key: key}
	g.ensureTier(r.Tier)
	for _, id := range r.Allowed {
		ts := idx.target(s, id)
		g.targets = append(g.targets, ts)
	}
	idx.byKey[key] = g
	idx.groups = append(idx.groups, g)
	idx.updateOverlaps()
	return g
}

// dropIdleGroups removes the groups without queued requests.
func (idx *index) dropIdleGroups() {
	kept := idx.groups[:0]
	for _, g := range idx.groups {
		if g.queued(len(g.tiers)-1) > 0 {
			kept = append(kept, g)
			continue
		}
		delete(idx.byKey, g.key)
	}
	clear(idx.groups[len(kept):])
	idx.groups = kept
}

// updateOverlaps recomputes, for every group, the groups that share a target
// with it.
func (idx *index) updateOverlaps() {
	for _, ts := range idx.targets {
		ts.groups = ts.groups[:0]
	}
	for _, g := range idx.groups {
		for _, ts := range g.targets {
			ts.groups = append(ts.groups, g)
		}
	}
	for _, g := range idx.groups {
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

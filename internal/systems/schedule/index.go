package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxIdleGroups bounds the empty groups that are kept for reuse.
const maxIdleGroups = 256

// index follows the tables, so that no decision scans all requests.
type index struct {
	slots   map[tables.TargetID]*slot
	groups  []*group
	byKey   map[groupKey]*group
	entries map[*tables.Request]*entry
	arrived []*entry
	tiers   int
	// service counts, per tier and customer, tokens over share.
	service []map[tables.CustomerID]float64
	// targets is the version of the target table that slots reflect.
	targets uint64
	// lastRefused is when a request was last refused at any target.
	lastRefused time.Time
	// stamp marks the slots that one pass over free ones has seen.
	stamp     uint64
	decisions []tables.Decision
}

func newIndex() *index {
	return &index{
		slots:   make(map[tables.TargetID]*slot),
		byKey:   make(map[groupKey]*group),
		entries: make(map[*tables.Request]*entry),
	}
}

// sync takes over what changed in the tables and finds the free slots.
func (x *index) sync(now time.Time, s *State) {
	if v := s.Targets.Version(); v != x.targets {
		x.targets = v
		x.resolve(s)
	}
	s.Requests.Changes(func(r *tables.Request) { x.add(now, s, r) },
		func(r *tables.Request) { x.remove(s.Policy, r) })
	for _, g := range x.groups {
		if g.queued(len(g.tiers)-1) > 0 {
			g.refresh(now)
		}
	}
}

// resolve looks the rows of all targets up again.
func (x *index) resolve(s *State) {
	for id, sl := range x.slots {
		sl.t = s.Targets.Get(id)
		sl.count()
	}
	for _, g := range x.groups {
		g.refreshed = time.Time{}
	}
}

func (x *index) add(now time.Time, s *State, r *tables.Request) {
	x.grow(r.Tier)
	switch r.State {
	case tables.Queued:
		if r.PredictedTokens == 0 && !r.Plain {
			r.PredictedTokens = s.Lengths.Predict(r)
		}
		e := &entry{r: r, group: x.group(s, r)}
		e.group.refresh(now)
		e.estimate(now, s.Policy)
		x.entries[r] = e
		x.arrived = append(x.arrived, e)
		e.group.push(e)
		x.join(r)
	case tables.Running:
		x.slot(s, r.Target).add(r)
	case tables.Finished:
	}
}

func (x *index) grow(tier int) {
	for x.tiers <= tier {
		x.service = append(x.service, make(map[tables.CustomerID]float64))
		x.tiers++
	}
}

func (x *index) remove(p Policy, r *tables.Request) {
	if e := x.entries[r]; e != nil {
		x.dequeue(e)
	}
	if sl := x.slots[r.Target]; sl != nil {
		sl.drop(p, r)
	}
}

func (x *index) dequeue(e *entry) {
	delete(x.entries, e.r)
	e.group.tiers[e.r.Tier].remove(e)
	e.pos = -1
}

// served returns the service that a customer had in a tier, by its share.
func (x *index) served(tier int, c tables.CustomerID) float64 { return x.service[tier][c] }

// charge counts the tokens of a started request against its customer.
func (x *index) charge(r *tables.Request) {
	share := r.Share
	if share <= 0 {
		share = 1
	}
	x.service[r.Tier][r.Customer] += float64(r.PromptTokens+r.PredictedTokens+1) / share
}

// join lifts a customer that was idle to the least service of the others, so
// that idling earns no credit.
func (x *index) join(r *tables.Request) {
	served := x.service[r.Tier]
	if _, ok := served[r.Customer]; ok {
		return
	}
	least, found := 0.0, false
	for _, v := range served {
		if !found || v < least {
			least, found = v, true
		}
	}
	served[r.Customer] = least
}

func (x *index) slot(s *State, id tables.TargetID) *slot {
	sl := x.slots[id]
	if sl == nil {
		sl = &slot{id: id, t: s.Targets.Get(id)}
		x.slots[id] = sl
	}
	return sl
}

// group returns the group of r: its service and the set of its targets.
func (x *index) group(s *State, r *tables.Request) *group {
	key := groupKey{service: r.Service, count: len(r.Allowed)}
	for _, id := range r.Allowed {
		key.targets += xxhash.Sum64String(string(id))
	}
	if g := x.byKey[key]; g != nil {
		g.grow(r.Tier)
		return g
	}
	if len(x.groups) >= maxIdleGroups {
		x.dropIdle()
	}
	g := &group{key: key}
	g.grow(r.Tier)
	for _, id := range r.Allowed {
		sl := x.slot(s, id)
		g.slots = append(g.slots, sl)
	}
	x.byKey[key] = g
	x.groups = append(x.groups, g)
	x.overlap()
	return g
}

// dropIdle forgets the groups without queued requests.
func (x *index) dropIdle() {
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

// overlap finds for every group the groups that share a target with it.
func (x *index) overlap() {
	for _, sl := range x.slots {
		sl.groups = sl.groups[:0]
	}
	for _, g := range x.groups {
		for _, sl := range g.slots {
			sl.groups = append(sl.groups, g)
		}
	}
	for _, g := range x.groups {
		g.overlaps = g.overlaps[:0]
		seen := make(map[*group]bool)
		for _, sl := range g.slots {
			for _, o := range sl.groups {
				if !seen[o] {
					seen[o] = true
					g.overlaps = append(g.overlaps, o)
				}
			}
		}
	}
}

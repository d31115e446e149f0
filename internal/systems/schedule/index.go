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
	targets   uint64
	decisions []tables.Decision
}

// slot is a target with its running requests.
type slot struct {
	id      tables.TargetID
	t       *tables.Target
	running []*tables.Request
	// alone counts the running requests that bear no other, and isolated is a
	// queued one that the slot is emptied for.
	alone    int
	isolated *entry
	// byTier counts the running requests by tier.
	byTier []int
	// preempted is, by tier, when a running request was last cancelled here.
	preempted []time.Time
	// refused is, by tier, when a request was last refused here.
	refused []time.Time
}

type groupKey struct {
	service tables.ServiceID
	targets uint64
	count   int
}

// group holds the queued requests that may run at the same targets.
type group struct {
	key   groupKey
	slots []*slot
	tiers []tierQueue
	// overlaps lists the groups that share a target, with itself.
	overlaps []*group
	// free lists the slots with room; it is valid within one Tick.
	free []*slot
	// capacity is the sum of the windows, running that of running requests.
	capacity int
	running  int
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
		for id, sl := range x.slots {
			sl.t = s.Targets.Get(id)
			sl.count()
		}
	}
	s.Requests.Changes(func(r *tables.Request) { x.add(now, s, r) }, x.remove)
	for _, g := range x.groups {
		g.refresh(now)
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
		e.estimate(now)
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

func (x *index) remove(r *tables.Request) {
	if e := x.entries[r]; e != nil {
		x.dequeue(e)
	}
	if sl := x.slots[r.Target]; sl != nil {
		sl.drop(r)
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
	sharing := make(map[*slot][]*group)
	for _, g := range x.groups {
		for _, sl := range g.slots {
			sharing[sl] = append(sharing[sl], g)
		}
	}
	for _, g := range x.groups {
		g.overlaps = g.overlaps[:0]
		seen := make(map[*group]bool)
		for _, sl := range g.slots {
			for _, o := range sharing[sl] {
				if !seen[o] {
					seen[o] = true
					g.overlaps = append(g.overlaps, o)
				}
			}
		}
	}
}

func (sl *slot) add(r *tables.Request) {
	sl.running = append(sl.running, r)
	for len(sl.byTier) <= r.Tier {
		sl.byTier = append(sl.byTier, 0)
	}
	sl.byTier[r.Tier]++
	if r.Alone {
		sl.alone++
	}
	sl.count()
}

func (sl *slot) drop(r *tables.Request) {
	for i, o := range sl.running {
		if o == r {
			last := len(sl.running) - 1
			sl.running[i] = sl.running[last]
			sl.running[last] = nil
			sl.running = sl.running[:last]
			sl.byTier[r.Tier]--
			if r.Alone {
				sl.alone--
			}
			sl.count()
			return
		}
	}
}

func (sl *slot) count() {
	if sl.t != nil {
		sl.t.Running = len(sl.running)
	}
}

// room reports whether a request of tier may start at the slot. Places are held
// back from lower tiers, so that a burst of higher ones cancels less.
func (sl *slot) room(p *pass, tier int) bool {
	n := limit(sl.t, p.now)
	return len(sl.running)+min(tier, n/p.state.Policy.HeldBackPart) < n && sl.admits(p.now, tier) && !sl.cooling(p, tier)
}

// lastRoom reports whether a request that can wait no longer may start at the
// slot, if need be at a place held back; the last one is left to the highest
// tier.
func (sl *slot) lastRoom(p *pass, tier int) bool {
	n := limit(sl.t, p.now)
	return len(sl.running)+min(tier, n/p.state.Policy.HeldBackPart, 1) < n && sl.admits(p.now, tier)
}

func (sl *slot) admits(now time.Time, tier int) bool {
	return !sl.floored(now, tier) && !sl.reserved(tier)
}

// reserved reports whether the slot is kept for a request that runs alone.
func (sl *slot) reserved(tier int) bool {
	if sl.isolated != nil && sl.isolated.pos < 0 {
		sl.isolated = nil
	}
	return sl.alone > 0 || sl.isolated != nil && tier >= sl.isolated.r.Tier && len(sl.running) > 0
}

// refuse notes that a request of tier was refused here.
func (sl *slot) refuse(now time.Time, tier int) {
	sl.refused = stamp(sl.refused, tier, now)
}

// stamp sets the time of a tier in a list that grows as needed.
func stamp(times []time.Time, tier int, now time.Time) []time.Time {
	for len(times) <= tier {
		times = append(times, time.Time{})
	}
	times[tier] = now
	return times
}

// cooling reports whether a request of tier or above was cancelled here lately,
// so that another one of tier would likely share its fate.
func (sl *slot) cooling(p *pass, tier int) bool {
	for i := 0; i <= tier && i < len(sl.preempted); i++ {
		if p.now.Sub(sl.preempted[i]) < p.state.Policy.PreemptCooldown {
			return true
		}
	}
	return false
}

// floored reports whether a tier above tier was refused here a moment ago.
func (sl *slot) floored(now time.Time, tier int) bool {
	for i := 0; i < tier && i < len(sl.refused); i++ {
		if now.Sub(sl.refused[i]) < floorHold {
			return true
		}
	}
	return false
}

func (g *group) grow(tier int) {
	for len(g.tiers) <= tier {
		g.tiers = append(g.tiers, tierQueue{})
	}
}

func (g *group) push(e *entry) { g.tiers[e.r.Tier].push(e) }

// queued counts the queued requests of tier and above.
func (g *group) queued(tier int) int {
	n := 0
	for i := 0; i <= tier && i < len(g.tiers); i++ {
		n += g.tiers[i].count
	}
	return n
}

// refresh lists the free slots and sums the windows.
func (g *group) refresh(now time.Time) {
	g.free, g.capacity, g.running = g.free[:0], 0, 0
	if g.queued(len(g.tiers)-1) == 0 {
		return
	}
	for _, sl := range g.slots {
		if sl.t == nil || !sl.t.Services[g.key.service] {
			continue
		}
		n := limit(sl.t, now)
		g.capacity += n
		g.running += len(sl.running)
		if len(sl.running) < n {
			g.free = append(g.free, sl)
		}
	}
}

// hasFree drops the slots that filled up and reports whether one is left for
// tier.
func (g *group) hasFree(p *pass, tier int) bool {
	kept := g.free[:0]
	for _, sl := range g.free {
		if sl.room(p, tier) {
			kept = append(kept, sl)
		}
	}
	g.free = kept
	return len(kept) > 0
}

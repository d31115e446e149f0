package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/measure"
	"github.com/bluebellseam/bluebellseam/internal/systems/predict"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	tickPeriod    = 10 * time.Millisecond
	measurePeriod = 200 * time.Millisecond
	// Hosts refresh their views at unlike periods, so that their ages differ.
	viewPeriod     = 200 * time.Millisecond
	viewPeriodStep = 50 * time.Millisecond
	// Hosts learn of a dead host after unlike times.
	deathLag     = 1500 * time.Millisecond
	deathLagStep = 50 * time.Millisecond
	// sweepAgain is the pause before owners that gave no answer are asked again.
	sweepAgain = 50 * time.Millisecond
	rampTime   = time.Second
	// sweepValid is how long the refusals of a sweep hold: a gate refuses only
	// when all owners have refused within this time.
	sweepValid = 100 * time.Millisecond
	// Cache events come at this period, and a part of them is lost.
	eventPeriod = time.Second
	eventLoss   = 0.1
	eventSeed   = 99
)

// seam is bluebellseam: a gate and a dispatcher on every host.
type seam struct {
	hosts [hosts]*seamHost
	jobs  map[tables.RequestID]*job
	byID  map[tables.HostID]int
}

// seamHost is the gate and the dispatcher of one host with their own views.
type seamHost struct {
	index   int
	state   *schedule.State
	views   []route.View
	shared  *prefix.SharedPrefixes
	lengths *predict.LengthPredictor
	dead    [hosts]bool
}

func newSeam(s *sim, previous bool) *seam {
	p := &seam{jobs: make(map[tables.RequestID]*job), byID: make(map[tables.HostID]int)}
	for i := range hosts {
		h := &seamHost{index: i, state: schedule.NewState(), shared: prefix.NewSharedPrefixes(prefix.DefaultSharedBlocks), lengths: predict.NewLengthPredictor()}
		if previous {
			h.state.Policy = schedule.PreviousPolicy()
		}
		p.hosts[i] = h
		p.byID[hostID(i)] = i
		for _, e := range s.engines {
			h.state.Targets.Put(row(e))
			h.views = append(h.views, route.View{Target: e.id, Domain: e.spec.domain, Speed: e.spec.speed, Plain: e.spec.plain})
		}
		h.ownership(s, p)
		period := viewPeriod + time.Duration(i)*viewPeriodStep
		s.every(time.Duration(i)*time.Millisecond, period, func() { p.refresh(s, h) })
		s.every(time.Duration(i)*time.Millisecond, tickPeriod, func() { p.tick(s, h) })
		s.every(time.Duration(i)*time.Millisecond, measurePeriod, func() { measure.Tick(s.clock(), h.state.Targets) })
	}
	p.cacheEvents(s)
	return p
}

// cacheEvents passes on what engines evicted, late and with gaps.
func (p *seam) cacheEvents(s *sim) {
	rng := rand.New(rand.NewPCG(s.seed, eventSeed))
	s.every(eventPeriod, eventPeriod, func() {
		for _, e := range s.engines {
			blocks, lost := e.evicted, rng.Float64() < eventLoss
			e.evicted = nil
			owner := p.hosts[p.hosts[hosts-1].owner(e.id)]
			if len(blocks) == 0 {
				continue
			}
			s.after(eventPeriod/2, func() {
				if lost {
					owner.state.Prefixes.RecordLostEvents(e.id)
					return
				}
				owner.state.Prefixes.RecordEvicted(e.id, blocks)
			})
		}
	})
}

func row(e *engine) *tables.Target {
	t := &tables.Target{ID: e.id, Domain: e.spec.domain, Generation: e.spec.generation, Plain: e.spec.plain,
		Services: make(map[tables.ServiceID]bool), WindowMin: 1, WindowMax: e.spec.window, Speed: e.spec.speed}
	for _, id := range e.spec.services {
		t.Services[id] = true
	}
	return t
}

func hostID(i int) tables.HostID { return tables.HostID(fmt.Sprintf("h%02d", i)) }

// owner returns the owner of a target by rendezvous over the hosts that h
// believes live.
func (h *seamHost) owner(id tables.TargetID) int {
	best, bestHash := -1, uint64(0)
	for i := range hosts {
		hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", id, i))
		if !h.dead[i] && (best < 0 || hash > bestHash) {
			best, bestHash = i, hash
		}
	}
	return best
}

// ownership recomputes the owners of all targets in the views of h, and takes
// over what runs at the targets that became its own.
func (h *seamHost) ownership(s *sim, p *seam) {
	for i := range h.views {
		v := &h.views[i]
		owner := h.owner(v.Target)
		v.Owner = hostID(owner)
		t := h.state.Targets.Get(v.Target)
		gained := owner == h.index && !t.Owned
		t.Owned = owner == h.index
		if gained && s.now > 0 {
			t.TakenOverAt = s.clock()
			t.RampUntil = s.clock().Add(rampTime)
			p.adopt(s, h, v.Target)
		}
	}
}

// adopt attaches h to the jobs that run at a target.
func (p *seam) adopt(s *sim, h *seamHost, id tables.TargetID) {
	for _, j := range s.jobs {
		if j.ended || j.at == nil || j.at.id != id || j.home == h.index {
			continue
		}
		j.home = h.index
		r := request(j, nil)
		r.State, r.Target, r.Started, r.LastProgress = tables.Running, id, s.clock(), s.clock()
		r.FirstToken = s.clock()
		h.state.Requests.Put(r)
	}
}

// refresh fetches the summaries of all hosts that answer.
func (p *seam) refresh(s *sim, h *seamHost) {
	if s.down[h.index] {
		return
	}
	for _, o := range p.hosts {
		if !s.down[o.index] {
			h.learn(s, schedule.Summary(s.clock(), o.state))
		}
	}
}

func (h *seamHost) learn(s *sim, pool []tables.TargetSummary) {
	for _, sum := range pool {
		for i := range h.views {
			if v := &h.views[i]; v.Target == sum.Target {
				v.Summary, v.Updated, v.Sent = sum, s.clock(), 0
			}
		}
	}
}

func (p *seam) arrive(s *sim, j *job) {
	p.jobs[j.id] = j
	p.pick(s, j)
}

// pick lists the owners to ask for j and asks the first.
func (p *seam) pick(s *sim, j *job) {
	h := p.hosts[j.gate]
	var views []route.View
	for i, v := range h.views {
		if s.engines[i].fits(j.class.service) {
			views = append(views, v)
		}
	}
	r := request(j, nil)
	if root := j.root(); !root.known {
		root.known = true
		root.shared, root.sharedTokens = h.shared.Find(j.chain)
	}
	j.incomplete, j.swept = false, s.now
	j.choices = route.Pick(s.clock(), route.Request{ID: j.id, Tier: j.tier, PromptTokens: j.prompt,
		PredictedTokens: h.lengths.Predict(r), PrefixHashes: j.chain, Due: r.Due, SharedPrefix: j.root().shared, SharedTokens: j.root().sharedTokens}, views)
	p.next(s, j)
}

// next asks the next owner; a gate refuses a job only when all have refused.
func (p *seam) next(s *sim, j *job) {
	if j.ended {
		return
	}
	if len(j.choices) == 0 {
		if s.now-j.swept > sweepValid {
			p.pick(s, j)
			return
		}
		if j.incomplete {
			s.after(sweepAgain, func() {
				if !j.ended {
					p.pick(s, j)
				}
			})
			return
		}
		s.finish(j, endShed)
		return
	}
	c := j.choices[0]
	j.choices = j.choices[1:]
	s.after(netDelay, func() { p.submit(s, j, c) })
}

func (p *seam) submit(s *sim, j *job, c route.Choice) {
	if j.ended {
		return
	}
	owner := p.byID[c.Owner]
	h := p.hosts[owner]
	allowed := h.accepting(s, c.Targets, j.tier)
	if s.down[owner] || len(allowed) == 0 {
		j.incomplete = true
		p.next(s, j)
		return
	}
	gate := p.hosts[j.gate]
	for i := range gate.views {
		if gate.views[i].Target == c.Targets[0] {
			gate.views[i].Sent++
		}
	}
	j.home = owner
	s.score.trace.queue(j, allowed)
	h.state.Requests.Put(request(j, allowed))
	p.tick(s, h)
}

func (h *seamHost) accepting(s *sim, ids []tables.TargetID, tier int) []tables.TargetID {
	var out []tables.TargetID
	for _, id := range ids {
		if h.state.Accepts(s.clock(), id, tier) {
			out = append(out, id)
		}
	}
	return out
}

func request(j *job, allowed []tables.TargetID) *tables.Request {
	r := &tables.Request{ID: j.id, Customer: tables.CustomerID(fmt.Sprintf("c%d", j.customer)), Service: j.class.service,
		Tier: j.tier, Share: 1, Plain: j.class.plain, NonIdempotent: j.class.nonIdempotent, Arrived: epoch.Add(j.arrived),
		Due: epoch.Add(j.due), PromptTokens: j.prompt, MaxTokens: j.class.out * longest, PrefixHashes: j.chain, Allowed: allowed}
	if j.class.first > 0 {
		r.FirstTokenDue = r.Arrived.Add(j.class.first)
	}
	return r
}

// tick runs the dispatcher of h and carries its decisions out.
func (p *seam) tick(s *sim, h *seamHost) {
	if s.down[h.index] {
		return
	}
	for _, d := range schedule.Tick(s.clock(), h.state) {
		j := p.jobs[d.Request]
		switch d.Action {
		case tables.Start:
			s.start(j, s.engine(d.Target))
		case tables.Shed:
			h.state.Requests.Delete(d.Request)
			s.score.trace.leave(j)
			s.after(netDelay, func() { p.next(s, j) })
		case tables.Cancel:
			s.after(netDelay, func() { s.finish(j, endCancelled) })
		}
	}
}

func (s *sim) engine(id tables.TargetID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (p *seam) token(s *sim, j *job) {
	st := p.hosts[j.home].state
	r := st.Requests.Get(j.id)
	if r == nil {
		return
	}
	if r.FirstToken.IsZero() {
		st.Prefixes.UpdateConfidence(r.Target, r.CachedTokens, j.cached)
		r.CachedTokens = j.cached
	}
	measure.RecordChunk(s.clock(), st.Targets.Get(r.Target), r, 1)
}

func (p *seam) ended(s *sim, j *job, how ending) {
	h := p.hosts[j.home]
	delete(p.jobs, j.id)
	r := h.state.Requests.Get(j.id)
	if r == nil {
		return
	}
	if r.Target != "" {
		kind := errkind.None
		if how == endFailed {
			kind = errkind.RanFailed
		}
		measure.RecordFinish(s.clock(), h.state.Targets.Get(r.Target), r, kind)
	}
	if how == endWhole {
		h.state.Lengths.Observe(r, j.tokens)
		p.hosts[j.gate].lengths.Observe(r, j.tokens)
	}
	h.state.Requests.Delete(j.id)
	p.tick(s, h)
}

func (p *seam) engineDown(s *sim, e *engine) {
	for _, h := range p.hosts {
		h.state.Prefixes.Forget(e.id)
		h.state.Targets.Get(e.id).DownUntil = s.clock().Add(engineRestart)
	}
}

// hostDown loses the gate and the dispatcher of a host: other gates ask again
// for what it queued, and new owners adopt what runs.
func (p *seam) hostDown(s *sim, host int) {
	s.loseGate(host)
	for _, j := range s.jobs {
		if !j.ended && j.at == nil && j.home == host && p.hosts[host].state.Requests.Get(j.id) != nil {
			s.score.trace.leave(j)
			s.after(sweepAgain, func() { p.pick(s, j) })
		}
	}
	for _, h := range p.hosts {
		s.after(deathLag+time.Duration(h.index)*deathLagStep, func() {
			h.dead[host] = true
			h.ownership(s, p)
		})
	}
}

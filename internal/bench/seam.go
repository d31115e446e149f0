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
	// tickInterval is the interval between two scheduling passes of a dispatcher.
	tickInterval = 10 * time.Millisecond
	// measureInterval is the interval between two calls of measure.Tick.
	measureInterval = 200 * time.Millisecond
	// Host i refreshes its views every viewInterval + i*viewIntervalStep. The intervals
	// differ so that the ages of the views differ between hosts.
	viewInterval     = 200 * time.Millisecond
	viewIntervalStep = 50 * time.Millisecond
	// Host i detects the crash of another host after
	// downDetectionDelay + i*downDetectionDelayStep.
	downDetectionDelay     = 1500 * time.Millisecond
	downDetectionDelayStep = 50 * time.Millisecond
	// rerouteDelay is the delay before a gate routes a job again after an owner was
	// down or accepted none of its targets, or after the owner that had queued the job
	// crashed.
	rerouteDelay = 50 * time.Millisecond
	// rampTime is how long the window of a target is limited after it got a new owner.
	rampTime = time.Second
	// refusalValidity is how long the refusals by owners remain valid. A gate sheds a
	// job only if all owners have refused it within this time.
	refusalValidity = 100 * time.Millisecond
	// Cache events of engines are delivered every cacheEventInterval. The fraction
	// cacheEventLossRate of them is lost.
	cacheEventInterval = time.Second
	cacheEventLossRate = 0.1
	cacheEventSeed     = 99
)

// bluebellPolicy runs the scheduling code of bluebellseam, with a gate and a dispatcher
// on every host.
type bluebellPolicy struct {
	hosts [hosts]*bluebellHost
	// jobs holds the open jobs.
	jobs map[tables.RequestID]*job
	// hostIndex holds the index of each host.
	hostIndex map[tables.HostID]int
}

// bluebellHost holds the state of the gate and the dispatcher of one host.
type bluebellHost struct {
	index          int
	state          *schedule.State
	views          []route.View
	sharedPrefixes *prefix.SharedPrefixes
	lengths        *predict.LengthPredictor
	// knownDown is set for the hosts whose crash this host has detected.
	knownDown [hosts]bool
}

// newBluebellPolicy returns the policy with schedule.PreviousPolicy if previous is set,
// and with the current policy otherwise. It schedules the periodic work of all hosts.
func newBluebellPolicy(s *sim, previous bool) *bluebellPolicy {
	p := &bluebellPolicy{jobs: make(map[tables.RequestID]*job), hostIndex: make(map[tables.HostID]int)}
	for i := range hosts {
		h := &bluebellHost{index: i, state: schedule.NewState(), sharedPrefixes: prefix.NewSharedPrefixes(prefix.DefaultSharedHashes), lengths: predict.NewLengthPredictor()}
		if previous {
			h.state.Policy = schedule.PreviousPolicy()
		}
		p.hosts[i] = h
		p.hostIndex[hostID(i)] = i
		for _, e := range s.engines {
			h.state.Targets.Put(newTarget(e))
			h.views = append(h.views, route.View{Target: e.id, Domain: e.spec.domain, Speed: e.spec.speed, Plain: e.spec.plain})
		}
		h.updateOwners(s, p)
		period := viewInterval + time.Duration(i)*viewIntervalStep
		s.scheduleEvery(time.Duration(i)*time.Millisecond, period, func() { p.refreshViews(s, h) })
		s.scheduleEvery(time.Duration(i)*time.Millisecond, tickInterval, func() { p.tick(s, h) })
		s.scheduleEvery(time.Duration(i)*time.Millisecond, measureInterval, func() { measure.Tick(s.clock(), h.state.Targets) })
	}
	p.scheduleCacheEvents(s)
	return p
}

// scheduleCacheEvents schedules the delivery of cache evictions from the engines to
// their owners. Events are delivered late, and some are lost; the owner is
// notified of each loss.
func (p *bluebellPolicy) scheduleCacheEvents(s *sim) {
	rng := rand.New(rand.NewPCG(s.seed, cacheEventSeed))
	s.scheduleEvery(cacheEventInterval, cacheEventInterval, func() {
		for _, e := range s.engines {
			blocks, lost := e.evicted, rng.Float64() < cacheEventLossRate
			e.evicted = nil
			owner := p.hosts[p.hosts[hosts-1].owner(e.id)]
			if len(blocks) == 0 {
				continue
			}
			s.scheduleAfter(cacheEventInterval/2, func() {
				if lost {
					owner.state.Prefixes.RecordLostEvents(e.id)
					return
				}
				owner.state.Prefixes.RecordEvicted(e.id, blocks)
			})
		}
	})
}

// newTarget returns the row of the target table for e.
func newTarget(e *engine) *tables.Target {
	t := &tables.Target{ID: e.id, Domain: e.spec.domain, Generation: e.spec.generation, PlainService: e.spec.plain,
		Services: make(map[tables.ServiceID]bool), WindowMin: 1, WindowMax: e.spec.window, Speed: e.spec.speed}
	for _, id := range e.spec.services {
		t.Services[id] = true
	}
	return t
}

func hostID(i int) tables.HostID { return tables.HostID(fmt.Sprintf("h%02d", i)) }

// owner returns the index of the owner of a target. It uses rendezvous hashing over all
// hosts whose crash h has not detected.
func (h *bluebellHost) owner(id tables.TargetID) int {
	best, bestHash := -1, uint64(0)
	for i := range hosts {
		hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", id, i))
		if !h.knownDown[i] && (best < 0 || hash > bestHash) {
			best, bestHash = i, hash
		}
	}
	return best
}

// updateOwners recomputes the owners of all targets in the views of h. For each target
// that h has gained, it adopts the running jobs.
func (h *bluebellHost) updateOwners(s *sim, p *bluebellPolicy) {
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
			p.adoptRunning(s, h, v.Target)
		}
	}
}

// adoptRunning makes h the owner of the jobs that were sent to a target.
func (p *bluebellPolicy) adoptRunning(s *sim, h *bluebellHost, id tables.TargetID) {
	for _, j := range s.jobs {
		if j.ended || j.engine == nil || j.engine.id != id || j.owner == h.index {
			continue
		}
		j.owner = h.index
		r := newRequest(j, nil)
		r.State, r.Target, r.Started, r.LastProgress = tables.Running, id, s.clock(), s.clock()
		r.FirstToken = s.clock()
		h.state.Requests.Put(r)
	}
}

// refreshViews updates the views of h with the current target summaries of all live
// hosts.
func (p *bluebellPolicy) refreshViews(s *sim, h *bluebellHost) {
	if s.down[h.index] {
		return
	}
	for _, o := range p.hosts {
		if !s.down[o.index] {
			h.applySummaries(s, schedule.Summary(s.clock(), o.state))
		}
	}
}

// applySummaries replaces the summaries in the views of the summarized targets.
func (h *bluebellHost) applySummaries(s *sim, summaries []tables.TargetSummary) {
	for _, sum := range summaries {
		for i := range h.views {
			if v := &h.views[i]; v.Target == sum.Target {
				v.Summary, v.Updated, v.Sent = sum, s.clock(), 0
			}
		}
	}
}

func (p *bluebellPolicy) arrive(s *sim, j *job) {
	p.jobs[j.id] = j
	p.route(s, j)
}

// route computes the owners to try for j and submits j to the first.
func (p *bluebellPolicy) route(s *sim, j *job) {
	h := p.hosts[j.gate]
	var views []route.View
	for i, v := range h.views {
		if s.engines[i].serves(j.class.service) {
			views = append(views, v)
		}
	}
	r := newRequest(j, nil)
	if first := j.firstAttempt(); !first.prefixLookedUp {
		first.prefixLookedUp = true
		first.sharedPrefix, first.sharedTokens = h.sharedPrefixes.Find(j.prefixHashes)
	}
	j.incomplete, j.routedAt = false, s.now
	j.choices = route.Pick(s.clock(), route.Request{ID: j.id, Tier: j.tier, PromptTokens: j.promptTokens,
		PredictedTokens: h.lengths.Predict(r), PrefixHashes: j.prefixHashes, Due: r.Due, SharedPrefix: j.firstAttempt().sharedPrefix, SharedTokens: j.firstAttempt().sharedTokens}, views)
	p.submitNext(s, j)
}

// submitNext submits j to the next owner. If none is left, it sheds j, unless the
// refusals are too old or an owner was down or accepted none of its targets; then it
// routes j again.
func (p *bluebellPolicy) submitNext(s *sim, j *job) {
	if j.ended {
		return
	}
	if len(j.choices) == 0 {
		if s.now-j.routedAt > refusalValidity {
			p.route(s, j)
			return
		}
		if j.incomplete {
			s.scheduleAfter(rerouteDelay, func() {
				if !j.ended {
					p.route(s, j)
				}
			})
			return
		}
		s.finish(j, endShed)
		return
	}
	c := j.choices[0]
	j.choices = j.choices[1:]
	s.scheduleAfter(networkDelay, func() { p.submit(s, j, c) })
}

// submit queues j at the owner in c, for the targets that the owner accepts. If there
// is none or the owner is down, it tries the next owner.
func (p *bluebellPolicy) submit(s *sim, j *job, c route.Choice) {
	if j.ended {
		return
	}
	owner := p.hostIndex[c.Owner]
	h := p.hosts[owner]
	allowed := h.acceptingTargets(s, c.Targets, j.tier)
	if s.down[owner] || len(allowed) == 0 {
		j.incomplete = true
		p.submitNext(s, j)
		return
	}
	gate := p.hosts[j.gate]
	for i := range gate.views {
		if gate.views[i].Target == c.Targets[0] {
			gate.views[i].Sent++
		}
	}
	j.owner = owner
	s.score.trace.enqueue(j, allowed)
	h.state.Requests.Put(newRequest(j, allowed))
	p.tick(s, h)
}

// acceptingTargets returns the targets in ids for which the dispatcher of h may queue a
// job of tier.
func (h *bluebellHost) acceptingTargets(s *sim, ids []tables.TargetID, tier int) []tables.TargetID {
	var out []tables.TargetID
	for _, id := range ids {
		if h.state.Accepts(s.clock(), id, tier) {
			out = append(out, id)
		}
	}
	return out
}

// newRequest returns the request of j in the form of the request table, queued for
// the allowed targets.
func newRequest(j *job, allowed []tables.TargetID) *tables.Request {
	r := &tables.Request{ID: j.id, Customer: tables.CustomerID(fmt.Sprintf("c%d", j.customer)), Service: j.class.service,
		Tier: j.tier, Share: 1, PlainService: j.class.plain, NonIdempotent: j.class.nonIdempotent, Arrived: epoch.Add(j.arrivedAt),
		Due: epoch.Add(j.deadline), PromptTokens: j.promptTokens, MaxTokens: j.class.medianOutput * maxLengthFactor, PrefixHashes: j.prefixHashes, Allowed: allowed}
	if j.class.firstTokenSLO > 0 {
		r.FirstTokenDue = r.Arrived.Add(j.class.firstTokenSLO)
	}
	return r
}

// tick runs one scheduling pass of the dispatcher of h and carries out its decisions.
func (p *bluebellPolicy) tick(s *sim, h *bluebellHost) {
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
			s.score.trace.remove(j)
			s.scheduleAfter(networkDelay, func() { p.submitNext(s, j) })
		case tables.Cancel:
			s.scheduleAfter(networkDelay, func() { s.finish(j, endCancelled) })
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

func (p *bluebellPolicy) token(s *sim, j *job) {
	st := p.hosts[j.owner].state
	r := st.Requests.Get(j.id)
	if r == nil {
		return
	}
	if r.FirstToken.IsZero() {
		st.Prefixes.UpdateConfidence(r.Target, r.CachedTokens, j.cachedTokens)
		r.CachedTokens = j.cachedTokens
	}
	measure.RecordChunk(s.clock(), st.Targets.Get(r.Target), r, 1)
}

func (p *bluebellPolicy) ended(s *sim, j *job, how ending) {
	h := p.hosts[j.owner]
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
	if how == endCompleted {
		h.state.Lengths.Observe(r, j.outputTokens)
		p.hosts[j.gate].lengths.Observe(r, j.outputTokens)
	}
	h.state.Requests.Delete(j.id)
	p.tick(s, h)
}

func (p *bluebellPolicy) engineDown(s *sim, e *engine) {
	for _, h := range p.hosts {
		h.state.Prefixes.Forget(e.id)
		h.state.Targets.Get(e.id).DownUntil = s.clock().Add(engineRestartTime)
	}
}

// hostDown simulates the crash of a host. Its gate's open jobs end. Other gates route the
// jobs again that its dispatcher had queued. Once a host detects the crash, it adopts the
// running jobs of the targets that it has gained.
func (p *bluebellPolicy) hostDown(s *sim, host int) {
	s.endJobsOfGate(host)
	for _, j := range s.jobs {
		if !j.ended && j.engine == nil && j.owner == host && p.hosts[host].state.Requests.Get(j.id) != nil {
			s.score.trace.remove(j)
			s.scheduleAfter(rerouteDelay, func() { p.route(s, j) })
		}
	}
	for _, h := range p.hosts {
		s.scheduleAfter(downDetectionDelay+time.Duration(h.index)*downDetectionDelayStep, func() {
			h.knownDown[host] = true
			h.updateOwners(s, p)
		})
	}
}

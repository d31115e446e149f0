package bench

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// newPolicy returns the policy with the given name, and false if there is none.
func newPolicy(s *sim, name string) (policy, bool) {
	switch name {
	case "round-robin":
		return &roundRobin{}, true
	case "least-outstanding":
		return newLeastOutstanding(s), true
	case "least-outstanding-tiers":
		return &tieredLeastOutstanding{base: newLeastOutstanding(s)}, true
	case "previous":
		return newBluebellPolicy(s, true), true
	case "bluebellseam":
		return newBluebellPolicy(s, false), true
	}
	return nil, false
}

// Policies lists the names of all policies.
var Policies = []string{"round-robin", "least-outstanding", "least-outstanding-tiers", "previous", "bluebellseam"}

// directPolicy is the common part of the baseline policies. Their gates send
// requests directly to engines. All open requests of a gate end when its host
// crashes.
type directPolicy struct{}

func (directPolicy) token(*sim, *job)          {}
func (directPolicy) engineDown(*sim, *engine)  {}
func (directPolicy) hostDown(s *sim, host int) { s.endJobsOfGate(host) }

// endJobsOfGate ends the open jobs of the gate on a crashed host.
func (s *sim) endJobsOfGate(host int) {
	for _, j := range s.jobs {
		if j.gate == host && !j.ended {
			s.finish(j, endHostCrashed)
		}
	}
}

// roundRobin sends each request of a gate to the next available engine that serves
// it.
type roundRobin struct {
	directPolicy
	// arrivals counts the requests by gate and service.
	arrivals [hosts]map[tables.ServiceID]int
}

func (p *roundRobin) arrive(s *sim, j *job) {
	if p.arrivals[j.gate] == nil {
		p.arrivals[j.gate] = make(map[tables.ServiceID]int)
	}
	targets := s.availableTargets(j)
	n := p.arrivals[j.gate][j.class.service]
	p.arrivals[j.gate][j.class.service]++
	s.start(j, s.engine(targets[n%len(targets)]))
}

func (p *roundRobin) ended(*sim, *job, ending) {}

// leastOutstanding sends each request to the available engine that serves it and has the
// fewest requests. The count is that of the engine's last load report plus the requests
// that the same gate has sent since.
type leastOutstanding struct {
	directPolicy
	// lastReport holds the number of running and waiting requests by engine.
	lastReport map[*engine]int
	// sentSinceReport counts requests by gate and engine.
	sentSinceReport [hosts]map[*engine]int
	// inFlight counts the requests of each gate that have not ended, by engine.
	inFlight [hosts]map[*engine]int
}

// loadReportInterval is the interval at which all engines report their load.
const loadReportInterval = 500 * time.Millisecond

func newLeastOutstanding(s *sim) *leastOutstanding {
	p := &leastOutstanding{lastReport: make(map[*engine]int)}
	for i := range hosts {
		p.sentSinceReport[i], p.inFlight[i] = make(map[*engine]int), make(map[*engine]int)
	}
	s.scheduleEvery(0, loadReportInterval, func() {
		for _, e := range s.engines {
			p.lastReport[e] = len(e.running) + len(e.waiting)
		}
		for i := range hosts {
			clear(p.sentSinceReport[i])
		}
	})
	return p
}

func (p *leastOutstanding) arrive(s *sim, j *job) { p.send(s, j, p.pick(s, j, nil)) }

func (p *leastOutstanding) send(s *sim, j *job, e *engine) {
	p.sentSinceReport[j.gate][e]++
	p.inFlight[j.gate][e]++
	s.start(j, e)
}

// pick returns the available engine with the lowest load that serves j and for which
// allowed returns true, or nil if there is none. A nil allowed permits every engine.
func (p *leastOutstanding) pick(s *sim, j *job, allowed func(*engine) bool) *engine {
	var best *engine
	for i := range s.engines {
		e := s.engines[(i+j.gate)%len(s.engines)]
		if !e.serves(j.class.service) || e.down || allowed != nil && !allowed(e) {
			continue
		}
		if best == nil || p.load(j, e) < p.load(j, best) {
			best = e
		}
	}
	return best
}

func (p *leastOutstanding) load(j *job, e *engine) int {
	return p.lastReport[e] + p.sentSinceReport[j.gate][e]
}

func (p *leastOutstanding) ended(_ *sim, j *job, _ ending) {
	if j.engine != nil {
		p.inFlight[j.gate][j.engine]--
	}
}

// tieredLeastOutstanding is leastOutstanding with one queue per tier at each gate.
// Gates do not coordinate. Each has at most twice its even share of an engine's window,
// rounded up, in flight at that engine.
type tieredLeastOutstanding struct {
	directPolicy
	base *leastOutstanding
	// queues holds the queued jobs by gate and tier.
	queues [hosts][3][]*job
}

func (p *tieredLeastOutstanding) arrive(s *sim, j *job) {
	p.queues[j.gate][j.tier] = append(p.queues[j.gate][j.tier], j)
	s.score.trace.enqueue(j, s.availableTargets(j))
	p.dispatch(s, j.gate)
}

// dispatch sends the queued jobs of a gate for which an engine has room, highest tier
// first.
func (p *tieredLeastOutstanding) dispatch(s *sim, host int) {
	for tier := range p.queues[host] {
		var remaining []*job
		for _, j := range p.queues[host][tier] {
			if j.ended {
				continue
			}
			e := p.base.pick(s, j, func(e *engine) bool {
				return p.base.inFlight[host][e] < (2*e.spec.window+hosts-1)/hosts
			})
			if e == nil {
				remaining = append(remaining, j)
				continue
			}
			p.base.send(s, j, e)
		}
		p.queues[host][tier] = remaining
	}
}

func (p *tieredLeastOutstanding) ended(s *sim, j *job, how ending) {
	p.base.ended(s, j, how)
	p.dispatch(s, j.gate)
}

// availableTargets returns the IDs of the engines that serve j and are not down.
func (s *sim) availableTargets(j *job) []tables.TargetID {
	var out []tables.TargetID
	for _, e := range s.engines {
		if e.serves(j.class.service) && !e.down {
			out = append(out, e.id)
		}
	}
	return out
}

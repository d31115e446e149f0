package bench

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// newPolicy returns a policy by its name.
func newPolicy(s *sim, name string) (policy, bool) {
	switch name {
	case "round-robin":
		return &roundRobin{}, true
	case "least-outstanding":
		return newLeastOutstanding(s), true
	case "least-outstanding-tiers":
		return &hostTiers{least: newLeastOutstanding(s)}, true
	case "previous":
		return newSeam(s, true), true
	case "bluebellseam":
		return newSeam(s, false), true
	}
	return nil, false
}

// Policies are the names of the measured policies.
var Policies = []string{"round-robin", "least-outstanding", "least-outstanding-tiers", "previous", "bluebellseam"}

// direct is what the baselines share: gates send to engines themselves, and a
// crashed host loses its open requests.
type direct struct{}

func (direct) token(*sim, *job)          {}
func (direct) engineDown(*sim, *engine)  {}
func (direct) hostDown(s *sim, host int) { s.loseGate(host) }

// loseGate ends the open jobs of a crashed gate.
func (s *sim) loseGate(host int) {
	for _, j := range s.jobs {
		if j.gate == host && !j.ended {
			s.finish(j, endLost)
		}
	}
}

// roundRobin sends each request to the next fitting engine.
type roundRobin struct {
	direct
	next [hosts]map[tables.ServiceID]int
}

func (p *roundRobin) arrive(s *sim, j *job) {
	if p.next[j.gate] == nil {
		p.next[j.gate] = make(map[tables.ServiceID]int)
	}
	fitting := s.fitting(j)
	n := p.next[j.gate][j.class.service]
	p.next[j.gate][j.class.service]++
	s.start(j, s.engine(fitting[n%len(fitting)]))
}

func (p *roundRobin) ended(*sim, *job, ending) {}

// leastOutstanding sends each request to the fitting engine with the fewest
// requests by its latest, lagging load report and what this gate sent since.
type leastOutstanding struct {
	direct
	report map[*engine]int
	sent   [hosts]map[*engine]int
	mine   [hosts]map[*engine]int
}

const loadReportPeriod = 500 * time.Millisecond

func newLeastOutstanding(s *sim) *leastOutstanding {
	p := &leastOutstanding{report: make(map[*engine]int)}
	for i := range hosts {
		p.sent[i], p.mine[i] = make(map[*engine]int), make(map[*engine]int)
	}
	s.every(0, loadReportPeriod, func() {
		for _, e := range s.engines {
			p.report[e] = len(e.running) + len(e.waiting)
		}
		for i := range hosts {
			clear(p.sent[i])
		}
	})
	return p
}

func (p *leastOutstanding) arrive(s *sim, j *job) { p.send(s, j, p.pick(s, j, nil)) }

func (p *leastOutstanding) send(s *sim, j *job, e *engine) {
	p.sent[j.gate][e]++
	p.mine[j.gate][e]++
	s.start(j, e)
}

// pick returns the least loaded fitting engine that ok permits, or nil.
func (p *leastOutstanding) pick(s *sim, j *job, ok func(*engine) bool) *engine {
	var best *engine
	for i := range s.engines {
		e := s.engines[(i+j.gate)%len(s.engines)]
		if !e.fits(j.class.service) || e.down || ok != nil && !ok(e) {
			continue
		}
		if best == nil || p.load(j, e) < p.load(j, best) {
			best = e
		}
	}
	return best
}

func (p *leastOutstanding) load(j *job, e *engine) int { return p.report[e] + p.sent[j.gate][e] }

func (p *leastOutstanding) ended(_ *sim, j *job, _ ending) {
	if j.at != nil {
		p.mine[j.gate][j.at]--
	}
}

// hostTiers keeps a queue by tier at each host alone and sends at most the
// host's part of each engine's window.
type hostTiers struct {
	direct
	least  *leastOutstanding
	queues [hosts][3][]*job
}

func (p *hostTiers) arrive(s *sim, j *job) {
	p.queues[j.gate][j.tier] = append(p.queues[j.gate][j.tier], j)
	s.score.trace.queue(j, s.fitting(j))
	p.drain(s, j.gate)
}

func (p *hostTiers) drain(s *sim, host int) {
	for tier := range p.queues[host] {
		var left []*job
		for _, j := range p.queues[host][tier] {
			if j.ended {
				continue
			}
			e := p.least.pick(s, j, func(e *engine) bool {
				return p.least.mine[host][e] < (2*e.spec.window+hosts-1)/hosts
			})
			if e == nil {
				left = append(left, j)
				continue
			}
			p.least.send(s, j, e)
		}
		p.queues[host][tier] = left
	}
}

func (p *hostTiers) ended(s *sim, j *job, how ending) {
	p.least.ended(s, j, how)
	p.drain(s, j.gate)
}

// fitting lists the engines that fit j and are not known to be down.
func (s *sim) fitting(j *job) []tables.TargetID {
	var out []tables.TargetID
	for _, e := range s.engines {
		if e.fits(j.class.service) && !e.down {
			out = append(out, e.id)
		}
	}
	return out
}

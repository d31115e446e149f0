package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	simHosts    = 13
	simWarmUpMS = 5000
	simPassMS   = 4
	simGapMS    = 20
	simAttempts = 3
	// simRestart is how long a target is down after a crash of its own.
	simRestart = 300 * time.Millisecond
	// simUtilization is the share of the slots in use on average.
	simUtilization = 0.55
)

// simRoute is a route of the simulated service.
type simRoute struct {
	name string
	// share is its part of the requests, failures that of its responses which fail at any
	// version.
	share, failures float64
	stream          bool
}

var simRoutes = []simRoute{{"chat", 0.5, 0.004, true}, {"embed", 0.28, 0, false}, {"tool", 0.12, 0.14, false}, {"batch", 0.1, 0.004, true}}

// simFault is what is wrong with the new version.
type simFault struct {
	failures float64
	// slow is the factor by which a share of the responses is slower.
	slow, slowShare float64
	// from is the fraction of the duration of the order after which the fault shows.
	from float64
	// load is the share of its slots in use above which a target shows the fault.
	load float64
	// route is the only route with the fault; empty for all.
	route string
	// crashes is the share of the requests under which a target crashes.
	crashes float64
}

// simCase is a simulated rollout.
type simCase struct {
	targets, slots int
	perSecond      float64
	duration       time.Duration
	fault          simFault
	bursts         bool
	// slowTarget makes one new target 3 times slower, failingTarget lets one fail 40%.
	slowTarget, failingTarget bool
	// crash is the share of all targets that crash at once, at crashAt of the duration.
	crash, crashAt float64
	// crashesPerSecond is how many targets of both versions crash apart from each other.
	crashesPerSecond float64
	// changeAt is the fraction of the duration at which the coordinator dies, allDie
	// whether all hosts do. Zero means never.
	changeAt float64
	allDie   bool
	// two lets two coordinators serve half of the hosts each.
	two bool
	// lost is the share of the reports of hosts that are lost.
	lost float64
	// neverStart keeps the new targets from being listed; noStore lets no record be stored.
	neverStart, noStore bool
}

// simClock is set by the simulation, which also runs what timers would.
type simClock struct {
	clockwork.Clock
	now time.Time
}

func (c *simClock) Now() time.Time                                  { return c.now }
func (c *simClock) AfterFunc(time.Duration, func()) clockwork.Timer { return nil }

type simTarget struct {
	fleet.Target
	speed, failures float64
	inUse, running  int
	waiting         []func()
	prefillFree     time.Time
	downUntil       time.Time
}

type simRequest struct {
	host, route, prompt, attempts int
	avoid                         []tables.TargetID
	id                            allocation.ID
	message                       slotRequestMessage
	at                            *Coordinator
	waiter                        *waiter
	sentAt                        time.Time
}

// simulation plays a rollout in virtual time without a network.
type simulation struct {
	simCase
	random   *rand.Rand
	clock    *simClock
	start    time.Time
	ordered  time.Time
	order    rollout.Order
	list     []fleet.Target
	targets  map[tables.TargetID]*simTarget
	serving  []*Coordinator
	due      map[int64][]func()
	pending  []*simRequest
	open     map[allocation.ID]*simRequest
	usage    [simHosts]rollout.Usage
	nextID   allocation.ID
	meanMS   float64
	stored   *rollout.Record
	written  rollout.Record
	deadTill time.Time

	all, exposed, bad int
	badAt             []time.Time
	lastExposed       time.Time
	verdict           rollout.Phase
	reason            rollout.Reason
	verdictAt         time.Time
	oldLeft           int
	refused           int
	verdicts          int
}

var simBounds = rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}

func (s *simulation) Config() *fleet.Config   { return nil }
func (s *simulation) Targets() []fleet.Target { return slices.Clone(s.list) }

func newSimulation(c simCase, seed uint64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	s := &simulation{
		simCase: c, random: rand.New(rand.NewPCG(seed, 77)), clock: &simClock{clockwork.NewRealClock(), start}, start: start,
		targets: make(map[tables.TargetID]*simTarget), due: make(map[int64][]func()), open: make(map[allocation.ID]*simRequest),
	}
	s.meanMS = min(1200, 1000*simUtilization*float64(c.targets*c.slots)/c.perSecond)
	for i := range c.targets {
		s.addTarget(fmt.Sprint("old", i), "v1", time.Time{})
	}
	count := 1
	if c.two {
		count = 2
	}
	for range count {
		s.serving = append(s.serving, s.newCoordinator())
	}
	return s
}

func (s *simulation) newCoordinator() *Coordinator {
	share := func() float64 { return 1 / float64(len(s.serving)) }
	c := NewCoordinator(s, Policy{}, s.random.Float64, share, func() int { return 1 }, s.clock, zap.NewNop())
	c.ReloadTargets(allocation.Estimates{})
	return c
}

func (s *simulation) addTarget(id string, version tables.SoftwareVersion, coldUntil time.Time) *simTarget {
	t := &simTarget{speed: 0.8 + 0.8*s.random.Float64()}
	t.Target = fleet.Target{ID: tables.TargetID(id), Service: "s", Address: id, Domain: "d", Slots: s.slots, Version: version, ColdUntil: coldUntil}
	s.targets[t.ID] = t
	s.list = append(s.list, t.Target)
	return t
}

func (s *simulation) reload() {
	for _, c := range s.serving {
		c.ReloadTargets(allocation.Estimates{})
	}
}

func (s *simulation) after(d time.Duration, f func()) {
	at := s.clock.now.Add(d).Sub(s.start).Milliseconds()
	at = max(at, s.clock.now.Sub(s.start).Milliseconds()+1)
	s.due[at] = append(s.due[at], f)
}

func (s *simulation) ms(low, high int) time.Duration {
	return time.Duration(low+s.random.IntN(high-low)) * time.Millisecond
}

// run plays the rollout until a second after its deadline.
func (s *simulation) run() {
	endMS := simWarmUpMS + s.duration.Milliseconds() + 1500
	for ms := int64(0); ms < endMS; ms++ {
		s.clock.now = s.start.Add(time.Duration(ms) * time.Millisecond)
		due := s.due[ms]
		delete(s.due, ms)
		for _, f := range due {
			f()
		}
		if ms == simWarmUpMS {
			s.begin()
		}
		s.arrivals(ms)
		if s.random.Float64() < s.crashesPerSecond/1000 {
			s.crashTarget(s.list[s.random.IntN(len(s.list))].ID, simRestart)
		}
		if ms%simPassMS == 0 {
			s.pass()
		}
		if ms%50 == 0 {
			for _, c := range s.serving {
				c.advanceRollouts()
			}
			s.store()
		}
		for host := range simHosts {
			if ms%1000 == int64(host*1000/simHosts) {
				s.reconcile(host)
			}
		}
	}
}

func (s *simulation) arrivals(ms int64) {
	rate := s.perSecond / 1000
	if s.bursts && ms%3000 > 2400 {
		rate *= 3
	}
	if s.clock.now.Before(s.deadTill) {
		return
	}
	n := int(rate)
	if s.random.Float64() < rate-float64(n) {
		n++
	}
	for range n {
		r := &simRequest{host: s.random.IntN(simHosts), route: s.pickRoute(), prompt: int(600 * math.Exp(0.6*s.random.NormFloat64()))}
		s.attempt(r)
	}
}

func (s *simulation) pickRoute() int {
	x := s.random.Float64()
	for i, r := range simRoutes {
		if x -= r.share; x < 0 {
			return i
		}
	}
	return 0
}

func (s *simulation) coordinatorOf(host int) *Coordinator { return s.serving[host%len(s.serving)] }

func (s *simulation) attempt(r *simRequest) {
	r.attempts++
	s.nextID++
	r.id = s.nextID
	r.at = s.coordinatorOf(r.host)
	r.message = slotRequestMessage{
		ID: r.id, Request: fmt.Sprint(r.id), Host: s.hostID(r.host), Domain: "d", Service: "s", PromptTokens: r.prompt,
		FirstByteBudgetMS: 600, EventGapSLOMS: 250, MaxWaitMS: 1500, Avoid: r.avoid, Fingerprint: tables.Fingerprint(r.id), Route: simRoutes[r.route].name,
	}
	w, err := r.at.enqueue(r.message, s.clock.Now())
	if err != nil {
		return
	}
	r.waiter = w
	s.pending = append(s.pending, r)
}

func (s *simulation) hostID(host int) tables.HostID { return tables.HostID(fmt.Sprint("h", host)) }

func (s *simulation) pass() {
	for _, c := range s.serving {
		c.mu.Lock()
		c.armed = false
		c.runPass()
		c.mu.Unlock()
	}
	waiting := s.pending[:0]
	for _, r := range s.pending {
		select {
		case d := <-r.waiter.done:
			s.handle(r, d)
		default:
			waiting = append(waiting, r)
		}
	}
	s.pending = waiting
}

func (s *simulation) handle(r *simRequest, d allocation.Decision) {
	g, err := r.at.respond(r.message, d)
	if err != nil {
		s.refused++
		return
	}
	s.open[r.id] = r
	r.sentAt = s.clock.now
	if s.inOrder() {
		s.all++
		s.usage[r.host].Requests++
		if *g.Version == "v2" {
			s.exposed++
			s.lastExposed = s.clock.now
			s.usage[r.host].Exposed++
		}
	}
	s.serve(r, s.targets[g.Target])
}

func (s *simulation) inOrder() bool {
	return !s.ordered.IsZero() && s.clock.now.Before(s.ordered.Add(s.duration))
}

// faulty reports whether the fault of the new version shows.
func (s *simulation) faulty(r *simRequest, t *simTarget) bool {
	f := s.fault
	from := s.ordered.Add(time.Duration(f.from * float64(s.duration)))
	return t.Version == "v2" && !s.clock.now.Before(from) && (f.route == "" || f.route == simRoutes[r.route].name) &&
		float64(t.inUse) >= f.load*float64(t.Slots)
}

// serve plays the response of a target.
func (s *simulation) serve(r *simRequest, t *simTarget) {
	t.inUse++
	begin := func() {
		t.running++
		s.respond(r, t)
	}
	if t.running >= t.Slots {
		t.waiting = append(t.waiting, begin)
		return
	}
	begin()
}

// respond plays the response once the target has a slot. sentAt is the time of the grant.
func (s *simulation) respond(r *simRequest, t *simTarget) {
	route := simRoutes[r.route]
	failures, slow := route.failures, t.speed
	if s.faulty(r, t) && s.random.Float64() < s.fault.crashes {
		s.recordBad(r)
		s.crashTarget(t.ID, simRestart)
		return
	}
	if t.failures > failures {
		failures = t.failures
	}
	slowed := false
	if s.faulty(r, t) {
		failures = 1 - (1-failures)*(1-s.fault.failures)
		if s.random.Float64() < s.fault.slowShare {
			slow *= s.fault.slow
			slowed = true
		}
	}
	if s.clock.now.Before(t.ColdUntil) {
		slow *= 2
	}
	if s.clock.now.Before(t.downUntil) {
		s.after(5*time.Millisecond, func() { s.end(r, t, releaseReport{Outcome: allocation.Unsent}) })
		return
	}
	sent := s.clock.now
	waited := sent.Sub(r.sentAt)
	failed := s.random.Float64() < failures
	if failed && t.Version == "v2" || slowed {
		s.after(s.ms(20, 60), func() { s.recordBad(r) })
	}
	if failed {
		s.after(s.ms(20, 60), func() { s.end(r, t, releaseReport{Outcome: allocation.Failed}) })
		return
	}
	prefilled := sent
	if t.prefillFree.After(sent) {
		prefilled = t.prefillFree
	}
	prefilled = prefilled.Add(time.Duration(slow * float64(r.prompt) * 7 * float64(time.Microsecond)))
	t.prefillFree = prefilled
	firstByte := prefilled.Sub(sent) + time.Duration(slow*35*math.Exp(0.3*s.random.NormFloat64())*float64(time.Millisecond))
	rest := slow * s.meanMS * (0.4 + 1.2*s.random.Float64()) * (0.8 + 0.3*float64(t.inUse)/float64(t.Slots))
	gap := 0.0
	if route.stream {
		gap = slow * simGapMS * (0.8 + 0.3*float64(t.inUse)/float64(t.Slots)) * math.Exp(0.1*s.random.NormFloat64())
	}
	s.after(firstByte, func() {
		if s.open[r.id] == r && s.random.Float64() >= s.lost {
			r.at.Report(reportMessage{FirstBytes: []firstByteReport{{ID: r.id, TookMS: toMS(firstByte + waited)}}})
		}
	})
	s.after(firstByte+time.Duration(rest*float64(time.Millisecond)), func() {
		s.end(r, t, releaseReport{Outcome: allocation.Succeeded, MeanEventGapMS: gap})
	})
}

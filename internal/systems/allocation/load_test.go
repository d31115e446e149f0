package allocation_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// requestKind is one kind of request in the simulated load.
type requestKind struct {
	urgency         int
	perSecond       float64
	promptTokens    int
	events          int
	firstByteSLO    time.Duration
	offered, onTime int
	late            int
}

// requestMix returns the request kinds of a service that generates long
// reports, short answers and tags.
func requestMix() []*requestKind {
	return []*requestKind{
		{urgency: 0, perSecond: 46, promptTokens: 6600, events: 55, firstByteSLO: 400 * time.Millisecond},
		{urgency: 1, perSecond: 43, promptTokens: 690, events: 42, firstByteSLO: 250 * time.Millisecond},
		{urgency: 2, perSecond: 95, promptTokens: 1860, events: 3, firstByteSLO: 250 * time.Millisecond},
	}
}

// The simulated engines: one third take 4.4 times as long as the others.
const (
	engines            = 18
	engineSlots        = 11
	fastEngineSlowdown = 0.68
	slowEngineSlowdown = 3.0
	decodeStepMS       = 3.55
	prefillTokensPerMS = 157.0
	baseFirstByteMS    = 26.0
	tokensPerEvent     = 7
	maxAttempts        = 2
)

// simulation runs a load in virtual time, in steps of one millisecond.
type simulation struct {
	scheduler *allocation.Scheduler
	random    *rand.Rand
	nowMS     int
	nextID    allocation.ID
	kinds     []*requestKind
	// prefilledAt is when each engine will have processed the prompts sent to it,
	// in ms.
	prefilledAt map[tables.TargetID]float64
	// due holds the functions to run, by time in ms.
	due map[int][]func()
	// onTimeBySecond and offeredBySecond count requests by the second of their
	// first attempt.
	onTimeBySecond, offeredBySecond map[int]int
	down                            map[tables.TargetID]bool
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), kinds: requestMix(),
		prefilledAt: make(map[tables.TargetID]float64), due: make(map[int][]func()),
		onTimeBySecond: make(map[int]int), offeredBySecond: make(map[int]int), down: make(map[tables.TargetID]bool),
	}
	s.scheduler = allocation.NewScheduler(s.random.Float64)
	var all []fleet.Target
	for i := range engines {
		id := tables.TargetID(string(rune('a' + i)))
		all = append(all, fleet.Target{ID: id, Service: "model", Address: string(id), Domain: "d", Slots: engineSlots})
	}
	s.scheduler.SetTargets(all)
	return s
}

func slowdownOf(id tables.TargetID) float64 {
	if (id[0]-'a')%3 == 2 {
		return slowEngineSlowdown
	}
	return fastEngineSlowdown
}

func (s *simulation) after(ms float64, f func()) {
	at := s.nowMS + max(int(ms), 1)
	s.due[at] = append(s.due[at], f)
}

// run simulates requests until a time in ms. load multiplies the rates of
// requestMix.
func (s *simulation) run(untilMS int, load float64) {
	for ; s.nowMS < untilMS; s.nowMS++ {
		for _, f := range s.due[s.nowMS] {
			f()
		}
		delete(s.due, s.nowMS)
		for _, k := range s.kinds {
			if s.random.Float64() < k.perSecond*load/1000 {
				k.offered++
				s.offeredBySecond[s.nowMS/1000]++
				s.attempt(k, s.nowMS, 1)
			}
		}
		for _, d := range s.scheduler.Schedule(at(s.nowMS)) {
			s.handle(d)
		}
	}
}

type attempt struct {
	kind      *requestKind
	arrivedMS int
	try       int
}

var attempts = map[allocation.ID]attempt{}

func (s *simulation) attempt(k *requestKind, arrivedMS, try int) {
	s.nextID++
	attempts[s.nextID] = attempt{k, arrivedMS, try}
	s.scheduler.Enqueue(&allocation.SlotRequest{
		ID: s.nextID, Host: "h", Service: "model", Domain: "d", Urgency: k.urgency, PromptTokens: k.promptTokens,
		ArrivedAt: at(s.nowMS), FirstByteDue: at(s.nowMS).Add(k.firstByteSLO), QueueDeadline: at(s.nowMS + 1500),
		EventGapSLO: 250 * time.Millisecond, Retried: try > 1, RetriedAsAdvised: try > 1,
	})
}

func (s *simulation) handle(d allocation.Decision) {
	a := attempts[d.Request.ID]
	delete(attempts, d.Request.ID)
	switch {
	case d.Target != "" && s.down[d.Target]:
		s.scheduler.Release(at(s.nowMS), d.Request.ID, allocation.ConnectionLost)
		s.attempt(a.kind, a.arrivedMS, a.try)
	case d.Target != "":
		s.serve(d, a)
	case a.try < maxAttempts:
		s.after(float64(d.RetryAfter.Milliseconds()), func() { s.attempt(a.kind, a.arrivedMS, a.try+1) })
	}
}

// serve simulates the response of an engine that processes prompts one after the
// other.
func (s *simulation) serve(d allocation.Decision, a attempt) {
	slowdown := slowdownOf(d.Target)
	prefilled := max(s.prefilledAt[d.Target], float64(s.nowMS)) + slowdown*float64(a.kind.promptTokens)/prefillTokensPerMS
	s.prefilledAt[d.Target] = prefilled
	firstByte := prefilled - float64(s.nowMS) + slowdown*(baseFirstByteMS+tokensPerEvent*decodeStepMS)
	sentMS := s.nowMS
	s.after(firstByte, func() {
		s.scheduler.RecordFirstByte(at(s.nowMS), d.Request.ID, time.Duration(s.nowMS-sentMS)*time.Millisecond)
		if time.Duration(s.nowMS-a.arrivedMS)*time.Millisecond <= a.kind.firstByteSLO {
			a.kind.onTime++
			s.onTimeBySecond[a.arrivedMS/1000]++
		} else {
			a.kind.late++
		}
	})
	gap := slowdown * tokensPerEvent * decodeStepMS
	s.after(firstByte+gap*float64(a.kind.events-1), func() {
		s.scheduler.RecordEventGap(d.Request.ID, time.Duration(gap*float64(time.Millisecond)))
		s.scheduler.Release(at(s.nowMS), d.Request.ID, allocation.Succeeded)
	})
}

func (k *requestKind) onTimeShare() float64 { return float64(k.onTime) / float64(k.offered) }

func (s *simulation) onTimeShare(from, to int) float64 {
	onTime, offered := 0, 0
	for second := from; second < to; second++ {
		onTime += s.onTimeBySecond[second]
		offered += s.offeredBySecond[second]
	}
	return float64(onTime) / float64(offered)
}

var _ = Describe("A simulated load", func() {
	for _, seed := range []uint64{1, 2, 3} {
		It("meets its SLO at the nominal rate and at 1.25 times that rate", func() {
			s := newSimulation(seed)
			s.run(10_000, 1)
			Expect(s.onTimeShare(2, 9)).To(BeNumerically(">", 0.97))
			s.run(20_000, 1.25)
			Expect(s.onTimeShare(12, 19)).To(BeNumerically(">", 0.85))
		})

		It("keeps urgent requests within their SLO at twice the nominal rate and starves no kind", func() {
			s := newSimulation(seed)
			s.run(5_000, 1)
			for _, k := range s.kinds {
				k.offered, k.onTime, k.late = 0, 0, 0
			}
			s.run(12_000, 2)
			Expect(s.kinds[0].onTimeShare()).To(BeNumerically(">", 0.8))
			Expect(s.kinds[0].onTimeShare()).To(BeNumerically(">=", s.kinds[1].onTimeShare()))
			for _, k := range s.kinds {
				Expect(k.onTime + k.late).To(BeNumerically(">", k.offered/10))
			}
		})

		It("meets its SLO again three seconds after a burst", func() {
			s := newSimulation(seed)
			s.run(5_000, 1)
			s.run(9_000, 2.1)
			s.run(18_000, 1)
			Expect(s.onTimeShare(12, 17)).To(BeNumerically(">", 0.95))
		})

		It("meets its SLO after the loss of four of 18 engines", func() {
			s := newSimulation(seed)
			s.run(5_000, 1)
			for _, id := range []tables.TargetID{"a", "b", "c", "d"} {
				s.down[id] = true
			}
			s.run(12_000, 1)
			Expect(s.kinds[0].onTimeShare()).To(BeNumerically(">", 0.85))
			Expect(s.onTimeShare(8, 11)).To(BeNumerically(">", 0.8))
		})
	}
})

package place_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// kind is one kind of request in the played load.
type kind struct {
	urgency     int
	perSecond   float64
	prompt      int
	events      int
	aim         time.Duration
	asked, good int
	late        int
}

// mix is that of a site with long reports, short answers and tags.
func mix() []*kind {
	return []*kind{
		{urgency: 0, perSecond: 46, prompt: 6600, events: 55, aim: 400 * time.Millisecond},
		{urgency: 1, perSecond: 43, prompt: 690, events: 42, aim: 250 * time.Millisecond},
		{urgency: 2, perSecond: 95, prompt: 1860, events: 3, aim: 250 * time.Millisecond},
	}
}

// The engines of the played load: a third takes 4.4 times as long as the rest.
const (
	engines      = 18
	engineSlots  = 11
	fastSpeed    = 0.68
	slowSpeed    = 3.0
	stepMS       = 3.55
	tokensPerMS  = 157.0
	firstMS      = 26.0
	eventTokens  = 7
	clientReturn = 2
)

// played is a load in virtual time, at steps of a millisecond.
type played struct {
	table  *place.Table
	random *rand.Rand
	now    int
	nextID place.ID
	kinds  []*kind
	// reads is when each engine has read the prompts it was given, in ms.
	reads map[tables.TargetID]float64
	due   map[int][]func()
	// timely and offered count requests by the second of their first attempt.
	timely, offered map[int]int
	down            map[tables.TargetID]bool
}

func play(seed uint64) *played {
	p := &played{
		random: rand.New(rand.NewPCG(seed, 1)), kinds: mix(),
		reads: make(map[tables.TargetID]float64), due: make(map[int][]func()),
		timely: make(map[int]int), offered: make(map[int]int), down: make(map[tables.TargetID]bool),
	}
	p.table = place.NewTable(p.random.Float64)
	var all []fleet.Target
	for i := range engines {
		id := tables.TargetID(string(rune('a' + i)))
		all = append(all, fleet.Target{ID: id, Service: "model", Address: string(id), Domain: "d", Slots: engineSlots})
	}
	p.table.SetTargets(all)
	return p
}

func speedOf(id tables.TargetID) float64 {
	if (id[0]-'a')%3 == 2 {
		return slowSpeed
	}
	return fastSpeed
}

func (p *played) after(ms float64, f func()) {
	at := p.now + max(int(ms), 1)
	p.due[at] = append(p.due[at], f)
}

// run plays until a time in ms; x multiplies the load of the mix.
func (p *played) run(until int, x float64) {
	for ; p.now < until; p.now++ {
		for _, f := range p.due[p.now] {
			f()
		}
		delete(p.due, p.now)
		for _, k := range p.kinds {
			if p.random.Float64() < k.perSecond*x/1000 {
				k.asked++
				p.offered[p.now/1000]++
				p.attempt(k, p.now, 1)
			}
		}
		for _, d := range p.table.Step(at(p.now)) {
			p.decided(d)
		}
	}
}

type attempt struct {
	kind *kind
	came int
	try  int
}

var attempts = map[place.ID]attempt{}

func (p *played) attempt(k *kind, came, try int) {
	p.nextID++
	attempts[p.nextID] = attempt{k, came, try}
	p.table.Add(&place.Ask{
		ID: p.nextID, Host: "h", Service: "model", Domain: "d", Urgency: k.urgency, Prompt: k.prompt,
		Came: at(p.now), AimAt: at(p.now).Add(k.aim), HoldUntil: at(p.now + 1500),
		GapAim: 250 * time.Millisecond, Late: try > 1, Returned: try > 1,
	})
}

func (p *played) decided(d place.Decision) {
	a := attempts[d.Ask.ID]
	delete(attempts, d.Ask.ID)
	switch {
	case d.Target != "" && p.down[d.Target]:
		p.table.End(at(p.now), d.Ask.ID, place.Broken)
		p.attempt(a.kind, a.came, a.try)
	case d.Target != "":
		p.serve(d, a)
	case a.try < clientReturn:
		p.after(float64(d.RetryAfter.Milliseconds()), func() { p.attempt(a.kind, a.came, a.try+1) })
	}
}

// serve plays an engine that reads prompts one after the other.
func (p *played) serve(d place.Decision, a attempt) {
	speed := speedOf(d.Target)
	read := max(p.reads[d.Target], float64(p.now)) + speed*float64(a.kind.prompt)/tokensPerMS
	p.reads[d.Target] = read
	first := read - float64(p.now) + speed*(firstMS+eventTokens*stepMS)
	sent := p.now
	p.after(first, func() {
		p.table.First(at(p.now), d.Ask.ID, time.Duration(p.now-sent)*time.Millisecond)
		if time.Duration(p.now-a.came)*time.Millisecond <= a.kind.aim {
			a.kind.good++
			p.timely[a.came/1000]++
		} else {
			a.kind.late++
		}
	})
	pause := speed * eventTokens * stepMS
	p.after(first+pause*float64(a.kind.events-1), func() {
		p.table.Paused(d.Ask.ID, time.Duration(pause*float64(time.Millisecond)))
		p.table.End(at(p.now), d.Ask.ID, place.Good)
	})
}

func (k *kind) share() float64 { return float64(k.good) / float64(k.asked) }

func (p *played) shareFrom(from, to int) float64 {
	timely, offered := 0, 0
	for s := from; s < to; s++ {
		timely += p.timely[s]
		offered += p.offered[s]
	}
	return float64(timely) / float64(offered)
}

var _ = Describe("A played load", func() {
	for _, seed := range []uint64{1, 2, 3} {
		It("is served in time at the usual rate and at a quarter more", func() {
			p := play(seed)
			p.run(10_000, 1)
			Expect(p.shareFrom(2, 9)).To(BeNumerically(">", 0.97))
			p.run(20_000, 1.25)
			Expect(p.shareFrom(12, 19)).To(BeNumerically(">", 0.85))
		})

		It("keeps urgent requests in time at twice the usual rate, and starves none", func() {
			p := play(seed)
			p.run(5_000, 1)
			for _, k := range p.kinds {
				k.asked, k.good, k.late = 0, 0, 0
			}
			p.run(12_000, 2)
			Expect(p.kinds[0].share()).To(BeNumerically(">", 0.8))
			Expect(p.kinds[0].share()).To(BeNumerically(">=", p.kinds[1].share()))
			for _, k := range p.kinds {
				Expect(k.good + k.late).To(BeNumerically(">", k.asked/10))
			}
		})

		It("is back in time within three seconds of the end of a burst", func() {
			p := play(seed)
			p.run(5_000, 1)
			p.run(9_000, 2.1)
			p.run(18_000, 1)
			Expect(p.shareFrom(12, 17)).To(BeNumerically(">", 0.95))
		})

		It("bears the loss of a quarter of the engines", func() {
			p := play(seed)
			p.run(5_000, 1)
			for _, id := range []tables.TargetID{"a", "b", "c", "d"} {
				p.down[id] = true
			}
			p.run(12_000, 1)
			Expect(p.kinds[0].share()).To(BeNumerically(">", 0.85))
			Expect(p.shareFrom(8, 11)).To(BeNumerically(">", 0.8))
		})
	}
})

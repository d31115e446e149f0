package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func noRandom() float64 { return 0 }

func targets(slots int, ids ...tables.TargetID) []fleet.Target {
	var out []fleet.Target
	for _, id := range ids {
		out = append(out, fleet.Target{ID: id, Service: "model", Address: "127.0.0.1:1", Domain: "a", Slots: slots})
	}
	return out
}

// ask returns an ask that came at a time in milliseconds, with an aim of 400 ms
// and a hold of 1.5 s.
func ask(id place.ID, ms int) *place.Ask {
	return &place.Ask{
		ID: id, Host: "h1", Service: "model", Domain: "a", Prompt: 600,
		Came: at(ms), AimAt: at(ms + 400), HoldUntil: at(ms + 1500),
	}
}

// warmed returns a table whose targets have answered, so that all their slots
// are in use.
func warmed(slots int, ids ...tables.TargetID) *place.Table {
	table := place.NewTable(noRandom)
	speeds := make(map[tables.TargetID]float64)
	for _, id := range ids {
		speeds[id] = 1
	}
	table.SetTargets(targets(slots, ids...))
	table.Adopt(place.Learned{Speeds: speeds})
	return table
}

func granted(decisions []place.Decision) map[place.ID]tables.TargetID {
	out := make(map[place.ID]tables.TargetID)
	for _, d := range decisions {
		if d.Target != "" {
			out[d.Ask.ID] = d.Target
		}
	}
	return out
}

func refused(decisions []place.Decision) []place.ID {
	var out []place.ID
	for _, d := range decisions {
		if d.Target == "" {
			out = append(out, d.Ask.ID)
		}
	}
	return out
}

var _ = Describe("Giving places", func() {
	It("uses no more slots than a target has, and the freed one next", func() {
		table := warmed(2, "t1")
		for id := place.ID(1); id <= 3; id++ {
			table.Add(ask(id, 0))
		}
		Expect(granted(table.Step(at(0)))).To(HaveLen(2))
		Expect(table.Step(at(10))).To(BeEmpty())
		table.End(at(20), 1, place.Good)
		Expect(granted(table.Step(at(20)))).To(HaveKey(place.ID(3)))
	})

	It("spreads requests by the prompts that are still to be read", func() {
		table := warmed(8, "t1", "t2")
		long := ask(1, 0)
		long.Prompt = 20000
		table.Add(long)
		first := granted(table.Step(at(0)))
		table.Add(ask(2, 1))
		second := granted(table.Step(at(1)))
		Expect(second[2]).NotTo(Equal(first[1]))
	})

	It("learns that a target is slow and prefers the others", func() {
		table := warmed(8, "t1", "t2")
		for id := place.ID(1); id <= 80; id += 2 {
			now := int(id) * 500
			table.Add(ask(id, now))
			table.Add(ask(id+1, now))
			for one, target := range granted(table.Step(at(now))) {
				took := 40 * time.Millisecond
				if target == "t2" {
					took = 200 * time.Millisecond
				}
				table.First(at(now).Add(took), one, took)
				table.End(at(now+300), one, place.Good)
			}
		}
		speeds := table.Learned().Speeds
		Expect(speeds["t2"]).To(BeNumerically(">", 3*speeds["t1"]))
		table.Add(ask(100, 80_000))
		Expect(granted(table.Step(at(80_000)))).To(HaveKeyWithValue(place.ID(100), tables.TargetID("t1")))
	})

	It("learns the speed of a target from answers to requests that were sent together", func() {
		table := warmed(4, "t1")
		for id := place.ID(1); id <= 4; id++ {
			table.Add(ask(id, 0))
		}
		expected := make(map[place.ID]time.Duration)
		for _, d := range table.Step(at(0)) {
			expected[d.Ask.ID] = d.Expected.Sub(at(0))
		}
		for id := place.ID(1); id <= 4; id++ {
			took := 3 * expected[id]
			table.First(at(0).Add(took), id, took)
		}
		Expect(table.Learned().Speeds["t1"]).To(BeNumerically("~", 3, 0.5))
	})

	It("rests a target whose connections break, and tries it again", func() {
		table := warmed(4, "t1")
		table.Add(ask(1, 0))
		Expect(granted(table.Step(at(0)))).To(HaveLen(1))
		table.End(at(5), 1, place.Broken)
		table.Add(ask(2, 10))
		Expect(table.Step(at(10))).To(BeEmpty())
		Expect(granted(table.Step(at(320)))).To(HaveKey(place.ID(2)))
	})

	It("never gives a place at a target that leaves or that failed the request", func() {
		table := warmed(4, "t1", "t2")
		leaving := targets(4, "t1", "t2")
		leaving[0].Leaving = true
		table.SetTargets(leaving)
		avoiding := ask(1, 0)
		avoiding.Avoid = []tables.TargetID{"t2"}
		table.Add(avoiding)
		Expect(granted(table.Step(at(0)))).To(BeEmpty())
	})

	It("refuses at once when the service has no target", func() {
		table := place.NewTable(noRandom)
		table.Add(ask(1, 0))
		decisions := table.Step(at(0))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Reason).To(Equal(place.NoTargets))
		Expect(decisions[0].RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("The queue", func() {
	// fill takes every place of a table with one target.
	fill := func(table *place.Table, slots int) {
		for i := range slots {
			table.Add(ask(place.ID(1000+i), 0))
		}
		Expect(granted(table.Step(at(0)))).To(HaveLen(slots))
	}

	It("serves tiers first, then urgency, then the earlier aim", func() {
		table := warmed(1, "t1")
		fill(table, 1)
		low, urgent, high := ask(1, 1), ask(2, 2), ask(3, 3)
		low.Tier, urgent.Tier, high.Tier = 1, 1, 0
		low.Urgency, urgent.Urgency = 2, 0
		for _, a := range []*place.Ask{low, urgent, high} {
			table.Add(a)
		}
		var order []place.ID
		last := place.ID(1000)
		for ms := 10; len(order) < 3; ms += 10 {
			table.End(at(ms), last, place.Good)
			for id := range granted(table.Step(at(ms))) {
				order = append(order, id)
				last = id
			}
		}
		Expect(order).To(Equal([]place.ID{3, 2, 1}))
	})

	It("serves customers within their rate before one above it, tier by tier", func() {
		table := warmed(1, "t1")
		fill(table, 1)
		above, within, lower := ask(1, 1), ask(2, 2), ask(3, 3)
		above.Above, lower.Tier = true, 1
		for _, a := range []*place.Ask{lower, above, within} {
			table.Add(a)
		}
		table.End(at(10), 1000, place.Good)
		Expect(granted(table.Step(at(10)))).To(HaveKey(place.ID(2)))
		table.End(at(20), 2, place.Good)
		Expect(granted(table.Step(at(20)))).To(HaveKey(place.ID(1)))
	})

	It("lets requests that can be in time pass those that are late", func() {
		table := warmed(1, "t1")
		fill(table, 1)
		table.Add(ask(1, 0))
		Expect(table.Step(at(600))).To(BeEmpty())
		table.Add(ask(2, 600))
		table.End(at(610), 1000, place.Good)
		Expect(granted(table.Step(at(610)))).To(HaveKey(place.ID(2)))
	})

	It("serves a caller who came back as told before other late ones", func() {
		table := warmed(2, "t1")
		fill(table, 2)
		late, returned := ask(1, 0), ask(2, 500)
		returned.Late, returned.Returned = true, true
		table.Add(late)
		Expect(table.Step(at(500))).To(BeEmpty())
		table.Add(returned)
		table.First(at(600), 1000, 100*time.Millisecond)
		table.First(at(600), 1001, 100*time.Millisecond)
		table.End(at(600), 1000, place.Good)
		Expect(granted(table.Step(at(600)))).To(HaveKey(place.ID(2)))
	})

	It("refuses what has waited to the end of its hold, and not before", func() {
		table := warmed(1, "t1")
		fill(table, 1)
		table.Add(ask(1, 0))
		Expect(table.Step(at(1499))).To(BeEmpty())
		decisions := table.Step(at(1500))
		Expect(refused(decisions)).To(Equal([]place.ID{1}))
		Expect(decisions[0].Reason).To(Equal(place.TooLate))
	})

	It("tells refused callers to come back one after the other", func() {
		table := warmed(1, "t1")
		fill(table, 1)
		for id := place.ID(1); id <= 4; id++ {
			table.Add(ask(id, 0))
		}
		var advice []time.Duration
		for _, d := range table.Step(at(1500)) {
			advice = append(advice, d.RetryAfter)
		}
		Expect(advice).To(HaveLen(4))
		for i := 1; i < len(advice); i++ {
			Expect(advice[i]).To(BeNumerically(">", advice[i-1]))
		}
	})

	It("bounds how many late requests wait", func() {
		table := warmed(4, "t1")
		fill(table, 4)
		for id := place.ID(1); id <= 6; id++ {
			table.Add(ask(id, 0))
		}
		// Half of the four slots may be waited for.
		Expect(refused(table.Step(at(600)))).To(HaveLen(4))
		Expect(table.Waiting()).To(Equal(2))
	})

	It("forgets what a host asked for and holds when it is gone", func() {
		table := warmed(1, "t1")
		fill(table, 1)
		table.Add(ask(1, 0))
		table.Forget(at(10), "h1")
		Expect(table.Waiting()).To(BeZero())
		Expect(table.InUse()).To(BeZero())
	})
})

var _ = Describe("A new home", func() {
	It("starts with what the one before has learned of targets it knows already", func() {
		table := place.NewTable(noRandom)
		table.SetTargets(targets(8, "t1"))
		table.Adopt(place.Learned{Speeds: map[tables.TargetID]float64{"t1": 3}})
		for id := place.ID(1); id <= 6; id++ {
			table.Add(ask(id, 0))
		}
		// A target that nothing is known of would get two.
		Expect(len(granted(table.Step(at(0))))).To(BeNumerically(">", 2))
		Expect(table.Learned().Speeds).To(HaveKeyWithValue(tables.TargetID("t1"), 3.0))
	})
})

var _ = Describe("Reconciling", func() {
	It("frees a place whose end was never heard, and keeps a new one", func() {
		table := warmed(2, "t1")
		table.Add(ask(1, 0))
		table.Step(at(0))
		table.Add(ask(2, 1500))
		table.Step(at(1500))
		table.Reconcile(at(1600), "h1", nil)
		Expect(table.InUse()).To(Equal(1))
	})

	It("takes over the places that another home has given", func() {
		table := warmed(1, "t1")
		held := []place.Held{{Ask: ask(7, 0), Target: "t1"}}
		table.Reconcile(at(0), "h1", held)
		table.Reconcile(at(0), "h1", held)
		Expect(table.InUse()).To(Equal(1))
		table.Add(ask(8, 10))
		Expect(granted(table.Step(at(10)))).To(BeEmpty())
		table.End(at(20), 7, place.Good)
		Expect(granted(table.Step(at(20)))).To(HaveKey(place.ID(8)))
	})
})

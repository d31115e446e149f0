package allocation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestAllocation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "allocation")
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

// slotRequest returns a request that arrived at a time in ms. Its first byte
// is due 400 ms later, and it is refused after 1.5 s in the queue.
func slotRequest(id allocation.ID, ms int) *allocation.SlotRequest {
	return &allocation.SlotRequest{
		ID: id, Host: "h1", Service: "model", Domain: "a", PromptTokens: 600,
		ArrivedAt: at(ms), FirstByteDue: at(ms + 400), QueueDeadline: at(ms + 1500),
	}
}

// warmScheduler returns a scheduler with estimates for its targets, so that all their
// slots can be granted.
func warmScheduler(slots int, ids ...tables.TargetID) *allocation.Scheduler {
	scheduler := allocation.NewScheduler(noRandom)
	slowdowns := make(map[tables.TargetID]float64)
	for _, id := range ids {
		slowdowns[id] = 1
	}
	scheduler.SetTargets(targets(slots, ids...))
	scheduler.ImportEstimates(allocation.Estimates{Slowdowns: slowdowns})
	return scheduler
}

func granted(decisions []allocation.Decision) map[allocation.ID]tables.TargetID {
	out := make(map[allocation.ID]tables.TargetID)
	for _, d := range decisions {
		if d.Target != "" {
			out[d.Request.ID] = d.Target
		}
	}
	return out
}

func refused(decisions []allocation.Decision) []allocation.ID {
	var out []allocation.ID
	for _, d := range decisions {
		if d.Target == "" {
			out = append(out, d.Request.ID)
		}
	}
	return out
}

var _ = Describe("Granting slots", func() {
	It("grants no more slots than a target has, and grants a released slot again", func() {
		scheduler := warmScheduler(2, "t1")
		for id := allocation.ID(1); id <= 3; id++ {
			scheduler.Enqueue(slotRequest(id, 0))
		}
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(2))
		Expect(scheduler.Schedule(at(10))).To(BeEmpty())
		scheduler.Release(at(20), 1, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(20)))).To(HaveKey(allocation.ID(3)))
	})

	It("prefers a target without unprocessed prompts", func() {
		scheduler := warmScheduler(8, "t1", "t2")
		longPrompt := slotRequest(1, 0)
		longPrompt.PromptTokens = 20000
		scheduler.Enqueue(longPrompt)
		first := granted(scheduler.Schedule(at(0)))
		scheduler.Enqueue(slotRequest(2, 1))
		second := granted(scheduler.Schedule(at(1)))
		Expect(second[2]).NotTo(Equal(first[1]))
	})

	It("detects a slow target and prefers the others", func() {
		scheduler := warmScheduler(8, "t1", "t2")
		for id := allocation.ID(1); id <= 80; id += 2 {
			now := int(id) * 500
			scheduler.Enqueue(slotRequest(id, now))
			scheduler.Enqueue(slotRequest(id+1, now))
			for grantedID, target := range granted(scheduler.Schedule(at(now))) {
				took := 40 * time.Millisecond
				if target == "t2" {
					took = 200 * time.Millisecond
				}
				scheduler.RecordFirstByte(at(now).Add(took), grantedID, took)
				scheduler.Release(at(now+300), grantedID, allocation.Succeeded)
			}
		}
		slowdowns := scheduler.Estimates().Slowdowns
		Expect(slowdowns["t2"]).To(BeNumerically(">", 3*slowdowns["t1"]))
		scheduler.Enqueue(slotRequest(100, 80_000))
		Expect(granted(scheduler.Schedule(at(80_000)))).To(HaveKeyWithValue(allocation.ID(100), tables.TargetID("t1")))
	})

	It("estimates the slowdown of a target from concurrent requests", func() {
		scheduler := warmScheduler(4, "t1")
		for id := allocation.ID(1); id <= 4; id++ {
			scheduler.Enqueue(slotRequest(id, 0))
		}
		expected := make(map[allocation.ID]time.Duration)
		for _, d := range scheduler.Schedule(at(0)) {
			expected[d.Request.ID] = d.ExpectedFirstByte.Sub(at(0))
		}
		for id := allocation.ID(1); id <= 4; id++ {
			took := 3 * expected[id]
			scheduler.RecordFirstByte(at(0).Add(took), id, took)
		}
		Expect(scheduler.Estimates().Slowdowns["t1"]).To(BeNumerically("~", 3, 0.5))
	})

	It("ejects a target after a broken connection and uses it again later", func() {
		scheduler := warmScheduler(4, "t1")
		scheduler.Enqueue(slotRequest(1, 0))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		scheduler.Release(at(5), 1, allocation.ConnectionLost)
		scheduler.Enqueue(slotRequest(2, 10))
		Expect(scheduler.Schedule(at(10))).To(BeEmpty())
		Expect(granted(scheduler.Schedule(at(320)))).To(HaveKey(allocation.ID(2)))
	})

	It("grants no slot at a target that is leaving or that failed the request", func() {
		scheduler := warmScheduler(4, "t1", "t2")
		leaving := targets(4, "t1", "t2")
		leaving[0].Leaving = true
		scheduler.SetTargets(leaving)
		avoiding := slotRequest(1, 0)
		avoiding.Avoid = []tables.TargetID{"t2"}
		scheduler.Enqueue(avoiding)
		Expect(granted(scheduler.Schedule(at(0)))).To(BeEmpty())
	})

	It("grants no slot at a target that has started again for another service", func() {
		scheduler := warmScheduler(4, "t1", "t2")
		scheduler.Enqueue(slotRequest(1, 0))
		held := granted(scheduler.Schedule(at(0)))[1]
		changed := targets(4, "t1", "t2")
		for i := range changed {
			if changed[i].ID == held {
				changed[i].Service, changed[i].StartedAt = "other", at(100)
			}
		}
		scheduler.SetTargets(changed)
		for id := range 20 {
			scheduler.Enqueue(slotRequest(allocation.ID(10+id), 100))
		}
		for _, target := range granted(scheduler.Schedule(at(100))) {
			Expect(target).NotTo(Equal(held))
		}
	})

	It("refuses at once if the service has no target", func() {
		scheduler := allocation.NewScheduler(noRandom)
		scheduler.Enqueue(slotRequest(1, 0))
		decisions := scheduler.Schedule(at(0))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Reason).To(Equal(allocation.NoTargets))
		Expect(decisions[0].RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("The queue", func() {
	// fill grants every slot of a scheduler with one target.
	fill := func(scheduler *allocation.Scheduler, slots int) {
		for i := range slots {
			scheduler.Enqueue(slotRequest(allocation.ID(1000+i), 0))
		}
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(slots))
	}

	It("orders by tier, then by urgency, then by the time the first byte is due", func() {
		scheduler := warmScheduler(1, "t1")
		fill(scheduler, 1)
		low, urgent, high := slotRequest(1, 1), slotRequest(2, 2), slotRequest(3, 3)
		low.Tier, urgent.Tier, high.Tier = 1, 1, 0
		low.Urgency, urgent.Urgency = 2, 0
		for _, r := range []*allocation.SlotRequest{low, urgent, high} {
			scheduler.Enqueue(r)
		}
		var order []allocation.ID
		running := allocation.ID(1000)
		for ms := 10; len(order) < 3; ms += 10 {
			scheduler.Release(at(ms), running, allocation.Succeeded)
			for id := range granted(scheduler.Schedule(at(ms))) {
				order = append(order, id)
				running = id
			}
		}
		Expect(order).To(Equal([]allocation.ID{3, 2, 1}))
	})

	It("serves customers within their rate first, among requests of one tier", func() {
		scheduler := warmScheduler(1, "t1")
		fill(scheduler, 1)
		overRate, withinRate, lowerTier := slotRequest(1, 1), slotRequest(2, 2), slotRequest(3, 3)
		overRate.OverRate, lowerTier.Tier = true, 1
		for _, r := range []*allocation.SlotRequest{lowerTier, overRate, withinRate} {
			scheduler.Enqueue(r)
		}
		scheduler.Release(at(10), 1000, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(10)))).To(HaveKey(allocation.ID(2)))
		scheduler.Release(at(20), 2, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(20)))).To(HaveKey(allocation.ID(1)))
	})

	It("serves requests that can meet their SLO before late ones", func() {
		scheduler := warmScheduler(1, "t1")
		fill(scheduler, 1)
		scheduler.Enqueue(slotRequest(1, 0))
		Expect(scheduler.Schedule(at(600))).To(BeEmpty())
		scheduler.Enqueue(slotRequest(2, 600))
		scheduler.Release(at(610), 1000, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(610)))).To(HaveKey(allocation.ID(2)))
	})

	It("serves a late request that was retried after the advised wait before other late ones", func() {
		scheduler := warmScheduler(2, "t1")
		fill(scheduler, 2)
		late, retried := slotRequest(1, 0), slotRequest(2, 500)
		retried.Retried, retried.RetriedAsAdvised = true, true
		scheduler.Enqueue(late)
		Expect(scheduler.Schedule(at(500))).To(BeEmpty())
		scheduler.Enqueue(retried)
		scheduler.RecordFirstByte(at(600), 1000, 100*time.Millisecond)
		scheduler.RecordFirstByte(at(600), 1001, 100*time.Millisecond)
		scheduler.Release(at(600), 1000, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(600)))).To(HaveKey(allocation.ID(2)))
	})

	It("refuses a queued request at its queue deadline and not before", func() {
		scheduler := warmScheduler(1, "t1")
		fill(scheduler, 1)
		scheduler.Enqueue(slotRequest(1, 0))
		Expect(scheduler.Schedule(at(1499))).To(BeEmpty())
		decisions := scheduler.Schedule(at(1500))
		Expect(refused(decisions)).To(Equal([]allocation.ID{1}))
		Expect(decisions[0].Reason).To(Equal(allocation.TooLate))
	})

	It("advises each refused caller to wait longer than the one before", func() {
		scheduler := warmScheduler(1, "t1")
		fill(scheduler, 1)
		for id := allocation.ID(1); id <= 4; id++ {
			scheduler.Enqueue(slotRequest(id, 0))
		}
		var advice []time.Duration
		for _, d := range scheduler.Schedule(at(1500)) {
			advice = append(advice, d.RetryAfter)
		}
		Expect(advice).To(HaveLen(4))
		for i := 1; i < len(advice); i++ {
			Expect(advice[i]).To(BeNumerically(">", advice[i-1]))
		}
	})

	It("bounds the number of queued late requests", func() {
		scheduler := warmScheduler(4, "t1")
		fill(scheduler, 4)
		for id := allocation.ID(1); id <= 6; id++ {
			scheduler.Enqueue(slotRequest(id, 0))
		}
		// The queue may hold half as many late requests as there are slots: two.
		Expect(refused(scheduler.Schedule(at(600)))).To(HaveLen(4))
		Expect(scheduler.Queued()).To(Equal(2))
	})

	It("removes the queued requests of a lost host and releases its slots", func() {
		scheduler := warmScheduler(1, "t1")
		fill(scheduler, 1)
		scheduler.Enqueue(slotRequest(1, 0))
		scheduler.RemoveHost(at(10), "h1")
		Expect(scheduler.Queued()).To(BeZero())
		Expect(scheduler.InUse()).To(BeZero())
	})
})

var _ = Describe("A new coordinator", func() {
	It("imports the estimates of the previous coordinator for its targets", func() {
		scheduler := allocation.NewScheduler(noRandom)
		scheduler.SetTargets(targets(8, "t1"))
		scheduler.ImportEstimates(allocation.Estimates{Slowdowns: map[tables.TargetID]float64{"t1": 3}})
		for id := allocation.ID(1); id <= 6; id++ {
			scheduler.Enqueue(slotRequest(id, 0))
		}
		// A target without an estimate would get two requests.
		Expect(len(granted(scheduler.Schedule(at(0))))).To(BeNumerically(">", 2))
		Expect(scheduler.Estimates().Slowdowns).To(HaveKeyWithValue(tables.TargetID("t1"), 3.0))
	})
})

var _ = Describe("Reconcile", func() {
	It("releases a slot that its host no longer reports and keeps a new one", func() {
		scheduler := warmScheduler(2, "t1")
		scheduler.Enqueue(slotRequest(1, 0))
		scheduler.Schedule(at(0))
		scheduler.Enqueue(slotRequest(2, 1500))
		scheduler.Schedule(at(1500))
		scheduler.Reconcile(at(1600), "h1", nil)
		Expect(scheduler.InUse()).To(Equal(1))
	})

	It("adds each slot granted by another coordinator once", func() {
		scheduler := warmScheduler(1, "t1")
		held := []allocation.HeldSlot{{Request: slotRequest(7, 0), Target: "t1"}}
		scheduler.Reconcile(at(0), "h1", held)
		scheduler.Reconcile(at(0), "h1", held)
		Expect(scheduler.InUse()).To(Equal(1))
		scheduler.Enqueue(slotRequest(8, 10))
		Expect(granted(scheduler.Schedule(at(10)))).To(BeEmpty())
		scheduler.Release(at(20), 7, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(20)))).To(HaveKey(allocation.ID(8)))
	})
})

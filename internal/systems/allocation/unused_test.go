package allocation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
)

var _ = Describe("Slots that are given back unused", func() {
	const slots = 6
	var scheduler *allocation.Scheduler
	var id allocation.ID
	BeforeEach(func() {
		scheduler = warmScheduler(slots, "t1")
		id = 0
		// Fifty requests of 2 s each.
		for range 50 {
			id++
			scheduler.Enqueue(slotRequest(id, 0))
			Expect(granted(scheduler.Schedule(at(0)))).To(HaveKey(id))
			scheduler.Release(at(2000), id, allocation.Succeeded)
		}
	})
	giveBack := func(n, ms int) {
		for range n {
			id++
			scheduler.Enqueue(slotRequest(id, ms))
			Expect(granted(scheduler.Schedule(at(ms)))).To(HaveKey(id))
			scheduler.Release(at(ms), id, allocation.Unused)
		}
	}

	It("do not raise the capacity of targets", func() {
		giveBack(200, 3000)
		for range 2 * slots {
			id++
			r := slotRequest(id, 3000)
			r.PromptTokens = 0
			scheduler.Enqueue(r)
		}
		Expect(len(granted(scheduler.Schedule(at(3000))))).To(BeNumerically("<=", slots+1))
	})

	It("do not shorten the advised waits", func() {
		// The releases of the fifty requests no longer count.
		giveBack(200, 20_000)
		id++
		r := slotRequest(id, 20_000)
		r.QueueDeadline = at(20_000)
		r.FirstByteDue = at(19_000)
		scheduler.SetTargets(targets(0, "t1"))
		var waits []time.Duration
		for range 2 {
			id++
			next := *r
			next.ID = id
			scheduler.Enqueue(&next)
			for _, d := range scheduler.Schedule(at(20_000)) {
				waits = append(waits, d.RetryAfter)
			}
		}
		Expect(waits).To(HaveLen(2))
		// At the lowest rate, 0.3 x 4 callers a second are advised to retry.
		Expect(waits[1] - waits[0]).To(BeNumerically("~", 833*time.Millisecond, time.Millisecond))
	})
})

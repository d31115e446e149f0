package allocation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("A late request that avoids the only target", func() {
	It("does not push late requests that do not avoid the target out of the queue", func() {
		late := func(id allocation.ID, avoid ...tables.TargetID) *allocation.SlotRequest {
			r := slotRequest(id, 0)
			r.QueueDeadline = at(10_000)
			r.Avoid = avoid
			return r
		}
		scheduler := warmScheduler(1, "t1")
		scheduler.Enqueue(slotRequest(1, 0))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		scheduler.Enqueue(late(2, "t1"))
		scheduler.Enqueue(late(3))
		for _, d := range scheduler.Schedule(at(1000)) {
			Expect(d.Request.ID).NotTo(Equal(allocation.ID(3)), "refused: %v", d.Reason)
		}
	})
})

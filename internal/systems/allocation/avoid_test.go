package allocation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("A request that avoids the only target with free slots", func() {
	// request returns one that arrived at 0 and stays in the queue until it is granted.
	request := func(id allocation.ID, avoid ...tables.TargetID) *allocation.SlotRequest {
		r := slotRequest(id, 0)
		r.QueueDeadline = at(10_000)
		r.Avoid = avoid
		return r
	}

	It("does not keep the target from late requests that do not avoid it", func() {
		scheduler := warmScheduler(4, "t1")
		scheduler.Enqueue(request(1, "t1"))
		scheduler.Enqueue(request(2))
		Expect(granted(scheduler.Schedule(at(1000)))).To(HaveKey(allocation.ID(2)))
	})

	It("does not keep the target from requests in time that do not avoid it", func() {
		scheduler := warmScheduler(4, "t1")
		scheduler.Enqueue(request(1, "t1"))
		scheduler.Enqueue(request(2))
		Expect(granted(scheduler.Schedule(at(1)))).To(HaveKey(allocation.ID(2)))
	})
})

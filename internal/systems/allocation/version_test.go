package allocation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// versionedScheduler returns a scheduler with estimates for its targets. versions gives
// the software version of each target.
func versionedScheduler(slots int, versions map[tables.TargetID]tables.SoftwareVersion) *allocation.Scheduler {
	var ids []tables.TargetID
	for id := range versions {
		ids = append(ids, id)
	}
	scheduler := warmScheduler(slots, ids...)
	scheduler.SetTargets(withVersions(targets(slots, ids...), versions))
	return scheduler
}

func withVersions(list []fleet.Target, versions map[tables.TargetID]tables.SoftwareVersion) []fleet.Target {
	for i := range list {
		list[i].Version = versions[list[i].ID]
	}
	return list
}

// boundRequest returns a resumed request that only targets of a version may serve.
func boundRequest(id allocation.ID, ms int, version tables.SoftwareVersion) *allocation.SlotRequest {
	r := slotRequest(id, ms)
	r.Version, r.VersionBound, r.Resumed = version, true, true
	return r
}

var _ = Describe("A request that is bound to a software version", func() {
	type byTarget = map[tables.TargetID]tables.SoftwareVersion

	It("is granted only targets of this version", func() {
		scheduler := versionedScheduler(4, byTarget{"t1": "v1", "t2": "v2", "t3": ""})
		for id, version := range map[allocation.ID]tables.SoftwareVersion{1: "v1", 2: "v2", 3: ""} {
			scheduler.Enqueue(boundRequest(id, 0, version))
		}
		decisions := scheduler.Schedule(at(0))
		Expect(granted(decisions)).To(Equal(map[allocation.ID]tables.TargetID{1: "t1", 2: "t2", 3: "t3"}))
		for _, d := range decisions {
			Expect(d.Version).To(Equal(d.Request.Version))
		}
	})

	It("waits for a slot of its version while others are free", func() {
		scheduler := versionedScheduler(1, byTarget{"t1": "v1", "t2": "v2"})
		scheduler.Enqueue(boundRequest(1, 0, "v1"))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		scheduler.Enqueue(boundRequest(2, 1, "v1"))
		Expect(scheduler.Schedule(at(1))).To(BeEmpty())
		scheduler.Release(at(2), 1, allocation.Succeeded)
		Expect(granted(scheduler.Schedule(at(2)))).To(HaveKeyWithValue(allocation.ID(2), tables.TargetID("t1")))
	})

	It("is not granted a target that came back with another version", func() {
		scheduler := versionedScheduler(4, byTarget{"t1": "v1", "t2": "v2"})
		scheduler.SetTargets(withVersions(targets(4, "t1", "t2"), byTarget{"t1": "v2", "t2": "v2"}))
		scheduler.Enqueue(boundRequest(1, 0, "v1"))
		Expect(scheduler.Schedule(at(0))).To(BeEmpty())
		scheduler.Enqueue(slotRequest(2, 1))
		decisions := scheduler.Schedule(at(1))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Version).To(BeEquivalentTo("v2"))
	})

	It("is refused at its queue deadline and not before if no target has its version", func() {
		scheduler := versionedScheduler(4, byTarget{"t2": "v2"})
		scheduler.Enqueue(boundRequest(1, 0, "v1"))
		for ms := 0; ms < 1500; ms += 100 {
			Expect(scheduler.Schedule(at(ms))).To(BeEmpty())
		}
		decisions := scheduler.Schedule(at(1500))
		Expect(refused(decisions)).To(Equal([]allocation.ID{1}))
		Expect(decisions[0].Reason).To(Equal(allocation.TooLate))
		Expect(decisions[0].RetryAfter).To(BeNumerically(">", 0))
	})

	It("is refused at once only if the service has no target at all", func() {
		scheduler := allocation.NewScheduler(noRandom)
		scheduler.Enqueue(boundRequest(1, 0, "v1"))
		Expect(scheduler.Schedule(at(0))[0].Reason).To(Equal(allocation.NoTargets))
	})

	It("does not hold up requests that can be served", func() {
		scheduler := versionedScheduler(4, byTarget{"t2": "v2"})
		stuck := boundRequest(1, 0, "v1")
		stuck.PromptTokens = 1
		sameVersion, other := boundRequest(2, 0, "v2"), slotRequest(3, 0)
		late, retried := slotRequest(4, -500), boundRequest(5, 0, "v2")
		retried.Retried = true
		for _, r := range []*allocation.SlotRequest{stuck, sameVersion, other, late, retried} {
			scheduler.Enqueue(r)
		}
		first := granted(scheduler.Schedule(at(0)))
		Expect(first).To(HaveLen(3))
		Expect(first).NotTo(HaveKey(allocation.ID(1)))
		for id := range first {
			scheduler.RecordFirstByte(at(10), id, 10*time.Millisecond)
		}
		Expect(granted(scheduler.Schedule(at(10)))).To(HaveLen(1))
	})

	It("is not held up by an unbound request that avoids the free target", func() {
		scheduler := versionedScheduler(4, byTarget{"t2": "v2"})
		avoiding, bound := slotRequest(1, 0), boundRequest(2, 0, "v2")
		avoiding.Avoid, avoiding.PromptTokens, avoiding.Tier = []tables.TargetID{"t2"}, 1, -1
		bound.Resumed = false
		scheduler.Enqueue(avoiding)
		scheduler.Enqueue(bound)
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveKey(allocation.ID(2)))
	})

	It("does not hold up an unbound one if its version is empty", func() {
		scheduler := versionedScheduler(4, byTarget{"t2": "v2"})
		bound, unbound := boundRequest(1, 0, ""), slotRequest(2, 0)
		bound.PromptTokens, bound.Tier, bound.Resumed = 1, -1, false
		scheduler.Enqueue(bound)
		scheduler.Enqueue(unbound)
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveKey(allocation.ID(2)))
	})

	It("is not held up by another one that avoids the free target", func() {
		scheduler := versionedScheduler(4, byTarget{"t2": "v2"})
		avoiding, bound := boundRequest(1, 0, "v2"), boundRequest(2, 0, "v2")
		avoiding.Avoid, avoiding.PromptTokens, avoiding.Tier = []tables.TargetID{"t2"}, 1, -1
		scheduler.Enqueue(avoiding)
		scheduler.Enqueue(bound)
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveKey(allocation.ID(2)))
	})

	It("is not held up by another one with a shorter event gap", func() {
		scheduler := versionedScheduler(8, byTarget{"t2": "v2"})
		scheduler.Enqueue(boundRequest(1, 0, "v2"))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		strict, patient := boundRequest(2, 0, "v2"), boundRequest(3, 0, "v2")
		strict.EventGapSLO, strict.Tier = time.Millisecond, -1
		scheduler.Enqueue(strict)
		scheduler.Enqueue(patient)
		Expect(granted(scheduler.Schedule(at(1)))).To(HaveKey(allocation.ID(3)))
	})

	DescribeTable("pushes no late request out of the queue if no target has its version",
		func(resumed bool) {
			scheduler := versionedScheduler(4, byTarget{"t2": "v2"})
			for id := allocation.ID(1000); id < 1004; id++ {
				scheduler.Enqueue(slotRequest(id, 0))
			}
			Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(4))
			// The queue may hold half as many late requests as there are slots: two.
			scheduler.Enqueue(slotRequest(1, 0))
			scheduler.Enqueue(slotRequest(2, 0))
			for id := allocation.ID(3); id <= 8; id++ {
				r := boundRequest(id, 1, "v1")
				r.Resumed = resumed
				scheduler.Enqueue(r)
			}
			Expect(scheduler.Schedule(at(600))).To(BeEmpty())
			scheduler.Enqueue(slotRequest(9, -1))
			scheduler.Enqueue(slotRequest(10, -1))
			Expect(refused(scheduler.Schedule(at(601)))).To(ConsistOf(allocation.ID(1), allocation.ID(2)))
			Expect(scheduler.Queued()).To(Equal(8))
		},
		Entry("and its stream has begun", true),
		Entry("and its stream has not begun", false),
	)
})

var _ = Describe("A request whose stream has begun", func() {
	// busy returns a scheduler with one target whose single slot is in use.
	busy := func() *allocation.Scheduler {
		scheduler := warmScheduler(1, "t1")
		scheduler.Enqueue(slotRequest(1000, 0))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		return scheduler
	}
	resumed := func(id allocation.ID, ms int) *allocation.SlotRequest {
		r := slotRequest(id, ms)
		r.Resumed = true
		return r
	}

	It("goes before others of its tier and urgency, also if its first byte is overdue", func() {
		scheduler := busy()
		overdue, due, urgent, highTier := resumed(1, -1000), slotRequest(2, 1), slotRequest(3, 1), slotRequest(4, 1)
		overdue.QueueDeadline, overdue.Retried, overdue.OverRate = at(1500), true, true
		for _, r := range []*allocation.SlotRequest{overdue, due, urgent, highTier} {
			r.Tier, r.Urgency = 1, 1
		}
		urgent.Urgency, highTier.Tier = 0, 0
		for _, r := range []*allocation.SlotRequest{due, overdue, urgent, highTier} {
			scheduler.Enqueue(r)
		}
		var order []allocation.ID
		running := allocation.ID(1000)
		for ms := 10; ms <= 40; ms += 10 {
			scheduler.Release(at(ms), running, allocation.Succeeded)
			for id := range granted(scheduler.Schedule(at(ms))) {
				order = append(order, id)
				running = id
			}
		}
		Expect(order).To(Equal([]allocation.ID{4, 3, 1, 2}))
	})

	It("is not refused for too many late requests", func() {
		scheduler := busy()
		for id := allocation.ID(1); id <= 6; id++ {
			r := resumed(id, -1000)
			r.Retried, r.QueueDeadline = id%2 == 0, at(1500)
			scheduler.Enqueue(r)
		}
		scheduler.Enqueue(slotRequest(7, 0))
		Expect(scheduler.Schedule(at(600))).To(BeEmpty())
		Expect(refused(scheduler.Schedule(at(1500)))).To(HaveLen(7))
	})

	It("is not held up by a new one that waits for a better target", func() {
		scheduler := warmScheduler(4, "t1")
		scheduler.Enqueue(slotRequest(1, 0))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		waiting, back := slotRequest(2, 0), resumed(3, -1000)
		waiting.Tier, waiting.FirstByteDue = -1, at(2)
		back.QueueDeadline = at(1500)
		scheduler.Enqueue(waiting)
		scheduler.Enqueue(back)
		Expect(granted(scheduler.Schedule(at(1)))).To(Equal(map[allocation.ID]tables.TargetID{3: "t1"}))
	})

	It("is granted a slot while the target processes another prompt, however late it is", func() {
		scheduler := warmScheduler(4, "t1")
		scheduler.Enqueue(slotRequest(1, 0))
		Expect(granted(scheduler.Schedule(at(0)))).To(HaveLen(1))
		late := resumed(2, -1000)
		late.QueueDeadline = at(1500)
		scheduler.Enqueue(late)
		Expect(granted(scheduler.Schedule(at(1)))).To(HaveKey(allocation.ID(2)))
	})
})

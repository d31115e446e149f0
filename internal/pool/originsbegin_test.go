package pool

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Guards against a stream of two versions: its target was silent before the first event, a slot at
// another version was granted meanwhile, and the stream began at the first target after all.
var _ = Describe("A stream that begins after a slot at another version was granted for it", func() {
	var coordinator *Coordinator
	var told chan origin.Batch
	var clock *clockwork.FakeClock
	v2 := tables.SoftwareVersion("v2")
	versionOf := map[tables.TargetID]tables.SoftwareVersion{"t1": "v1", "t2": "v2"}
	ask := func(m slotRequestMessage) grantMessage {
		GinkgoHelper()
		m.Host, m.Service, m.FirstByteBudgetMS, m.MaxWaitMS, m.Resumable = "h", "s", 400, 1000, true
		g, err := coordinator.Acquire(context.Background(), m)
		Expect(err).NotTo(HaveOccurred())
		return g
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		deployment := &view{config: fleet.NewConfig(1)}
		for _, id := range []tables.TargetID{"t1", "t2"} {
			deployment.targets = append(deployment.targets, fleet.Target{ID: id, Service: "s", Address: string(id), Version: versionOf[id], Slots: 8})
		}
		whole := func() float64 { return 1 }
		coordinator = NewCoordinator(deployment, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		batches := make(chan origin.Batch, 10)
		told = batches
		coordinator.Origins = NewOrigins(clock)
		coordinator.Origins.Send = func(b origin.Batch) { batches <- b }
		coordinator.Origins.Observe(nil, deployment.targets)
		clock.Advance(time.Second)
	})

	It("goes on at the version of its first event only", func() {
		first := ask(slotRequestMessage{ID: 1, Request: "a"})
		second := ask(slotRequestMessage{ID: 2, Request: "a", Retry: true, Avoid: []tables.TargetID{first.Target}})
		Expect(*second.Version).NotTo(Equal(*first.Version))
		coordinator.Report(reportMessage{FirstBytes: []firstByteReport{{ID: 1, TookMS: 1300}}, Releases: []releaseReport{{ID: 2, Service: "s", Outcome: allocation.Unused}}})
		for id := allocation.ID(3); id < 6; id++ {
			g := ask(slotRequestMessage{ID: id, Request: "b", Resumed: true, FirstAttempt: "a"})
			Expect(*g.Version).To(Equal(*first.Version))
		}
	})

	// Guards against a stream of two versions whose host was cut off before the answer with its grant
	// arrived, and which began at another version by a grant of the local fallback.
	It("is refused by a coordinator that has granted it a slot and heard of no event", func() {
		ask(slotRequestMessage{ID: 1, Request: "a"})
		m := slotRequestMessage{ID: 2, Host: "h", Service: "s", Request: "b", FirstAttempt: "a", Resumable: true, Resumed: true, FirstByteBudgetMS: 400}
		_, err := coordinator.Acquire(context.Background(), m)
		Expect(errkind.Of(err)).To(Equal(errkind.OriginUnknown))
	})

	It("is known to other hosts by its first event only", func() {
		first := ask(slotRequestMessage{ID: 1, Request: "a"})
		second := ask(slotRequestMessage{ID: 2, Request: "a", Retry: true, Avoid: []tables.TargetID{first.Target}})
		Expect(*second.Version).NotTo(Equal(*first.Version))
		coordinator.Report(reportMessage{FirstBytes: []firstByteReport{{ID: 1, TookMS: 1300}}})
		clock.Advance(originDelay)
		var batch origin.Batch
		Eventually(told).Should(Receive(&batch))
		Expect(batch).To(HaveLen(1))
		Expect(batch).To(HaveKey(*first.Version))
	})

	It("is told to a later coordinator by the host that relays it", func() {
		later := reconcileMessage{Host: "h", Open: []openGrant{{ID: 9, Service: "s", Target: "t2", Stream: origin.StreamIDOf("a"), Version: &v2}}}
		coordinator.Reconcile(later)
		Expect(*ask(slotRequestMessage{ID: 10, Request: "b", Resumed: true, FirstAttempt: "a"}).Version).To(Equal(v2))
	})
})

package pool

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Guards against a stream of two versions: its target was silent before the first event, a slot at
// another version was granted meanwhile, and the stream began at the first target after all.
var _ = Describe("A stream that begins after a slot at another version was granted for it", func() {
	var coordinator *Coordinator
	var stale chan origin.Batch
	versionOf := map[tables.TargetID]tables.SoftwareVersion{"t1": "v1", "t2": "v2"}
	ask := func(m slotRequestMessage) grantMessage {
		GinkgoHelper()
		m.Host, m.Service, m.FirstByteBudgetMS, m.MaxWaitMS, m.Resumable = "h", "s", 400, 1000, true
		g, err := coordinator.Acquire(context.Background(), m)
		Expect(err).NotTo(HaveOccurred())
		return g
	}
	BeforeEach(func() {
		clock := clockwork.NewFakeClock()
		deployment := &view{config: fleet.NewConfig(1)}
		for _, id := range []tables.TargetID{"t1", "t2"} {
			deployment.targets = append(deployment.targets, fleet.Target{ID: id, Service: "s", Address: string(id), Version: versionOf[id], Slots: 8})
		}
		whole := func() float64 { return 1 }
		coordinator = NewCoordinator(deployment, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		batches := make(chan origin.Batch, 10)
		stale = batches
		coordinator.Origins = NewOrigins(clock)
		coordinator.Origins.Send = func(b origin.Batch) { batches <- b }
		coordinator.Origins.Observe(nil, deployment.targets)
		clock.Advance(time.Second)
	})

	It("goes on at the version of its first event only", func() {
		first := ask(slotRequestMessage{ID: 1, Request: "a"})
		second := ask(slotRequestMessage{ID: 2, Request: "a", Retry: true, Again: true, Avoid: []tables.TargetID{first.Target}})
		Expect(*second.Version).NotTo(Equal(*first.Version))
		coordinator.Report(reportMessage{FirstBytes: []firstByteReport{{ID: 1, TookMS: 1300}}, Releases: []releaseReport{{ID: 2, Service: "s", Outcome: allocation.Unused}}})
		for id := allocation.ID(3); id < 6; id++ {
			g := ask(slotRequestMessage{ID: id, Request: "b", Resumed: true, FirstAttempt: "a"})
			Expect(*g.Version).To(Equal(*first.Version))
		}
	})

	// Guards against a stream of two versions after the end of a host that was cut off: others know
	// the grant of the coordinator, and nobody hears of the grant of the local fallback.
	It("is granted by a local fallback at the version that another coordinator has granted only", func() {
		coordinator.local = true
		coordinator.Origins.note(origin.StreamIDOf("a"), "v2")
		Expect(*ask(slotRequestMessage{ID: 10, Request: "a", Again: true}).Version).To(BeEquivalentTo("v2"))
		first := ask(slotRequestMessage{ID: 30, Request: "e"})
		second := ask(slotRequestMessage{ID: 31, Request: "e", Again: true, Avoid: []tables.TargetID{first.Target}})
		Expect(*second.Version).NotTo(Equal(*first.Version))
	})

	It("is refused by a host that has heard of the other version", func() {
		first := ask(slotRequestMessage{ID: 1, Request: "a"})
		second := ask(slotRequestMessage{ID: 2, Request: "a", Retry: true, Again: true, Avoid: []tables.TargetID{first.Target}})
		other := NewOrigins(clockwork.NewFakeClock())
		other.Observe(nil, coordinator.view.Targets())
		var batch origin.Batch
		for batch[*second.Version] == nil {
			Eventually(stale).Should(Receive(&batch))
			other.Merge(batch)
		}
		coordinator.Report(reportMessage{FirstBytes: []firstByteReport{{ID: 1, TookMS: 1300}}})
		Eventually(stale).Should(Receive(&batch))
		other.Merge(batch)
		resumed := slotRequestMessage{Service: "s", Request: "b", Resumable: true, Resumed: true, FirstAttempt: "a"}
		Expect(other.constraint(resumed, time.Now()).Kind).To(Equal(origin.Unknown))
	})
})

package pool

import (
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// A stream was granted at v1, whose target stayed silent, and began at v2. Before the
// coordinator had sent the second grant, a host that attached anew reported the first one.
// Guards against taking the stream up at v1.
var _ = Describe("Origins of which another host has reported an earlier grant", func() {
	var o *Origins
	var sent chan origin.Batch
	var clock *clockwork.FakeClock
	id := origin.StreamIDOf("a")
	v1, v2 := tables.SoftwareVersion("v1"), tables.SoftwareVersion("v2")
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		batches := make(chan origin.Batch, 10)
		sent = batches
		o = NewOrigins(clock)
		o.Send = func(b origin.Batch) { batches <- b }
		o.Observe(nil, []fleet.Target{{ID: "t-1", Service: "s", Version: v1}, {ID: "t-2", Service: "s", Version: v2}})
		clock.Advance(originDelay)
		o.begin(id, v1, "")
		clock.Advance(originDelay)
		Eventually(sent).Should(Receive())
		o.begin(id, v2, "")
		earlier := make(origin.Batch)
		earlier.Add(id, v1)
		o.Merge(earlier)
	})

	It("do not join the stream at the version that the asking host has heard", func() {
		m := slotRequestMessage{Service: "s", Request: "r", Resumable: true, Resumed: true, FirstAttempt: "a", Heard: &v1}
		Expect(o.constraint(m, clock.Now())).NotTo(Equal(origin.Constraint{Kind: origin.OnlyVersion, Version: v1}))
	})

	It("tell the other hosts of the later grant", func() {
		clock.Advance(originDelay)
		var batch origin.Batch
		Eventually(sent).Should(Receive(&batch))
		Expect(batch).To(HaveKey(v2))
	})
})

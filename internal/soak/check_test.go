package soak

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("Priority inversions", func() {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	shed := func(tier string, kind errkind.Kind) modelCall {
		return modelCall{name: "high", rank: rankOf(tier), errKind: kind, sent: at(10), ended: at(12)}
	}
	bulk := modelRun{name: "low", rank: rankOf(harness.TierBulk), started: at(9), ended: at(13)}

	It("reports a shed request if a request of a lower tier was running the whole time", func() {
		Expect(priorityInversions([]modelCall{shed(harness.TierUrgent, errkind.Overloaded)}, []modelRun{bulk})).To(HaveLen(1))
		Expect(priorityInversions([]modelCall{shed(harness.TierNormal, errkind.Displaced)}, []modelRun{bulk})).To(HaveLen(1))
	})
	It("ignores the lowest tier, other refusals and runs that ended before the refusal", func() {
		Expect(priorityInversions([]modelCall{shed(harness.TierBulk, errkind.Overloaded)}, []modelRun{bulk})).To(BeEmpty())
		Expect(priorityInversions([]modelCall{shed(harness.TierUrgent, errkind.Quarantined)}, []modelRun{bulk})).To(BeEmpty())
		endedEarly := bulk
		endedEarly.ended = at(11)
		Expect(priorityInversions([]modelCall{shed(harness.TierUrgent, errkind.Overloaded)}, []modelRun{endedEarly})).To(BeEmpty())
	})
	It("counts runs of lower tiers that start while a request of a higher tier waits", func() {
		waiting := modelCall{name: "high", rank: 0, sent: at(10), firstByte: at(14)}
		startedDuringWait := modelRun{name: "low", rank: 2, started: at(12), ended: at(20)}
		Expect(countOvertakes(waiting, []modelRun{startedDuringWait, bulk})).To(Equal(1))
		Expect(countOvertakes(modelCall{rank: 2, sent: at(10), firstByte: at(14)}, []modelRun{startedDuringWait})).To(BeZero())
	})
})

var _ = Describe("Version checks", func() {
	It("report a decreased version and ignore version 0 after a restart", func() {
		r := &run{highestVersions: make(map[string]uint64)}
		r.recordVersion("h1", 3)
		r.recordVersion("h1", 0)
		r.recordVersion("h1", 3)
		Expect(r.violations).To(BeEmpty())
		r.recordVersion("h1", 2)
		Expect(r.violations).To(HaveLen(1))
	})
})

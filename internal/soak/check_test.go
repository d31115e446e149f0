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

var _ = Describe("inversions", func() {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	shed := func(tier string, kind errkind.Kind) modelCall {
		return modelCall{name: "x", rank: rankOf(tier), kind: kind, sent: at(10), ended: at(12)}
	}
	bulk := modelRun{name: "low", rank: rankOf(harness.TierBulk), started: at(9), ended: at(13)}

	It("catches a higher tier that is shed while a lower one runs", func() {
		Expect(inversions([]modelCall{shed(harness.TierUrgent, errkind.Overloaded)}, []modelRun{bulk})).To(HaveLen(1))
		Expect(inversions([]modelCall{shed(harness.TierNormal, errkind.Displaced)}, []modelRun{bulk})).To(HaveLen(1))
	})
	It("allows what is no inversion", func() {
		Expect(inversions([]modelCall{shed(harness.TierBulk, errkind.Overloaded)}, []modelRun{bulk})).To(BeEmpty())
		Expect(inversions([]modelCall{shed(harness.TierUrgent, errkind.Quarantined)}, []modelRun{bulk})).To(BeEmpty())
		stopped := bulk
		stopped.ended = at(11)
		Expect(inversions([]modelCall{shed(harness.TierUrgent, errkind.Overloaded)}, []modelRun{stopped})).To(BeEmpty())
	})
	It("counts a lower tier that starts while a higher one waits", func() {
		waiting := modelCall{name: "x", rank: 0, sent: at(10), firstByte: at(14)}
		late := modelRun{name: "low", rank: 2, started: at(12), ended: at(20)}
		Expect(overtakes(waiting, []modelRun{late, bulk})).To(Equal(1))
		Expect(overtakes(modelCall{rank: 2, sent: at(10), firstByte: at(14)}, []modelRun{late})).To(BeZero())
	})
})

var _ = Describe("versions", func() {
	It("catches a version that goes down and passes over a restart", func() {
		r := &run{versions: make(map[string]uint64)}
		r.sampleVersion("h1", 3)
		r.sampleVersion("h1", 0)
		r.sampleVersion("h1", 3)
		Expect(r.violations).To(BeEmpty())
		r.sampleVersion("h1", 2)
		Expect(r.violations).To(HaveLen(1))
	})
})

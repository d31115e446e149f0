package quiet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/quiet"
)

func TestQuiet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quiet")
}

var _ = Describe("Times", func() {
	now := time.Unix(1_700_000_000, 0)
	target := fleet.Target{ID: "t", StartedAt: now}
	var times quiet.Times
	BeforeEach(func() { times = quiet.Times{} })

	It("ends when the time has passed", func() {
		Expect(times.Remaining(now, target)).To(BeZero())
		times.Set(now, target, 1500*time.Millisecond)
		Expect(times.Remaining(now.Add(time.Second), target)).To(Equal(500 * time.Millisecond))
		Expect(times.Remaining(now.Add(2*time.Second), target)).To(BeZero())
	})

	It("keeps the longest time of one start", func() {
		times.Set(now, target, 3*time.Second)
		times.Set(now.Add(time.Second), target, time.Second)
		Expect(times.Remaining(now.Add(time.Second), target)).To(Equal(2 * time.Second))
		times.Set(now.Add(time.Second), target, 9*time.Second)
		Expect(times.Remaining(now.Add(time.Second), target)).To(Equal(9 * time.Second))
	})

	It("does not apply to a later start of the target", func() {
		times.Set(now, target, time.Hour)
		target := target
		target.StartedAt = now.Add(time.Minute)
		Expect(times.Remaining(now, target)).To(BeZero())
	})

	It("forgets times that have passed", func() {
		times.Set(now, target, time.Second)
		times.Set(now.Add(2*time.Second), fleet.Target{ID: "u"}, time.Second)
		Expect(times.Len()).To(Equal(1))
	})
})

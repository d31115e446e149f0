package stall

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stall")
}

var _ = Describe("Detector", func() {
	var clock *clockwork.FakeClock
	var suspended time.Duration
	var stalls []time.Duration
	var d *Detector
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		started := clock.Now()
		suspended, stalls = 0, nil
		d = New(clock, func() time.Duration { return clock.Since(started) + suspended })
		d.OnResume = func(length time.Duration) { stalls = append(stalls, length) }
	})

	It("sees no stall while the process runs", func() {
		before := clock.Now()
		for range 30 {
			clock.Advance(tickInterval)
			d.check()
		}
		Expect(d.ResumedSince(before)).To(BeFalse())
		Expect(stalls).To(BeEmpty())
	})

	It("sees a pause before its own timer fires", func() {
		before := clock.Now()
		clock.Advance(5 * time.Second)
		Expect(d.ResumedSince(before)).To(BeTrue())
		Expect(d.ResumedSince(clock.Now().Add(time.Millisecond))).To(BeFalse())
		Expect(stalls).To(Equal([]time.Duration{5 * time.Second}))
	})

	It("sees that the host was suspended, which its clock does not count", func() {
		before := clock.Now()
		suspended = 4 * time.Second
		Expect(d.ResumedSince(before)).To(BeTrue())
		Expect(stalls).To(HaveLen(1))
	})
})

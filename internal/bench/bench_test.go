package bench

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// emptySim returns a simulation with one engine and no arrivals or faults.
func emptySim() *sim {
	s := &sim{profile: profiles["workshop"], length: time.Minute}
	s.engines = []*engine{newEngine("t0", generations[0])}
	s.engines[0].spec.services = []tables.ServiceID{"model"}
	s.score = newScore(s)
	s.policy = &roundRobin{}
	return s
}

func (s *sim) runAllEvents() {
	for len(s.events) > 0 {
		s.runNextEvent()
	}
}

var _ = Describe("engine", func() {
	It("takes the time of the prefill and of one step per token", func() {
		s := emptySim()
		j := &job{class: class{service: "model"}, id: "a", promptTokens: 1024, outputLength: 3, deadline: time.Hour}
		s.engines[0].admit(s, j)
		s.runAllEvents()
		Expect(j.ended).To(BeTrue())
		Expect(j.outputTokens).To(Equal(3))
		speed := generations[0].speed
		Expect(s.now).To(Equal(speed.Prefill(1024) + 3*speed.TokenGap(1)))
	})
	It("computes only the part of the prompt that is not cached", func() {
		s := emptySim()
		first := &job{class: class{service: "model"}, id: "a", promptTokens: 640, outputLength: 1, deadline: time.Hour, prefixHashes: promptHashes("x", "a", 320, 640)}
		s.engines[0].admit(s, first)
		s.runAllEvents()
		second := &job{class: class{service: "model"}, id: "b", promptTokens: 640, outputLength: 1, deadline: time.Hour, prefixHashes: promptHashes("x", "b", 320, 640)}
		s.engines[0].admit(s, second)
		s.runAllEvents()
		Expect(second.cachedTokens).To(Equal(320))
		Expect(second.prefilledTokens).To(Equal(320))
	})
})

var _ = Describe("trace", func() {
	It("counts a job shed while a lower tier runs at a target that serves it", func() {
		s := emptySim()
		low := &job{class: class{service: "model"}, id: "low", tier: 1}
		high := &job{class: class{service: "model"}, id: "high", tier: 0}
		s.score.trace.start(low, "t0")
		s.score.trace.end(high, endShed)
		Expect(s.score.trace.inversions).To(Equal(1))
		s.score.trace.end(low, endCompleted)
		s.score.trace.end(&job{class: class{service: "model"}, id: "next", tier: 0}, endShed)
		Expect(s.score.trace.inversions).To(Equal(1))
	})
	It("counts a job that expires in the queue while a lower tier is queued", func() {
		s := emptySim()
		low := &job{class: class{service: "model"}, id: "low", tier: 2}
		s.score.trace.enqueue(low, []tables.TargetID{"t0"})
		s.score.trace.end(&job{class: class{service: "model"}, id: "high", tier: 1}, endExpired)
		Expect(s.score.trace.inversions).To(Equal(1))
	})
})

var _ = Describe("Run", func() {
	It("returns the same result for the same seed", func() {
		a, err := Run("grants", "bluebellseam", 1.5, 7, 30*time.Second)
		Expect(err).NotTo(HaveOccurred())
		b, err := Run("grants", "bluebellseam", 1.5, 7, 30*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(b))
	})
	DescribeTable("completes the highest tier without inversions at twice the capacity",
		func(profile string, length time.Duration) {
			r, err := Run(profile, "bluebellseam", 2.0, 1, length)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Inversions).To(BeZero())
			Expect(r.Tiers[0].Goodput() + r.Tiers[0].FailedShare()).To(BeNumerically(">=", 0.99))
		},
		Entry("on workshop", "workshop", 90*time.Second),
		Entry("on grants", "grants", 150*time.Second),
	)
	It("starves no tier below capacity", func() {
		r, err := Run("grants", "bluebellseam", 0.7, 1, 90*time.Second)
		Expect(err).NotTo(HaveOccurred())
		for _, t := range r.Tiers {
			Expect(t.Goodput()+t.FailedShare()).To(BeNumerically(">=", 0.98), "tier %d", t.Tier)
		}
	})
	It("returns an error that names an unknown profile or policy", func() {
		_, err := Run("bakery", "round-robin", 1, 1, time.Second)
		Expect(err).To(MatchError(ContainSubstring("bakery")))
		_, err = Run("grants", "magic", 1, 1, time.Second)
		Expect(err).To(MatchError(ContainSubstring("magic")))
	})
})

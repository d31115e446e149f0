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

func emptySim() *sim {
	s := &sim{profile: profiles["workshop"], length: time.Minute}
	s.engines = []*engine{newEngine("t0", generations[0])}
	s.engines[0].spec.services = []tables.ServiceID{"model"}
	s.score = newScore(s)
	s.policy = &roundRobin{}
	return s
}

func (s *sim) drain() {
	for len(s.events) > 0 {
		s.next()
	}
}

var _ = Describe("engine", func() {
	It("takes the prefill and one step per token", func() {
		s := emptySim()
		j := &job{class: class{service: "model"}, id: "a", prompt: 1024, out: 3, due: time.Hour}
		s.engines[0].admit(s, j)
		s.drain()
		Expect(j.ended).To(BeTrue())
		Expect(j.tokens).To(Equal(3))
		speed := generations[0].speed
		Expect(s.now).To(Equal(speed.Prefill(1024) + 3*speed.TokenGap(1)))
	})
	It("reuses a cached prefix and counts what is computed", func() {
		s := emptySim()
		first := &job{class: class{service: "model"}, id: "a", prompt: 640, out: 1, due: time.Hour, chain: chain("x", "a", 320, 640)}
		s.engines[0].admit(s, first)
		s.drain()
		second := &job{class: class{service: "model"}, id: "b", prompt: 640, out: 1, due: time.Hour, chain: chain("x", "b", 320, 640)}
		s.engines[0].admit(s, second)
		s.drain()
		Expect(second.cached).To(Equal(320))
		Expect(second.computed).To(Equal(320))
	})
})

var _ = Describe("trace", func() {
	It("counts a refusal while a lower tier runs on a fitting target", func() {
		s := emptySim()
		low := &job{class: class{service: "model"}, id: "low", tier: 1}
		high := &job{class: class{service: "model"}, id: "high", tier: 0}
		s.score.trace.start(low, "t0")
		s.score.trace.ended(high, endShed)
		Expect(s.score.trace.inversions).To(Equal(1))
		s.score.trace.ended(low, endWhole)
		s.score.trace.ended(&job{class: class{service: "model"}, id: "next", tier: 0}, endShed)
		Expect(s.score.trace.inversions).To(Equal(1))
	})
	It("counts a request that expires unstarted as refused", func() {
		s := emptySim()
		low := &job{class: class{service: "model"}, id: "low", tier: 2}
		s.score.trace.queue(low, []tables.TargetID{"t0"})
		s.score.trace.ended(&job{class: class{service: "model"}, id: "high", tier: 1}, endExpired)
		Expect(s.score.trace.inversions).To(Equal(1))
	})
})

var _ = Describe("Run", func() {
	It("gives the same figures for the same seed", func() {
		a, err := Run("grants", "bluebellseam", 1.5, 7, 30*time.Second)
		Expect(err).NotTo(HaveOccurred())
		b, err := Run("grants", "bluebellseam", 1.5, 7, 30*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(b))
	})
	DescribeTable("keeps the highest tier and inverts nothing at twice the capacity",
		func(profile string, length time.Duration) {
			r, err := Run(profile, "bluebellseam", 2.0, 1, length)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Inversions).To(BeZero())
			Expect(r.Tiers[0].Goodput() + r.Tiers[0].Lost()).To(BeNumerically(">=", 0.99))
		},
		Entry("on workshop", "workshop", 90*time.Second),
		Entry("on grants", "grants", 150*time.Second),
	)
	It("starves no tier below capacity", func() {
		r, err := Run("grants", "bluebellseam", 0.7, 1, 90*time.Second)
		Expect(err).NotTo(HaveOccurred())
		for _, t := range r.Tiers {
			Expect(t.Goodput()+t.Lost()).To(BeNumerically(">=", 0.98), "tier %d", t.Tier)
		}
	})
	It("names an unknown profile and policy", func() {
		_, err := Run("bakery", "round-robin", 1, 1, time.Second)
		Expect(err).To(MatchError(ContainSubstring("bakery")))
		_, err = Run("grants", "magic", 1, 1, time.Second)
		Expect(err).To(MatchError(ContainSubstring("magic")))
	})
})

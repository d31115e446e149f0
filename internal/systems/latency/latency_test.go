package latency_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/latency"
)

func TestLatency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "latency")
}

// trueFirstByte is the time to the first byte in these specs: 30 ms, and 7 ms
// for each thousand tokens.
func trueFirstByte(prompt int) time.Duration {
	return 30*time.Millisecond + time.Duration(prompt)*7*time.Microsecond
}

var _ = Describe("Model", func() {
	It("fits the time to the first byte by prompt length", func() {
		model := latency.NewModel()
		for i := range 200 {
			prompt := 200 + i*137%9000
			model.Observe(prompt, trueFirstByte(prompt))
		}
		for _, prompt := range []int{500, 3000, 8000} {
			Expect(model.FirstByte(prompt)).To(BeNumerically("~", trueFirstByte(prompt), 3*time.Millisecond))
		}
	})

	It("adapts to a change", func() {
		model := latency.NewModel()
		for i := range 400 {
			model.Observe(1000+i%10*100, 100*time.Millisecond)
		}
		for i := range 800 {
			model.Observe(1000+i%10*100, 50*time.Millisecond)
		}
		Expect(model.FirstByte(1500)).To(BeNumerically("~", 50*time.Millisecond, 5*time.Millisecond))
	})

	It("imports weights only before its first observation", func() {
		trained := latency.NewModel()
		for i := range 200 {
			trained.Observe(i*50, trueFirstByte(i*50))
		}
		weights, known := trained.Weights()
		Expect(known).To(BeTrue())
		fresh := latency.NewModel()
		fresh.Import(weights)
		Expect(fresh.FirstByte(4000)).To(Equal(trained.FirstByte(4000)))
		observed := latency.NewModel()
		observed.Observe(100, time.Second)
		before := observed.FirstByte(100)
		observed.Import(weights)
		Expect(observed.FirstByte(100)).To(Equal(before))
	})
})

var _ = Describe("Slowdown", func() {
	It("detects a slow target after one observation", func() {
		var s latency.Slowdown
		Expect(s.Value()).To(Equal(1.0))
		s.Observe(150*time.Millisecond, 50*time.Millisecond)
		Expect(s.Value()).To(BeNumerically("~", 3, 0.01))
	})

	It("bounds the effect of one outlier", func() {
		var s latency.Slowdown
		for range 20 {
			s.Observe(50*time.Millisecond, 50*time.Millisecond)
		}
		s.Observe(500*time.Millisecond, 50*time.Millisecond)
		Expect(s.Value()).To(BeNumerically("<", 2.5))
	})
})

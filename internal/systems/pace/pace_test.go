package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/pace"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace")
}

// truth is the time to the first byte that the specs make up: 30 ms and 7 ms
// for each thousand tokens.
func truth(prompt int) time.Duration {
	return 30*time.Millisecond + time.Duration(prompt)*7*time.Microsecond
}

var _ = Describe("Shape", func() {
	It("learns how the time to the first byte grows with the prompt", func() {
		s := pace.NewShape()
		for i := range 200 {
			prompt := 200 + i*137%9000
			s.Observe(prompt, truth(prompt))
		}
		for _, prompt := range []int{500, 3000, 8000} {
			Expect(s.First(prompt)).To(BeNumerically("~", truth(prompt), 3*time.Millisecond))
		}
	})

	It("follows a change", func() {
		s := pace.NewShape()
		for i := range 400 {
			s.Observe(1000+i%10*100, 100*time.Millisecond)
		}
		for i := range 800 {
			s.Observe(1000+i%10*100, 50*time.Millisecond)
		}
		Expect(s.First(1500)).To(BeNumerically("~", 50*time.Millisecond, 5*time.Millisecond))
	})

	It("takes over what was learned elsewhere only before its first answer", func() {
		learned := pace.NewShape()
		for i := range 200 {
			learned.Observe(i*50, truth(i*50))
		}
		weights, seen := learned.Weights()
		Expect(seen).To(BeTrue())
		fresh := pace.NewShape()
		fresh.Adopt(weights)
		Expect(fresh.First(4000)).To(Equal(learned.First(4000)))
		used := pace.NewShape()
		used.Observe(100, time.Second)
		before := used.First(100)
		used.Adopt(weights)
		Expect(used.First(100)).To(Equal(before))
	})
})

var _ = Describe("Speed", func() {
	It("knows a slow target after its first answer", func() {
		var s pace.Speed
		Expect(s.Value()).To(Equal(1.0))
		s.Observe(150*time.Millisecond, 50*time.Millisecond)
		Expect(s.Value()).To(BeNumerically("~", 3, 0.01))
	})

	It("is not carried away by one odd answer", func() {
		var s pace.Speed
		for range 20 {
			s.Observe(50*time.Millisecond, 50*time.Millisecond)
		}
		s.Observe(500*time.Millisecond, 50*time.Millisecond)
		Expect(s.Value()).To(BeNumerically("<", 2.5))
	})
})

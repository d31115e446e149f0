package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/limit"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var _ = Describe("CustomerLimiter", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var c *limit.CustomerLimiter
	BeforeEach(func() { c = limit.NewCustomerLimiter() })

	It("bounds the concurrent requests of each customer", func() {
		b := limit.Bounds{MaxInFlight: 2}
		Expect(c.Admit(now, "a", b, 1, 10)).To(Succeed())
		Expect(c.Admit(now, "a", b, 2, 10)).To(Succeed())
		Expect(errkind.Of(c.Admit(now, "a", b, 3, 10))).To(Equal(errkind.CustomerLimit))
		Expect(c.Admit(now, "b", b, 3, 10)).To(Succeed())
		c.Release("a")
		Expect(c.Admit(now, "a", b, 3, 10)).To(Succeed())
	})
	It("returns the time until the tokens are available", func() {
		b := limit.Bounds{TokensPerSecond: 100}
		Expect(c.Admit(now, "a", b, 1, 1000)).To(Succeed())
		err := c.Admit(now, "a", b, 2, 200)
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
		wait := errkind.RetryAfterOf(err)
		Expect(wait).To(Equal(2 * time.Second))
		Expect(c.Admit(now.Add(wait-time.Millisecond), "a", b, 2, 200)).NotTo(Succeed())
		Expect(c.Admit(now.Add(wait), "a", b, 2, 200)).To(Succeed())
	})
	It("limits early retries after a refusal and nothing else", func() {
		c.RecordRefusal(now, "a", 7, time.Minute)
		refused := 0
		for range 30 {
			if errkind.Of(c.Admit(now, "a", limit.Bounds{}, 7, 1)) == errkind.CustomerLimit {
				refused++
			}
		}
		Expect(refused).To(Equal(20))
		Expect(c.Admit(now, "a", limit.Bounds{}, 8, 1)).To(Succeed())
		Expect(c.Admit(now.Add(time.Minute), "a", limit.Bounds{}, 7, 1)).To(Succeed())
	})
})

var _ = Describe("RetryAfter", func() {
	It("follows the expected wait and adds jitter", func() {
		Expect(limit.RetryAfter(errkind.Overloaded, time.Minute, 0)).To(Equal(time.Minute))
		Expect(limit.RetryAfter(errkind.Overloaded, time.Minute, 0.5)).To(Equal(75 * time.Second))
		Expect(limit.RetryAfter(errkind.Overloaded, 0, 0)).To(Equal(errkind.Overloaded.Answer().RetryAfter))
	})
})

package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("The retry budget", func() {
	budget := retry.Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}

	It("allows the ratio plus the slack and no more", func() {
		c := retry.NewCounter(budget)
		for range 100 {
			c.RecordRequest(start, "s")
		}
		allowed := 0
		for range 100 {
			if c.AllowRetry(start, "s", 1) {
				allowed++
			}
		}
		Expect(allowed).To(Equal(30))
	})

	It("resets after a window", func() {
		c := retry.NewCounter(budget)
		for range 10 {
			Expect(c.AllowRetry(start, "s", 1)).To(BeTrue())
		}
		Expect(c.AllowRetry(start.Add(5*time.Second), "s", 1)).To(BeFalse())
		Expect(c.AllowRetry(start.Add(11*time.Second), "s", 1)).To(BeTrue())
	})

	It("counts services separately and applies the share of the slack", func() {
		c := retry.NewCounter(budget)
		allowed := 0
		for range 20 {
			if c.AllowRetry(start, "s", 0.5) {
				allowed++
			}
		}
		Expect(allowed).To(Equal(5))
		Expect(c.AllowRetry(start, "other", 1)).To(BeTrue())
	})

	allowAll := func(c *retry.Counter, now time.Time) int {
		for n := 0; ; n++ {
			if !c.AllowRetry(now, "s", 1) {
				return n
			}
		}
	}

	It("allows another retry for each one that is returned", func() {
		c := retry.NewCounter(budget)
		Expect(allowAll(c, start)).To(Equal(10))
		for range 4 {
			c.ReturnRetry(start.Add(3*time.Second), start, "s")
		}
		Expect(allowAll(c, start.Add(3*time.Second))).To(Equal(4))
	})

	It("takes a returned retry off the time at which it was counted", func() {
		c := retry.NewCounter(budget)
		Expect(c.AllowRetry(start, "s", 1)).To(BeTrue())
		Expect(allowAll(c, start.Add(6*time.Second))).To(Equal(9))
		c.ReturnRetry(start.Add(6*time.Second), start, "s")
		Expect(allowAll(c, start.Add(6*time.Second))).To(Equal(1))
		Expect(allowAll(c, start.Add(11*time.Second))).To(BeZero(), "all ten count from the sixth second")
	})

	It("gains nothing from retries that no longer count, or that another service made", func() {
		c := retry.NewCounter(budget)
		Expect(c.AllowRetry(start, "s", 1)).To(BeTrue())
		later := start.Add(11 * time.Second)
		Expect(allowAll(c, later)).To(Equal(10))
		c.ReturnRetry(later, start, "s")
		c.ReturnRetry(later, later, "other")
		Expect(allowAll(c, later)).To(BeZero())
		for range 10 {
			Expect(c.AllowRetry(later, "other", 1)).To(BeTrue())
		}
		Expect(c.AllowRetry(later, "other", 1)).To(BeFalse())
	})

	It("keeps no count without a window", func() {
		c := retry.NewCounter(retry.Budget{})
		Expect(c.AllowRetry(start, "s", 1)).To(BeTrue())
		c.ReturnRetry(start, start, "s")
		Expect(c.AllowRetry(start, "s", 1)).To(BeTrue())
	})
})

var _ = Describe("Refusals", func() {
	It("distinguishes a retry after the advised time from an early one", func() {
		r := retry.NewRefusals()
		r.Record(start, 7, time.Second)
		retried, waited := r.CheckRetry(start.Add(200*time.Millisecond), 7)
		Expect(retried).To(BeTrue())
		Expect(waited).To(BeFalse())
		r.Record(start, 8, time.Second)
		retried, waited = r.CheckRetry(start.Add(time.Second), 8)
		Expect(retried).To(BeTrue())
		Expect(waited).To(BeTrue())
		retried, _ = r.CheckRetry(start, 9)
		Expect(retried).To(BeFalse())
	})

	It("drops old refusals", func() {
		r := retry.NewRefusals()
		r.Record(start, 7, time.Second)
		retried, _ := r.CheckRetry(start.Add(time.Minute), 7)
		Expect(retried).To(BeFalse())
	})
})

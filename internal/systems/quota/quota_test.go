package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("Buckets", func() {
	limit := fleet.Quota{TokensPerSecond: 100, Burst: 100}

	// ask asks for 10 tokens a hundred times a second and returns how many
	// tokens were given in each of the seconds.
	ask := func(b *quota.Buckets, share float64, seconds int) []int {
		given := make([]int, seconds)
		for i := range seconds * 100 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			if b.Take(now, "c", limit, share, 10) == 0 {
				given[i/100] += 10
			}
		}
		return given
	}

	It("gives the burst and then the rate", func() {
		given := ask(quota.NewBuckets(1, quota.Slack{}), 1, 5)
		Expect(given[0]).To(BeNumerically("~", 200, 10))
		for _, second := range given[1:] {
			Expect(second).To(BeNumerically("~", 100, 10))
		}
	})

	It("never gives more than the share over any window", func() {
		total := 0
		for _, second := range ask(quota.NewBuckets(1, quota.Slack{}), 0.25, 8) {
			total += second
		}
		Expect(total).To(BeNumerically("<=", (8*100+100)/4))
	})

	It("tells when the tokens will be there", func() {
		b := quota.NewBuckets(0, quota.Slack{})
		wait := b.Take(start, "c", limit, 1, 50)
		Expect(wait).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
		Expect(b.Take(start.Add(wait), "c", limit, 1, 50)).To(BeZero())
	})

	It("gives back what a request that did not run had taken", func() {
		b := quota.NewBuckets(1, quota.Slack{})
		Expect(b.Take(start, "c", limit, 1, 100)).To(BeZero())
		Expect(b.Take(start, "c", limit, 1, 100)).NotTo(BeZero())
		b.Return("c", 100)
		Expect(b.Take(start, "c", limit, 1, 100)).To(BeZero())
	})

	It("counts a lower limit at once", func() {
		b := quota.NewBuckets(1, quota.Slack{})
		Expect(b.Take(start, "c", limit, 1, 10)).To(BeZero())
		low := fleet.Quota{TokensPerSecond: 1, Burst: 1}
		Expect(b.Take(start, "c", low, 1, 1)).To(BeZero())
		Expect(b.Take(start, "c", low, 1, 1)).NotTo(BeZero())
	})

	It("lets a request above the burst pass when the bucket is full", func() {
		b := quota.NewBuckets(1, quota.Slack{})
		Expect(b.Take(start, "c", limit, 1, 150)).To(BeZero())
		Expect(b.Take(start.Add(time.Second), "c", limit, 1, 100)).NotTo(BeZero())
	})

	It("counts what was used at another home", func() {
		b := quota.NewBuckets(1, quota.Slack{})
		b.Used(start, "c", limit, 1, 100)
		Expect(b.Take(start, "c", limit, 1, 10)).NotTo(BeZero())
	})
})

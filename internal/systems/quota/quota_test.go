package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var start = time.Unix(1_700_000_000, 0)

// arrival is when a request of 10 tokens reached its target.
type arrival struct {
	at     time.Time
	tokens float64
}

// mostIn returns the most tokens that arrived in any window.
func mostIn(arrivals []arrival, window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, a := range arrivals {
		sum += a.tokens
		for a.at.Sub(arrivals[first].at) >= window {
			sum -= arrivals[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

var _ = Describe("Buckets", func() {
	limit := fleet.Quota{TokensPerSecond: 100, Burst: 100}
	bounds := quota.Bounds{Window: 4 * time.Second}
	take := func(b *quota.Buckets, now time.Time, tokens int) time.Duration {
		_, wait := b.Take(now, "c", limit, 1, tokens)
		return wait
	}
	// known returns buckets to which all hosts have told that nothing was used.
	known := func(bounds quota.Bounds) *quota.Buckets {
		b := quota.NewBuckets(bounds)
		b.TakeOver(start)
		b.Told(start, map[tables.CustomerID]fleet.Quota{"c": limit}, 1, quota.Told{Over: bounds.Window, Part: 1})
		return b
	}

	// ask asks for 10 tokens a hundred times a second and returns how many
	// tokens were given in each of the seconds.
	ask := func(b *quota.Buckets, share float64, seconds int) []int {
		given := make([]int, seconds)
		for i := range seconds * 100 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			if _, wait := b.Take(now, "c", limit, share, 10); wait == 0 {
				given[i/100] += 10
			}
		}
		return given
	}

	It("gives a part of the burst at once and all that a window allows over it", func() {
		given := ask(known(bounds), 1, 12)
		// A window of 4 s allows 500 tokens: 80 at once and 125 a second, until
		// the window has given them all.
		Expect(given[0]).To(BeNumerically("~", 80+125, 12))
		for i := range len(given) - 3 {
			inWindow := given[i] + given[i+1] + given[i+2] + given[i+3]
			Expect(inWindow).To(BeNumerically("<=", 500))
			Expect(inWindow).To(BeNumerically(">=", 475))
		}
	})

	It("never gives more than the share of the bounds over any window", func() {
		given := ask(known(quota.Bounds{Window: 4 * time.Second, Overshoot: 0.1, Slack: 40}), 0.25, 12)
		for i := range len(given) - 3 {
			inWindow := given[i] + given[i+1] + given[i+2] + given[i+3]
			Expect(inWindow).To(BeNumerically("<=", ((4*100+100)*1.1+40)/4))
		}
	})

	for seed := range uint64(40) {
		It("keeps every window within the bounds while requests wait, and over a loss of what it knows", func() {
			random := rand.New(rand.NewPCG(seed, 7))
			wide := quota.Bounds{Window: 4 * time.Second, Overshoot: 0.1, Slack: 100}
			b := known(wide)
			loss := random.IntN(1200)
			type waiting struct {
				charge quota.Charge
				until  time.Time
			}
			var queue []waiting
			var arrivals []arrival
			busy := random.Float64() < 0.5
			for i := range 1600 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				if i == loss {
					b.TakeOver(now)
					queue = nil
				}
				if random.Float64() < 0.005 {
					busy = !busy
				}
				for len(queue) > 0 && !now.Before(queue[0].until) {
					b.Started(now, queue[0].charge)
					arrivals = append(arrivals, arrival{now, float64(queue[0].charge.Tokens)})
					queue = queue[1:]
				}
				if !busy {
					continue
				}
				if c, wait := b.Take(now, "c", limit, 1, 1+random.IntN(10)); wait == 0 {
					queue = append(queue, waiting{c, now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)})
				}
			}
			Expect(mostIn(arrivals, 4*time.Second)).To(BeNumerically("<=", (4*100+100)*1.1+100))
		})
	}

	It("tells when the tokens will be there", func() {
		b := quota.NewBuckets(bounds)
		wait := take(b, start, 50)
		Expect(wait).To(BeNumerically("~", 1040*time.Millisecond, 10*time.Millisecond))
		Expect(take(b, start.Add(wait-20*time.Millisecond), 50)).NotTo(BeZero())
		Expect(take(b, start.Add(wait), 50)).To(BeZero())
	})

	It("tells when enough of the window will have passed", func() {
		b := known(bounds)
		Expect(take(b, start, 500)).To(BeZero())
		now := start.Add(3900 * time.Millisecond)
		wait := take(b, now, 10)
		Expect(wait).To(BeNumerically(">", 0))
		Expect(wait).To(BeNumerically("<=", 200*time.Millisecond))
		Expect(take(b, now.Add(wait), 10)).To(BeZero())
	})

	It("gives back what a request that did not run had taken", func() {
		b := known(bounds)
		charge, wait := b.Take(start, "c", limit, 1, 50)
		Expect(wait).To(BeZero())
		Expect(take(b, start, 50)).NotTo(BeZero())
		b.Return(charge)
		Expect(take(b, start, 50)).To(BeZero())
	})

	It("counts a lower limit at once", func() {
		b := known(bounds)
		Expect(take(b, start, 10)).To(BeZero())
		low := fleet.Quota{TokensPerSecond: 1, Burst: 1}
		_, wait := b.Take(start, "c", low, 1, 1)
		Expect(wait).NotTo(BeZero())
	})

	It("lets a request above the burst pass when the bucket is full", func() {
		b := known(bounds)
		Expect(take(b, start, 150)).To(BeZero())
		Expect(take(b, start.Add(time.Second), 100)).NotTo(BeZero())
	})

	It("lets a request above all that a window allows pass when nothing was used", func() {
		b := known(bounds)
		Expect(take(b, start, 600)).To(BeZero())
		Expect(take(b, start.Add(3*time.Second), 10)).NotTo(BeZero())
	})

	It("knows a customer above its bare rate, until it has slowed down", func() {
		b := known(quota.Bounds{Window: 4 * time.Second, Slack: 4000})
		Expect(b.Above("c")).To(BeFalse())
		for i := range 40 {
			Expect(take(b, start.Add(time.Duration(i)*25*time.Millisecond), 10)).To(BeZero())
		}
		Expect(b.Above("c")).To(BeTrue())
		for i := range 20 {
			take(b, start.Add(time.Second+time.Duration(i)*200*time.Millisecond), 5)
		}
		Expect(b.Above("c")).To(BeFalse())
	})

	It("counts what was used at another home", func() {
		b := quota.NewBuckets(bounds)
		b.TakeOver(start)
		quotas := map[tables.CustomerID]fleet.Quota{"c": limit}
		b.Told(start, quotas, 1, quota.Told{Tokens: map[tables.CustomerID]float64{"c": 495}, Over: 4 * time.Second, Part: 1})
		Expect(take(b, start, 10)).NotTo(BeZero())
	})

	It("does not hold steady use at another home against a customer", func() {
		b := quota.NewBuckets(bounds)
		b.TakeOver(start)
		quotas := map[tables.CustomerID]fleet.Quota{"c": limit}
		for range 4 {
			// Four hosts, each with a quarter of 100 tokens a second for 4 s.
			b.Told(start, quotas, 1, quota.Told{Tokens: map[tables.CustomerID]float64{"c": 100}, Over: 4 * time.Second, Part: 0.25})
		}
		Expect(take(b, start, 40)).To(BeZero())
	})

	It("gives nothing back for a charge from before a loss", func() {
		b := known(bounds)
		charge, wait := b.Take(start, "c", limit, 1, 50)
		Expect(wait).To(BeZero())
		later := start.Add(2 * time.Second)
		b.TakeOver(later)
		quotas := map[tables.CustomerID]fleet.Quota{"c": limit}
		b.Told(later, quotas, 1, quota.Told{Tokens: map[tables.CustomerID]float64{"c": 495}, Over: 4 * time.Second, Part: 1})
		b.Return(charge)
		Expect(take(b, later, 10)).NotTo(BeZero())
	})

	It("gives nothing right after a loss, and serves again a second later", func() {
		b := quota.NewBuckets(bounds)
		b.TakeOver(start)
		Expect(take(b, start, 10)).NotTo(BeZero())
		Expect(take(b, start.Add(time.Second), 10)).To(BeZero())
	})
})

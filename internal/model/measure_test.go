package model_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/model"
)

// Load and bounds of the target size: 590 requests/s over 64 shards.
const (
	shards          = 64
	claimsPerSecond = 590.0 / shards
	appendBudget    = 256.0
)

var _ = Describe("Measurements", func() {
	It("keep the appends of all shards within the budget", func() {
		for _, latency := range []time.Duration{5, 50, 500} {
			for _, wait := range []time.Duration{0, 25, 50, 100, 250} {
				w := model.Window{ClaimsPerSecond: claimsPerSecond, Append: latency * time.Millisecond, Wait: wait * time.Millisecond}
				GinkgoWriter.Printf("| %d ms | fixed %d ms | %v |\n", latency, wait, model.MeasureWindow(1, w))
			}
			w := model.Window{ClaimsPerSecond: claimsPerSecond, Append: latency * time.Millisecond, AppendsPerSecond: appendBudget / shards}
			r := model.MeasureWindow(1, w)
			GinkgoWriter.Printf("| %d ms | budget %.0f/s | %v |\n", latency, appendBudget, r)
			Expect(r.AppendsPerSecond * shards).To(BeNumerically("<=", appendBudget*1.01))
			Expect(r.P99).To(BeNumerically("<", 3*time.Second), "asks time out after three seconds")
		}
	})
	It("start keyed requests no later for deadlines that count from the arrival", func() {
		claims := model.ClaimTimes(1, model.Window{ClaimsPerSecond: claimsPerSecond, Append: 5 * time.Millisecond, AppendsPerSecond: appendBudget / shards})
		for _, load := range []float64{0.5, 0.9, 1.0} {
			before := model.MeasureClaimWait(1, model.ClaimWait{Load: load, Claims: claims})
			after := model.MeasureClaimWait(1, model.ClaimWait{Load: load, Claims: claims, FromArrival: true})
			GinkgoWriter.Printf("| %.1f | claim | %v | %v |\n| %.1f | arrival | %v | %v |\n", load, before.Keyed, before.Unkeyed, load, after.Keyed, after.Unkeyed)
			Expect(after.Keyed.Mean).To(BeNumerically("<=", before.Keyed.Mean))
		}
	})
	It("show that a home that decides in memory dispatches twice, and a minting host never", func() {
		for _, lag := range []time.Duration{0, 1, 5} {
			for _, partition := range []time.Duration{0, 2} {
				for scheme, name := range []string{"log claims", "host-minted keys", "home in memory"} {
					o := model.Outage{
						Scheme: model.Scheme(scheme), CallsPerSecond: 20, Length: 20 * time.Minute, HostLife: 8 * time.Hour,
						Think: 30 * time.Second, LostReply: 0.01, Partition: partition * time.Minute, ViewLag: lag * time.Second,
					}
					r := model.MeasureOutage(1, o)
					GinkgoWriter.Println(fmt.Sprintf("| %d s | %d min | %s | %v |", lag, partition, name, r))
					if o.Scheme != model.HomeMemory {
						Expect(r.Doubled).To(BeZero())
					}
					if o.Scheme == model.HomeMemory && partition > 0 {
						Expect(r.Doubled).To(BeNumerically(">", 0))
					}
				}
			}
		}
	})
	It("lose no call between log claims and host-minted keys", func() {
		for _, minutes := range []time.Duration{0, 5, 20} {
			for _, life := range []time.Duration{1, 8} {
				for scheme, name := range []string{"log claims", "host-minted keys", "home in memory"} {
					o := model.Outage{
						Scheme: model.Scheme(scheme), CallsPerSecond: 2, Length: minutes * time.Minute,
						HostLife: life * time.Hour, Think: 30 * time.Second, LostReply: 0.01,
					}
					r := model.MeasureOutage(1, o)
					GinkgoWriter.Println(fmt.Sprintf("| %d min | %d h | %s | %v |", minutes, life, name, r))
					Expect(r.Done + r.NotRun + r.Unknown).To(Equal(r.Wanted))
				}
			}
		}
	})
})

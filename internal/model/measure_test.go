package model_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/model"
)

// Load and append budget of the target size: 590 requests per second over 64 shards.
const (
	shardCount      = 64
	claimsPerSecond = 590.0 / shardCount
	appendBudget    = 256.0
)

var _ = Describe("Measurements", func() {
	It("keep the appends of all shards within the append budget", func() {
		for _, latencyMS := range []time.Duration{5, 50, 500} {
			for _, delayMS := range []time.Duration{0, 25, 50, 100, 250} {
				config := model.ShardConfig{ClaimsPerSecond: claimsPerSecond, AppendLatency: latencyMS * time.Millisecond, BatchDelay: delayMS * time.Millisecond}
				GinkgoWriter.Printf("| %d ms | fixed %d ms | %v |\n", latencyMS, delayMS, model.MeasureShard(1, config))
			}
			config := model.ShardConfig{ClaimsPerSecond: claimsPerSecond, AppendLatency: latencyMS * time.Millisecond, AppendsPerSecond: appendBudget / shardCount}
			r := model.MeasureShard(1, config)
			GinkgoWriter.Printf("| %d ms | budget %.0f/s | %v |\n", latencyMS, appendBudget, r)
			Expect(r.AppendsPerSecond * shardCount).To(BeNumerically("<=", appendBudget*1.01))
			Expect(r.P99).To(BeNumerically("<", 3*time.Second), "acquire calls time out after 3 s")
		}
	})
	It("start keyed requests no later on average if deadlines count from the arrival", func() {
		durations := model.ClaimDurations(1, model.ShardConfig{ClaimsPerSecond: claimsPerSecond, AppendLatency: 5 * time.Millisecond, AppendsPerSecond: appendBudget / shardCount})
		for _, load := range []float64{0.5, 0.9, 1.0} {
			fromClaim := model.MeasureClaimWait(1, model.ClaimWaitConfig{Load: load, ClaimDurations: durations})
			fromArrival := model.MeasureClaimWait(1, model.ClaimWaitConfig{Load: load, ClaimDurations: durations, DeadlineFromArrival: true})
			GinkgoWriter.Printf("| %.1f | claim | %v | %v |\n| %.1f | arrival | %v | %v |\n", load, fromClaim.Keyed, fromClaim.Unkeyed, load, fromArrival.Keyed, fromArrival.Unkeyed)
			Expect(fromArrival.Keyed.Mean).To(BeNumerically("<=", fromClaim.Keyed.Mean))
		}
	})
	It("find duplicate dispatches if the home decides in memory during a partition, and none in the other schemes", func() {
		for _, viewDelay := range []time.Duration{0, 1, 5} {
			for _, partition := range []time.Duration{0, 2} {
				for scheme, name := range []string{"log claims", "host-minted keys", "home in memory"} {
					config := model.OutageConfig{
						Scheme: model.Scheme(scheme), CallsPerSecond: 20, OutageDuration: 20 * time.Minute, HostLifetime: 8 * time.Hour,
						MaxThinkTime: 30 * time.Second, ReplyLossRate: 0.01, PartitionDuration: partition * time.Minute, MaxViewDelay: viewDelay * time.Second,
					}
					r := model.MeasureOutage(1, config)
					GinkgoWriter.Println(fmt.Sprintf("| %d s | %d min | %s | %v |", viewDelay, partition, name, r))
					if config.Scheme != model.HomeMemory {
						Expect(r.DuplicateDispatches).To(BeZero())
					}
					if config.Scheme == model.HomeMemory && partition > 0 {
						Expect(r.DuplicateDispatches).To(BeNumerically(">", 0))
					}
				}
			}
		}
	})
	It("give every call exactly one outcome in each scheme", func() {
		for _, minutes := range []time.Duration{0, 5, 20} {
			for _, lifetime := range []time.Duration{1, 8} {
				for scheme, name := range []string{"log claims", "host-minted keys", "home in memory"} {
					config := model.OutageConfig{
						Scheme: model.Scheme(scheme), CallsPerSecond: 2, OutageDuration: minutes * time.Minute,
						HostLifetime: lifetime * time.Hour, MaxThinkTime: 30 * time.Second, ReplyLossRate: 0.01,
					}
					r := model.MeasureOutage(1, config)
					GinkgoWriter.Println(fmt.Sprintf("| %d min | %d h | %s | %v |", minutes, lifetime, name, r))
					Expect(r.Succeeded + r.NotRun + r.Unknown).To(Equal(r.Calls))
				}
			}
		}
	})
})

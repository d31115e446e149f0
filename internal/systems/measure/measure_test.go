package measure_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/measure"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "measure")
}

var _ = Describe("stragglers", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var targets *tables.Targets
	var t *tables.Target
	var r *tables.Request

	BeforeEach(func() {
		targets = tables.NewTargets()
		t = &tables.Target{ID: "e1", WindowMin: 1, WindowMax: 8, Running: 1, Speed: tables.Speed{PrefillTokensPerSecond: 1000, Step: 10 * time.Millisecond}}
		targets.Put(t)
		r = &tables.Request{PromptTokens: 100, Started: now}
		measure.RecordChunk(now.Add(100*time.Millisecond), t, r, 1)
	})
	sendTokens := func(n int, gap time.Duration) {
		for range n {
			measure.RecordChunk(r.LastProgress.Add(gap), t, r, 1)
		}
		measure.Tick(r.LastProgress, targets)
	}

	It("marks a target that slows to a third of its speed and clears the mark when it recovers", func() {
		sendTokens(300, 10*time.Millisecond)
		Expect(t.Straggler).To(BeFalse())
		Expect(t.Window).To(BeNumerically("~", 8, 0.5))
		sendTokens(300, 30*time.Millisecond)
		Expect(t.Straggler).To(BeTrue())
		sendTokens(300, 10*time.Millisecond)
		Expect(t.Straggler).To(BeFalse())
	})
	It("does not mark a target with occasional long steps", func() {
		for range 200 {
			sendTokens(2, 10*time.Millisecond)
			sendTokens(2, 80*time.Millisecond)
		}
		Expect(t.Straggler).To(BeFalse())
		Expect(t.Estimate.Slowdown).To(BeNumerically(">", 2))
	})
	It("counts a long step once for all running sequences", func() {
		sendTokens(300, 10*time.Millisecond)
		t.Running = 16
		for range 16 {
			measure.RecordChunk(r.LastProgress.Add(80*time.Millisecond), t, r, 1)
		}
		Expect(t.Estimate.Slowdown).To(BeNumerically("<", 1.1))
	})
	It("measures the time per token when chunks carry several tokens", func() {
		for range 200 {
			measure.RecordChunk(r.LastProgress.Add(40*time.Millisecond), t, r, 4)
		}
		Expect(t.Estimate.TokenGap).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
	})
	It("keeps new work off a target that failed a request", func() {
		measure.RecordFinish(now, t, r, errkind.RanFailed)
		Expect(r.State).To(Equal(tables.Finished))
		Expect(t.Available(now)).To(BeFalse())
		Expect(t.Available(now.Add(time.Minute))).To(BeTrue())
	})
})

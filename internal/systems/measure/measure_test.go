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
		measure.Chunk(now.Add(100*time.Millisecond), t, r, 1)
	})
	tokens := func(n int, gap time.Duration) {
		for range n {
			measure.Chunk(r.LastProgress.Add(gap), t, r, 1)
		}
		measure.Tick(r.LastProgress, targets)
	}

	It("ejects a target at a third of its speed and takes it back when it recovers", func() {
		tokens(300, 10*time.Millisecond)
		Expect(t.Straggler).To(BeFalse())
		Expect(t.Window).To(BeNumerically("~", 8, 0.5))
		tokens(300, 30*time.Millisecond)
		Expect(t.Straggler).To(BeTrue())
		tokens(300, 10*time.Millisecond)
		Expect(t.Straggler).To(BeFalse())
	})
	It("does not eject a target whose steps are now and then long", func() {
		for range 200 {
			tokens(2, 10*time.Millisecond)
			tokens(2, 80*time.Millisecond)
		}
		Expect(t.Straggler).To(BeFalse())
		Expect(t.Estimate.Slowdown).To(BeNumerically(">", 2))
	})
	It("counts one long step once, however many sequences saw it", func() {
		tokens(300, 10*time.Millisecond)
		t.Running = 16
		for range 16 {
			measure.Chunk(r.LastProgress.Add(80*time.Millisecond), t, r, 1)
		}
		Expect(t.Estimate.Slowdown).To(BeNumerically("<", 1.1))
	})
	It("judges by the time of one token when chunks carry several", func() {
		for range 200 {
			measure.Chunk(r.LastProgress.Add(40*time.Millisecond), t, r, 4)
		}
		Expect(t.Estimate.TokenGap).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
	})
	It("keeps new work off a target that lost a request", func() {
		measure.Finished(now, t, r, errkind.RanFailed)
		Expect(r.State).To(Equal(tables.Finished))
		Expect(t.Open(now)).To(BeFalse())
		Expect(t.Open(now.Add(time.Minute))).To(BeTrue())
	})
})

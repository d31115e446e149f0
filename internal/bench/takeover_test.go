package bench

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// newTakeoverSim returns a simulation with one engine that host 0 owns, and the index of
// the host that owns the engine after a crash of host 0. That host is one of the first
// to detect the crash.
func newTakeoverSim() (*sim, int) {
	for n := 0; ; n++ {
		s := emptySim()
		s.engines[0].id = tables.TargetID(fmt.Sprintf("t%02d", n))
		s.score = newScore(s)
		p := newBluebellPolicy(s, false)
		s.policy = p
		h := bluebellHost{}
		if h.owner(s.engines[0].id) != 0 {
			continue
		}
		h.knownDown[0] = true
		if next := h.owner(s.engines[0].id); next <= 3 {
			return s, next
		}
	}
}

var _ = Describe("a takeover", func() {
	const crash = time.Second
	// firstDetection is the latest time at which the new owner detects the crash. By
	// lastDetection all hosts have detected it.
	firstDetection := crash + downDetectionDelay + 3*downDetectionDelayStep
	lastDetection := crash + downDetectionDelay + (hosts-1)*downDetectionDelayStep
	model := class{service: "model"}
	It("runs no lower tier before the gates of higher tiers know the new owner", func() {
		s, next := newTakeoverSim()
		high := &job{class: model, id: "high", tier: 0, gate: hosts - 1, arrivedAt: crash, deadline: lastDetection - 50*time.Millisecond, promptTokens: 1000, outputLength: 100}
		low := &job{class: model, id: "low", tier: 1, gate: next, arrivedAt: firstDetection, deadline: time.Minute, promptTokens: 1000, outputLength: 100}
		later := &job{class: model, id: "later", tier: 0, gate: hosts - 1, arrivedAt: crash, deadline: time.Minute, promptTokens: 1000, outputLength: 100}
		s.scheduleAt(crash, func() {
			s.down[0] = true
			s.policy.hostDown(s, 0)
		})
		for _, j := range []*job{high, low, later} {
			s.scheduleAt(j.arrivedAt, func() { s.arrive(j) })
		}
		s.runAllEvents()
		Expect(s.score.trace.inversions).To(BeZero())
		Expect(s.score.endings).To(HaveKeyWithValue(high, endExpired))
		Expect(s.score.endings).To(HaveKeyWithValue(low, endCompleted))
		Expect(s.score.endings).To(HaveKeyWithValue(later, endCompleted))
		Expect(later.firstTokenAt).To(BeNumerically("<", low.firstTokenAt))
	})
})

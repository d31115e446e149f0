package bench

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// lostOwner returns a run with one engine, whose owner is host 0 and whose next
// owner is among the first hosts to learn of a death.
func lostOwner() (*sim, int) {
	for n := 0; ; n++ {
		s := emptySim()
		s.engines[0].id = tables.TargetID(fmt.Sprintf("t%02d", n))
		s.score = newScore(s)
		p := newSeam(s, false)
		s.policy = p
		h := seamHost{}
		if h.owner(s.engines[0].id) != 0 {
			continue
		}
		h.dead[0] = true
		if next := h.owner(s.engines[0].id); next <= 3 {
			return s, next
		}
	}
}

var _ = Describe("a takeover", func() {
	const crash = time.Second
	// knownFirst and knownLast are when the new owner and the last gate have
	// learnt of the lost host.
	knownFirst := crash + deathLag + 3*deathLagStep
	knownLast := crash + deathLag + (hosts-1)*deathLagStep
	model := class{service: "model"}
	It("runs no lower tier while the gate of a higher one looks for the new owner", func() {
		s, next := lostOwner()
		high := &job{class: model, id: "high", tier: 0, gate: hosts - 1, arrived: crash, due: knownLast - 50*time.Millisecond, prompt: 1000, out: 100}
		low := &job{class: model, id: "low", tier: 1, gate: next, arrived: knownFirst, due: time.Minute, prompt: 1000, out: 100}
		later := &job{class: model, id: "later", tier: 0, gate: hosts - 1, arrived: crash, due: time.Minute, prompt: 1000, out: 100}
		s.at(crash, func() {
			s.down[0] = true
			s.policy.hostDown(s, 0)
		})
		for _, j := range []*job{high, low, later} {
			s.at(j.arrived, func() { s.arrive(j) })
		}
		s.drain()
		Expect(s.score.trace.inversions).To(BeZero())
		Expect(s.score.outcome).To(HaveKeyWithValue(high, endExpired))
		Expect(s.score.outcome).To(HaveKeyWithValue(low, endWhole))
		Expect(s.score.outcome).To(HaveKeyWithValue(later, endWhole))
		Expect(later.first).To(BeNumerically("<", low.first))
	})
})

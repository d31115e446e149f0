package schedule_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("a target after a takeover", func() {
	var s *schedule.State
	BeforeEach(func() {
		s = schedule.NewState()
		e := engine("e1", 2)
		e.TakenOverAt = start
		s.Targets.Put(e)
	})
	It("accepts each tier one delay after the tier above it", func() {
		Expect(s.Accepts(start, "e1", 0)).To(BeTrue())
		Expect(s.Accepts(start.Add(500*time.Millisecond), "e1", 1)).To(BeFalse())
		Expect(s.Accepts(start.Add(time.Second), "e1", 1)).To(BeTrue())
		Expect(s.Accepts(start.Add(time.Second), "e1", 2)).To(BeFalse())
	})
	It("does not start queued requests of a lower tier early", func() {
		s.Requests.Put(request("low", 1, time.Minute, "e1"))
		Expect(schedule.Tick(start, s)).To(BeEmpty())
		Expect(requestIDs(schedule.Tick(start.Add(time.Second), s), tables.Start)).To(Equal([]string{"low"}))
	})
	It("accepts requests that can displace a running request of a lower tier", func() {
		adopted := request("adopted", 2, time.Minute, "e1")
		adopted.State, adopted.Target = tables.Running, "e1"
		s.Requests.Put(adopted)
		schedule.Tick(start, s)
		Expect(s.Accepts(start, "e1", 1)).To(BeTrue())
		Expect(s.Accepts(start, "e1", 2)).To(BeFalse())
	})
})

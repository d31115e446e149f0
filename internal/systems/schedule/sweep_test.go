package schedule_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("AllowRefusal", func() {
	var s *schedule.State
	targets := []tables.TargetID{"e1", "elsewhere"}
	BeforeEach(func() {
		s = schedule.NewState()
		s.Targets.Put(engine("e1", 1))
	})
	It("returns false while a request of a lower tier runs", func() {
		s.Requests.Put(request("low", 2, time.Minute, "e1"))
		schedule.Tick(start, s)
		Expect(s.AllowRefusal(start, 1, targets)).To(BeFalse())
		Expect(s.AllowRefusal(start, 2, targets)).To(BeTrue())
	})
	It("returns false while a request of a lower tier is queued", func() {
		s.Requests.Put(request("same", 1, time.Minute, "e1"))
		schedule.Tick(start, s)
		Expect(s.AllowRefusal(start, 1, targets)).To(BeTrue())
		s.Requests.Put(request("low", 2, time.Minute, "e1"))
		Expect(s.AllowRefusal(start, 1, targets)).To(BeFalse())
	})
	It("blocks lower tiers for a short time", func() {
		Expect(s.AllowRefusal(start, 1, targets)).To(BeTrue())
		s.Requests.Put(request("low", 2, time.Minute, "e1"))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(BeEmpty())
	})
})

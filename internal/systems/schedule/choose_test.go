package schedule_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("prompts that targets hold", func() {
	var s *schedule.State
	var chain []uint64
	holding := func(id string, due time.Duration, allowed ...tables.TargetID) *tables.Request {
		r := request(id, 1, due, allowed...)
		r.Prefix = chain
		return r
	}
	BeforeEach(func() {
		s = schedule.NewState()
		chain = make([]uint64, 48)
		for i := range chain {
			chain[i] = uint64(i + 1)
		}
		s.Targets.Put(engine("e1", 1))
		s.Prefixes.Stored("e1", chain)
	})
	It("go first within their tier, but not before urgent requests", func() {
		s.Requests.Put(request("cold", 1, time.Minute, "e1"))
		s.Requests.Put(holding("held", 2*time.Minute, "e1"))
		Expect(ids(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"held"}))
		s.Requests.Put(holding("held again", 2*time.Minute, "e1"))
		s.Requests.Put(request("urgent", 1, 2*time.Second, "e1"))
		s.Requests.Delete("held")
		Expect(ids(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"urgent"}))
	})
	It("wait for less than a second while another target has room", func() {
		s.Targets.Put(engine("e2", 1))
		s.Requests.Put(holding("first", time.Minute, "e1", "e2"))
		s.Requests.Put(holding("second", time.Minute, "e1", "e2"))
		Expect(ids(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"first"}))
		Expect(s.Requests.Get("first").Target).To(BeEquivalentTo("e1"))
		Expect(schedule.Tick(start.Add(500*time.Millisecond), s)).To(BeEmpty())
		Expect(ids(schedule.Tick(start.Add(900*time.Millisecond), s), tables.Start)).To(Equal([]string{"second"}))
	})
})

package schedule_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("requests with cached prompts", func() {
	var s *schedule.State
	var chain []uint64
	cached := func(id string, due time.Duration, allowed ...tables.TargetID) *tables.Request {
		r := request(id, 1, due, allowed...)
		r.PrefixHashes = chain
		return r
	}
	BeforeEach(func() {
		s = schedule.NewState()
		chain = make([]uint64, 48)
		for i := range chain {
			chain[i] = uint64(i + 1)
		}
		s.Targets.Put(engine("e1", 1))
		s.Prefixes.RecordStored("e1", chain)
	})
	It("start first within their tier, but after urgent requests", func() {
		s.Requests.Put(request("cold", 1, time.Minute, "e1"))
		s.Requests.Put(cached("cached", 2*time.Minute, "e1"))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"cached"}))
		s.Requests.Put(cached("cached again", 2*time.Minute, "e1"))
		s.Requests.Put(request("urgent", 1, 2*time.Second, "e1"))
		s.Requests.Delete("cached")
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"urgent"}))
	})
	It("wait less than a second for a target with the prompt cached while another has a free slot", func() {
		s.Targets.Put(engine("e2", 1))
		s.Requests.Put(cached("first", time.Minute, "e1", "e2"))
		s.Requests.Put(cached("second", time.Minute, "e1", "e2"))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"first"}))
		Expect(s.Requests.Get("first").Target).To(BeEquivalentTo("e1"))
		Expect(schedule.Tick(start.Add(500*time.Millisecond), s)).To(BeEmpty())
		Expect(requestIDs(schedule.Tick(start.Add(900*time.Millisecond), s), tables.Start)).To(Equal([]string{"second"}))
	})
})

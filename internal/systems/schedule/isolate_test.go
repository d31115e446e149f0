package schedule_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("a request that must run alone", func() {
	var s *schedule.State
	aloneRequest := func(id string) *tables.Request {
		r := request(id, 1, time.Minute, "e1", "e2")
		r.Alone = true
		return r
	}
	BeforeEach(func() {
		s = schedule.NewState()
		s.Targets.Put(engine("e1", 4))
		s.Targets.Put(engine("e2", 4))
	})
	It("waits for an idle target and excludes other requests while it runs", func() {
		for _, id := range []string{"a", "b"} {
			s.Requests.Put(request(id, 0, time.Minute, "e1", "e2"))
		}
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(HaveLen(2))
		s.Requests.Put(aloneRequest("x"))
		Expect(schedule.Tick(start, s)).To(BeEmpty())
		s.Requests.Put(request("c", 0, time.Minute, "e1", "e2"))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"c"}))
		busy := s.Requests.Get("c").Target
		for _, id := range []tables.RequestID{"a", "b"} {
			if s.Requests.Get(id).Target != busy {
				s.Requests.Delete(id)
			}
		}
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"x"}))
		aloneTarget := s.Requests.Get("x").Target
		Expect(aloneTarget).NotTo(Equal(busy))
		s.Requests.Put(request("d", 0, time.Minute, "e1", "e2"))
		schedule.Tick(start, s)
		Expect(s.Requests.Get("d").Target).To(Equal(busy))
		s.Requests.Delete("x")
		s.Requests.Put(request("e", 0, time.Minute, aloneTarget))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"e"}))
	})
	It("does not share a target with another such request", func() {
		for _, id := range []string{"x", "y", "z"} {
			s.Requests.Put(aloneRequest(id))
		}
		started := append(requestIDs(schedule.Tick(start, s), tables.Start), requestIDs(schedule.Tick(start, s), tables.Start)...)
		Expect(started).To(HaveLen(2))
		Expect(s.Requests.Get(tables.RequestID(started[0])).Target).NotTo(Equal(s.Requests.Get(tables.RequestID(started[1])).Target))
		s.Requests.Delete(tables.RequestID(started[0]))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(HaveLen(1))
	})
	It("releases its reservation when it leaves the queue", func() {
		s.Requests.Put(request("a", 0, time.Minute, "e1"))
		s.Requests.Put(request("b", 0, time.Minute, "e2"))
		schedule.Tick(start, s)
		s.Requests.Put(aloneRequest("x"))
		schedule.Tick(start, s)
		s.Requests.Delete("x")
		s.Requests.Put(request("c", 0, time.Minute, "e1"))
		s.Requests.Put(request("d", 0, time.Minute, "e2"))
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(HaveLen(2))
	})
})

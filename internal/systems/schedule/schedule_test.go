package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/schedule"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestSchedule(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "schedule")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(id tables.TargetID, window int) *tables.Target {
	return &tables.Target{
		ID: id, Owned: true, WindowMin: 1, WindowMax: window,
		Services: map[tables.ServiceID]bool{"reports": true},
		Speed:    tables.Speed{PrefillTokensPerSecond: 8000, Step: 10 * time.Millisecond, StepPerSequence: time.Millisecond},
	}
}

func request(id string, tier int, due time.Duration, allowed ...tables.TargetID) *tables.Request {
	return &tables.Request{
		ID: tables.RequestID(id), Customer: "museum", Service: "reports", Tier: tier, Share: 1,
		Arrived: start, Due: start.Add(due), PromptTokens: 800, MaxTokens: 100, PredictedTokens: 100, Allowed: allowed,
	}
}

func requestIDs(ds []tables.Decision, a tables.Action) []string {
	var out []string
	for _, d := range ds {
		if d.Action == a {
			out = append(out, string(d.Request))
		}
	}
	return out
}

var _ = Describe("Tick", func() {
	var s *schedule.State
	BeforeEach(func() { s = schedule.NewState() })

	It("starts higher tiers first and respects the window", func() {
		s.Targets.Put(engine("e1", 2))
		for i, tier := range []int{2, 1, 0} {
			s.Requests.Put(request(fmt.Sprintf("r%d", i), tier, time.Minute, "e1"))
		}
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"r2", "r1"}))
		Expect(s.Requests.Get("r2").State).To(Equal(tables.Running))
		Expect(s.Requests.Get("r0").State).To(Equal(tables.Queued))
		s.Requests.Delete("r2")
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"r0"}))
	})

	It("runs a request only on its allowed targets", func() {
		s.Targets.Put(engine("e1", 2))
		s.Targets.Put(engine("e2", 2))
		s.Requests.Put(request("a", 0, time.Minute, "e2"))
		ds := schedule.Tick(start, s)
		Expect(ds).To(HaveLen(1))
		Expect(ds[0].Target).To(BeEquivalentTo("e2"))
	})

	It("cancels the most recently started request of a lower tier in time for a deadline", func() {
		s.Targets.Put(engine("e1", 2))
		s.Requests.Put(request("old", 2, time.Hour, "e1"))
		schedule.Tick(start, s)
		s.Requests.Put(request("young", 2, time.Hour, "e1"))
		schedule.Tick(start.Add(time.Second), s)
		s.Requests.Put(request("urgent", 0, 4*time.Second, "e1"))
		var cancelled []string
		for at := time.Second; at < 4*time.Second; at += 100 * time.Millisecond {
			ds := schedule.Tick(start.Add(at), s)
			Expect(requestIDs(ds, tables.Shed)).To(BeEmpty())
			cancelled = append(cancelled, requestIDs(ds, tables.Cancel)...)
		}
		Expect(cancelled).To(HaveLen(1))
		Expect(cancelled[0]).To(Equal("young"))
		Expect(s.Requests.Get("young").Cancelling).To(BeTrue())
	})

	It("cancels a lower tier even on a target closed to new work before refusing a request", func() {
		s.Targets.Put(engine("e1", 1))
		s.Targets.Put(engine("e2", 1))
		s.Requests.Put(request("low", 2, time.Hour, "e1"))
		s.Requests.Put(request("same", 0, time.Hour, "e2"))
		schedule.Tick(start, s)
		closed := s.Targets.Get("e1")
		closed.Straggler, closed.ProbeAt = true, start.Add(time.Hour)
		s.Requests.Put(request("urgent", 0, 4*time.Second, "e1", "e2"))
		var shed []string
		for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
			ds := schedule.Tick(start.Add(at), s)
			shed = append(shed, requestIDs(ds, tables.Shed)...)
			for _, id := range requestIDs(ds, tables.Cancel) {
				Expect(id).To(Equal("low"))
				s.Requests.Delete(tables.RequestID(id))
			}
		}
		Expect(s.Requests.Get("low")).To(BeNil())
		Expect(shed).To(Equal([]string{"urgent"}))
	})

	It("does not cancel a running non-idempotent request", func() {
		s.Targets.Put(engine("e1", 1))
		commit := request("commit", 2, time.Hour, "e1")
		commit.NonIdempotent = true
		s.Requests.Put(commit)
		schedule.Tick(start, s)
		s.Requests.Put(request("urgent", 0, 2*time.Second, "e1"))
		for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
			ds := schedule.Tick(start.Add(at), s)
			Expect(requestIDs(ds, tables.Cancel)).To(BeEmpty())
			Expect(requestIDs(ds, tables.Shed)).To(BeEmpty())
		}
	})

	It("refuses requests that cannot meet their deadline and then blocks lower tiers", func() {
		s.Targets.Put(engine("e1", 1))
		for i := range 10 {
			s.Requests.Put(request(fmt.Sprintf("r%d", i), 0, 5*time.Second, "e1"))
		}
		ds := schedule.Tick(start, s)
		Expect(requestIDs(ds, tables.Start)).To(HaveLen(1))
		shed := requestIDs(ds, tables.Shed)
		Expect(len(shed)).To(BeNumerically(">=", 5))
		for _, id := range shed {
			s.Requests.Delete(tables.RequestID(id))
		}
		s.Requests.Put(request("low", 1, time.Hour, "e1"))
		ds = schedule.Tick(start.Add(10*time.Millisecond), s)
		Expect(requestIDs(ds, tables.Shed)).To(Equal([]string{"low"}))
		Expect(ds[0].Kind).To(Equal(errkind.Overloaded))
	})

	It("blocks lower tiers after each of several successive refusals", func() {
		s.Targets.Put(engine("e1", 1))
		for i := range 3 {
			s.Requests.Put(request(fmt.Sprintf("top%d", i), 0, 2*time.Second, "e1"))
		}
		Expect(requestIDs(schedule.Tick(start, s), tables.Shed)).NotTo(BeEmpty())
		s.Requests.Put(request("middle", 1, time.Hour, "e1"))
		Expect(requestIDs(schedule.Tick(start.Add(200*time.Millisecond), s), tables.Shed)).To(Equal([]string{"middle"}))
		s.Requests.Put(request("low", 2, time.Hour, "e1"))
		Expect(requestIDs(schedule.Tick(start.Add(300*time.Millisecond), s), tables.Shed)).To(Equal([]string{"low"}))
	})

	It("cancels enough requests for an at-risk request queued behind a higher tier", func() {
		s.Targets.Put(engine("e1", 4))
		for i := range 4 {
			s.Requests.Put(request(fmt.Sprintf("low%d", i), 2, time.Hour, "e1"))
		}
		schedule.Tick(start, s)
		for i := range 2 {
			s.Requests.Put(request(fmt.Sprintf("top%d", i), 0, time.Hour, "e1"))
		}
		s.Requests.Put(request("atRisk", 1, 2*time.Second, "e1"))
		var started []string
		for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
			ds := schedule.Tick(start.Add(at), s)
			started = append(started, requestIDs(ds, tables.Start)...)
			for _, id := range requestIDs(ds, tables.Cancel) {
				s.Requests.Delete(tables.RequestID(id))
			}
		}
		Expect(started).To(ContainElement("atRisk"))
	})

	It("starts a request first that can meet its deadline, but not with a long answer", func() {
		s.Targets.Put(engine("e1", 1))
		s.Requests.Put(request("busy", 0, time.Hour, "e1"))
		schedule.Tick(start, s)
		heavy := request("heavy", 1, 2*time.Hour, "e1")
		heavy.Customer, heavy.PromptTokens = "other", 100_000
		s.Requests.Put(heavy)
		s.Requests.Put(request("tight", 1, 4*time.Second, "e1"))
		light := request("light", 1, 2*time.Hour, "e1")
		light.Customer = "light"
		s.Requests.Put(light)
		schedule.Tick(start.Add(time.Second), s)
		s.Requests.Delete("busy")
		Expect(requestIDs(schedule.Tick(start.Add(2*time.Second+600*time.Millisecond), s), tables.Start)).To(Equal([]string{"tight"}))
	})

	It("runs a request that must run alone only on an idle target, and no other request beside it", func() {
		s.Targets.Put(engine("e1", 4))
		s.Requests.Put(request("first", 1, time.Hour, "e1"))
		schedule.Tick(start, s)
		alone := request("alone", 1, time.Hour, "e1")
		alone.Alone = true
		s.Requests.Put(alone)
		Expect(schedule.Tick(start, s)).To(BeEmpty())
		s.Requests.Delete("first")
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"alone"}))
		s.Requests.Put(request("next", 1, time.Hour, "e1"))
		Expect(schedule.Tick(start, s)).To(BeEmpty())
		s.Requests.Delete("alone")
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(Equal([]string{"next"}))
	})

	It("drains a target for an urgent request that must run alone", func() {
		s.Targets.Put(engine("e1", 4))
		s.Requests.Put(request("first", 1, time.Hour, "e1"))
		schedule.Tick(start, s)
		alone := request("alone", 1, 2*time.Second, "e1")
		alone.Alone = true
		s.Requests.Put(alone)
		now := start.Add(200 * time.Millisecond)
		schedule.Tick(now, s)
		s.Requests.Put(request("same", 1, time.Hour, "e1"))
		Expect(requestIDs(schedule.Tick(now, s), tables.Start)).To(BeEmpty())
		s.Requests.Put(request("higher", 0, time.Hour, "e1"))
		Expect(requestIDs(schedule.Tick(now, s), tables.Start)).To(Equal([]string{"higher"}))
		s.Requests.Delete("higher")
		s.Requests.Delete("first")
		Expect(requestIDs(schedule.Tick(now, s), tables.Start)).To(Equal([]string{"alone"}))
	})

	It("withholds more slots from a tier after a cancellation and fewer after a completion", func() {
		s.Targets.Put(engine("e1", 8))
		for i := range 8 {
			s.Requests.Put(request(fmt.Sprintf("a%d", i), 1, time.Hour, "e1"))
		}
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(HaveLen(7))
		s.Requests.Put(request("top0", 0, 2*time.Second, "e1"))
		s.Requests.Put(request("top1", 0, 2*time.Second, "e1"))
		Expect(requestIDs(schedule.Tick(start, s), tables.Cancel)).To(BeEmpty())
		late := start.Add(100 * time.Millisecond)
		cancelled := requestIDs(schedule.Tick(late, s), tables.Cancel)
		Expect(cancelled).To(HaveLen(1))
		s.Requests.Delete(tables.RequestID(cancelled[0]))
		Expect(requestIDs(schedule.Tick(late, s), tables.Start)).To(Equal([]string{"top1"}))
		s.Requests.Delete("top0")
		s.Requests.Delete("top1")
		Expect(schedule.Tick(start.Add(time.Second), s)).To(BeEmpty())
		done := "a0"
		if cancelled[0] == done {
			done = "a1"
		}
		s.Requests.Delete(tables.RequestID(done))
		Expect(requestIDs(schedule.Tick(start.Add(time.Second), s), tables.Start)).To(Equal([]string{"a7"}))
	})

	It("does not start an at-risk request on a slot withheld from its tier after a cancellation", func() {
		s.Targets.Put(engine("e1", 4))
		for i := range 3 {
			s.Requests.Put(request(fmt.Sprintf("a%d", i), 1, time.Hour, "e1"))
		}
		Expect(requestIDs(schedule.Tick(start, s), tables.Start)).To(HaveLen(3))
		for i := range 2 {
			s.Requests.Put(request(fmt.Sprintf("top%d", i), 0, time.Second, "e1"))
		}
		cancelled := requestIDs(schedule.Tick(start, s), tables.Cancel)
		Expect(cancelled).To(HaveLen(1))
		s.Requests.Delete(tables.RequestID(cancelled[0]))
		for _, id := range []tables.RequestID{"top0", "top1"} {
			schedule.Tick(start, s)
			s.Requests.Delete(id)
		}
		s.Requests.Put(request("atRisk", 1, time.Second, "e1"))
		ds := schedule.Tick(start, s)
		Expect(requestIDs(ds, tables.Start)).To(BeEmpty())
		Expect(requestIDs(ds, tables.Shed)).To(Equal([]string{"atRisk"}))
	})

	It("cancels a running request of a lower tier before shedding from a full queue", func() {
		s.MaxQueuedPerTarget = 2
		s.Targets.Put(engine("e1", 4))
		s.Requests.Put(request("low", 2, time.Hour, "e1"))
		schedule.Tick(start, s)
		for i := range 8 {
			s.Requests.Put(request(fmt.Sprintf("r%d", i), 1, time.Hour, "e1"))
		}
		ds := schedule.Tick(start, s)
		Expect(requestIDs(ds, tables.Cancel)).To(Equal([]string{"low"}))
		Expect(requestIDs(ds, tables.Shed)).To(BeEmpty())
		s.Requests.Delete("low")
		Expect(requestIDs(schedule.Tick(start, s), tables.Shed)).NotTo(BeEmpty())
	})

	It("prefers a target with the prompt cached over an idle one", func() {
		chain := make([]uint64, 48)
		for i := range chain {
			chain[i] = uint64(i + 1)
		}
		s.Targets.Put(engine("e1", 4))
		s.Targets.Put(engine("e2", 4))
		for _, id := range []string{"a", "b"} {
			r := request(id, 0, time.Minute, "e1")
			r.PrefixHashes = chain
			s.Requests.Put(r)
		}
		schedule.Tick(start, s)
		third := request("c", 0, time.Minute, "e1", "e2")
		third.PrefixHashes = chain
		s.Requests.Put(third)
		schedule.Tick(start, s)
		Expect(third.Target).To(BeEquivalentTo("e1"))
		other := request("d", 0, time.Minute, "e1", "e2")
		s.Requests.Put(other)
		schedule.Tick(start, s)
		Expect(other.Target).To(BeEquivalentTo("e2"))
	})

	It("shares a tier fairly between customers by tokens", func() {
		s.Targets.Put(engine("e1", 1))
		for i := range 20 {
			r := request(fmt.Sprintf("big%02d", i), 1, time.Hour, "e1")
			r.Customer = "big"
			s.Requests.Put(r)
		}
		for i := range 5 {
			r := request(fmt.Sprintf("small%02d", i), 1, 2*time.Hour, "e1")
			r.Customer = "small"
			s.Requests.Put(r)
		}
		var first []string
		for range 10 {
			started := requestIDs(schedule.Tick(start, s), tables.Start)
			Expect(started).To(HaveLen(1))
			first = append(first, started[0])
			s.Requests.Delete(tables.RequestID(started[0]))
		}
		small := 0
		for _, id := range first {
			if id[:5] == "small" {
				small++
			}
		}
		Expect(small).To(Equal(5))
	})
})

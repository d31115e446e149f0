package watch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

// restored is a page of the store's second incarnation.
func restored(end int64, records ...watch.Record) watch.Page {
	return watch.Page{Records: records, End: end, Incarnation: 2}
}

// old is a page of the store's first incarnation.
func old(end int64, records ...watch.Record) watch.Page {
	return watch.Page{Records: records, End: end, Incarnation: 1}
}

var _ = Describe("State of a restored store", func() {
	var s *watch.State
	BeforeEach(func() { s = watch.NewState(decoder{}, zap.NewNop()) })
	targetIDs := func(s *watch.State) []tables.TargetID {
		var ids []tables.TargetID
		for _, t := range s.Targets() {
			if !t.Leaving {
				ids = append(ids, t.ID)
			}
		}
		return ids
	}

	It("applies records at offsets that the store gives out again", func() {
		s.ApplyListing(start, watch.Targets, old(9, record("a", "1", 3), record("b", "2", 8)))
		Expect(s.Apply(start, watch.Targets, 9, restored(9))).To(BeFalse(), "a read must not continue over a restoration")
		Expect(s.ApplyListing(start, watch.Targets, restored(6, record("a", "7", 5), record("b", "2", 4)))).To(BeTrue())
		Expect(s.Apply(start, watch.Targets, 6, restored(7, record("b", "9", 6)))).To(BeTrue())
		a, _ := s.Target("a")
		b, _ := s.Target("b")
		Expect([]string{a.Address, b.Address}).To(Equal([]string{"7", "9"}))
		Expect(s.Mark(watch.Targets)).To(Equal(watch.Mark{Incarnation: 2, End: 7}))
	})

	It("ignores an answer of the older incarnation that arrives late", func() {
		s.ApplyListing(start, watch.Targets, restored(6, record("a", "7", 5)))
		Expect(s.ApplyListing(start, watch.Targets, old(20, record("a", "1", 19)))).To(BeFalse())
		Expect(s.Apply(start, watch.Targets, 6, old(20, record("a", "1", 19)))).To(BeFalse())
		a, _ := s.Target("a")
		Expect(a.Address).To(Equal("7"))
		Expect(s.Mark(watch.Targets)).To(Equal(watch.Mark{Incarnation: 2, End: 6}))
	})

	It("never returns to an older configuration, nor passes one on", func() {
		s.ApplyListing(start, watch.Configs, old(9, record("config", "9", 8)))
		s.ApplyListing(start, watch.Configs, restored(6, record("config", "7", 5)))
		Expect(s.Config().Version).To(Equal(uint64(9)))
		// A host that starts during the drill sees the old copy and then a peer.
		newcomer := watch.NewState(decoder{}, zap.NewNop())
		newcomer.ApplyListing(start, watch.Configs, restored(6, record("config", "7", 5)))
		snapshot := s.After(newcomer.Marks())
		newcomer.ApplyUpdate(start, snapshot.Changes, snapshot.Spans)
		Expect(newcomer.Config().Version).To(Equal(uint64(9)))
	})

	It("keeps a target that the copy lacks until the grace has passed", func() {
		s.ApplyListing(start, watch.Targets, old(9, record("a", "1", 3), record("b", "2", 8)))
		s.ApplyListing(start, watch.Targets, restored(4, record("a", "1", 3)))
		Expect(targetIDs(s)).To(ConsistOf(tables.TargetID("a"), tables.TargetID("b")))
		s.Apply(start.Add(time.Second), watch.Targets, 4, restored(4))
		s.ApplyHeldRemovals(start.Add(time.Second))
		Expect(targetIDs(s)).To(HaveLen(2))
		s.ApplyHeldRemovals(start.Add(3 * time.Second))
		Expect(targetIDs(s)).To(ConsistOf(tables.TargetID("a")))
	})

	It("keeps a target that writes its record again within the grace", func() {
		s.ApplyListing(start, watch.Targets, old(9, record("a", "1", 3), record("b", "2", 8)))
		s.ApplyListing(start, watch.Targets, restored(4, record("a", "1", 3)))
		s.Apply(start.Add(time.Second), watch.Targets, 4, restored(5, record("b", "2", 4)))
		s.ApplyHeldRemovals(start.Add(3 * time.Second))
		Expect(targetIDs(s)).To(HaveLen(2))
	})

	DescribeTable("does not use a target again that had left before the restoration",
		func(leave func()) {
			s.ApplyListing(start, watch.Targets, old(9, record("a", "x;start=1000;sequence=7", 8)))
			leave()
			s.ApplyListing(start, watch.Targets, restored(9, record("a", "x;start=1000;sequence=7", 8)))
			Expect(targetIDs(s)).To(BeEmpty())
			// Its own next record shows that it lives.
			s.Apply(start, watch.Targets, 9, restored(10, record("a", "x;start=1000;sequence=8", 9)))
			Expect(targetIDs(s)).To(HaveLen(1))
		},
		Entry("its record was removed", func() { s.Apply(start, watch.Targets, 9, old(10, record("a", "", 9))) }),
		Entry("its record said that it was leaving", func() {
			s.Apply(start, watch.Targets, 9, old(10, record("a", "x;start=1000;sequence=7;leaving", 9)))
		}),
	)

	It("settles hosts that know different incarnations with one update", func() {
		s.ApplyListing(start, watch.Targets, restored(6, record("a", "7", 5)))
		behind := watch.NewState(decoder{}, zap.NewNop())
		behind.ApplyListing(start, watch.Targets, old(20, record("a", "1", 19)))
		toBehind, fromBehind := s.After(behind.Marks()), behind.After(s.Marks())
		s.ApplyUpdate(start, fromBehind.Changes, fromBehind.Spans)
		behind.ApplyUpdate(start, toBehind.Changes, toBehind.Spans)
		for _, state := range []*watch.State{s, behind} {
			a, _ := state.Target("a")
			Expect(a.Address).To(Equal("7"))
			Expect(state.Mark(watch.Targets)).To(Equal(watch.Mark{Incarnation: 2, End: 6}))
		}
	})

	It("asks for this host's record to be written again", func() {
		host := fleet.Host{ID: "h", Address: "1.2.3.4:5", Cores: 1}
		value := `{"id":"h","domain":"","address":"1.2.3.4:5","cores":1}`
		s.ApplyListing(start, watch.Hosts, old(1, record("h", value, 0)))
		Expect(s.Registered(host)).To(BeTrue())
		s.ApplyListing(start, watch.Hosts, restored(0))
		Expect(s.Registered(host)).To(BeFalse())
		Expect(s.Hosts()).To(HaveLen(1), "the host keeps its place until the grace has passed")
		s.ApplyOwn(start, watch.Hosts, watch.Record{Key: "h", Value: []byte(value), Incarnation: 2})
		Expect(s.Registered(host)).To(BeTrue())
		s.ApplyHeldRemovals(start.Add(3 * time.Second))
		Expect(s.Hosts()).To(HaveLen(1))
	})
})

var _ = Describe("Updates between hosts", func() {
	var s, other *watch.State
	BeforeEach(func() {
		s = watch.NewState(decoder{}, zap.NewNop())
		other = watch.NewState(decoder{}, zap.NewNop())
	})

	It("hold only what the other host lacks", func() {
		s.Apply(start, watch.Targets, 0, page(2, record("a", "1", 0), record("b", "2", 1)))
		other.Apply(start, watch.Targets, 0, page(1, record("a", "1", 0)))
		snapshot := s.After(other.Marks())
		Expect(snapshot.Changes).To(HaveLen(1))
		other.ApplyUpdate(start, snapshot.Changes, snapshot.Spans)
		Expect(other.Targets()).To(HaveLen(2))
		Expect(s.After(other.Marks()).Changes).To(BeEmpty())
	})

	It("do not advance a host over records that it never got", func() {
		other.Apply(start, watch.Targets, 0, page(1, record("a", "1", 0)))
		s.Apply(start, watch.Targets, 0, page(2, record("a", "1", 0), record("b", "2", 1)))
		before := s.Since(0, nil)
		s.Apply(start, watch.Targets, 2, page(3, record("c", "3", 2)))
		later := s.Since(before.Seq, before.Marks())
		other.ApplyUpdate(start, later.Changes, later.Spans)
		Expect(other.Mark(watch.Targets).End).To(Equal(int64(1)), "record 1 is missing")
		Expect(other.Targets()).To(HaveLen(2), "what arrived is used all the same")
	})

	It("carry a record known ahead of the end again once the end passes it", func() {
		s.ApplyListing(start, watch.Hosts, page(0))
		s.ApplyOwn(start, watch.Hosts, record("h", `{"id":"h","address":"a:1"}`, 4))
		early := s.Since(0, nil)
		s.Apply(start, watch.Hosts, 0, page(5, record("h", `{"id":"h","address":"a:1"}`, 4)))
		Expect(s.Since(early.Seq, early.Marks()).Changes).To(HaveLen(1))
	})
})

var _ = Describe("Departures", func() {
	var s *watch.State
	BeforeEach(func() {
		s = watch.NewState(decoder{}, zap.NewNop())
		s.ApplyListing(start, watch.Targets, page(1, record("a", "x;start=1000;sequence=7", 0)))
	})
	leaving := func(s *watch.State) bool {
		t, _ := s.Target("a")
		return t.Leaving
	}

	It("of a target that announced it last until a newer start, whatever the store lists", func() {
		t, _ := s.Target("a")
		s.MarkLeaving(t)
		Expect(leaving(s)).To(BeTrue())
		s.Apply(start, watch.Targets, 1, page(2, record("a", "x;start=1000;sequence=9", 1)))
		Expect(leaving(s)).To(BeTrue())
		s.ApplyListing(start, watch.Targets, page(3, record("a", "y;start=1000;sequence=10", 2)))
		Expect(leaving(s)).To(BeTrue())
		s.ApplyListing(start, watch.Targets, restored(3, record("a", "y;start=1000;sequence=11", 2)))
		Expect(leaving(s)).To(BeTrue())
		s.Apply(start, watch.Targets, 3, restored(4, record("a", "y;start=2000;sequence=1", 3)))
		Expect(leaving(s)).To(BeFalse())
	})

	It("reach the other hosts, also those that attach later", func() {
		t, _ := s.Target("a")
		s.MarkLeaving(t)
		Expect(s.StoreReadsSince(0).Departures).To(HaveLen(1))
		other := watch.NewState(decoder{}, zap.NewNop())
		other.ApplyListing(start, watch.Targets, page(1, record("a", "x;start=1000;sequence=7", 0)))
		snapshot := s.After(other.Marks())
		other.ApplyDepartures(snapshot.Departures)
		Expect(leaving(other)).To(BeTrue())
		Expect(other.StoreReadsSince(0).Departures).To(BeEmpty(), "a host passes on upwards only what it has observed")
	})

	It("that a target announced here still go to the other hosts after one of them has told more", func() {
		t, _ := s.Target("a")
		s.MarkLeaving(t)
		s.ApplyDepartures([]watch.Departure{{Target: "a", StartedAt: t.StartedAt, Sequence: 9}})
		Expect(s.StoreReadsSince(0).Departures).To(ConsistOf(HaveField("Announced", true)))
	})

	It("leave the store's order alone within one incarnation", func() {
		s.Apply(start, watch.Targets, 1, page(2, record("a", "", 1)))
		s.Apply(start, watch.Targets, 2, page(3, record("a", "x;start=1000;sequence=7", 2)))
		Expect(leaving(s)).To(BeFalse())
	})
})

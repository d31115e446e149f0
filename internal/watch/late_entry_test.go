package watch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/watch"
)

// entryAt is an entry of the target a at an offset.
func entryAt(offset int64, text string) watch.Record { return record("a", "x;"+text, offset) }

var _ = Describe("An entry that the store accepts after a newer one", func() {
	var s *watch.State
	BeforeEach(func() { s = watch.NewState(decoder{}, zap.NewNop()) })
	leaving := func(s *watch.State) bool {
		t, known := s.Target("a")
		return !known || t.Leaving
	}

	DescribeTable("does not bring a leaving target back",
		func(newer, late string) {
			s.ApplyListing(start, watch.Targets, page(1, entryAt(0, "start=1000;sequence=1")))
			s.Apply(start, watch.Targets, 1, page(2, entryAt(1, newer)))
			s.Apply(start, watch.Targets, 2, page(3, entryAt(2, late)))
			Expect(leaving(s)).To(BeTrue())
			// A host that starts then sees only the late entry.
			newcomer := watch.NewState(decoder{}, zap.NewNop())
			newcomer.ApplyListing(start, watch.Targets, page(3, entryAt(2, late)))
			newcomer.ApplyDepartures(s.After(newcomer.Marks()).Departures)
			Expect(leaving(newcomer)).To(BeTrue())
		},
		Entry("of the same start", "start=1000;sequence=3;leaving", "start=1000;sequence=2"),
		Entry("of an earlier start", "start=2000;sequence=1;leaving", "start=1000;sequence=2"),
	)

	DescribeTable("is used if it is the target's newest word",
		func(newer, late string) {
			s.ApplyListing(start, watch.Targets, page(1, entryAt(0, newer)))
			s.Apply(start, watch.Targets, 1, page(2, entryAt(1, late)))
			Expect(leaving(s)).To(BeFalse())
		},
		Entry("of the same start", "start=1000;sequence=3;leaving", "start=1000;sequence=4"),
		Entry("of a later start", "start=1000;sequence=3;leaving", "start=2000;sequence=1"),
		Entry("without a sequence number", "start=1000;sequence=3;leaving", "start=1000"),
		Entry("without a start", "sequence=3;leaving", "sequence=1"),
	)

	It("does not replace what the target said later", func() {
		s.ApplyListing(start, watch.Targets, page(1, record("a", "new;start=1000;sequence=3", 0)))
		s.Apply(start, watch.Targets, 1, page(2, record("a", "old;start=1000;sequence=2", 1)))
		a, _ := s.Target("a")
		Expect(a.Address).To(Equal("new"))
	})
})

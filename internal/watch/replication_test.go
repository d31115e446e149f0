package watch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

var _ = Describe("Updates of a host that began with a listing", func() {
	var follower, newcomer *watch.State
	BeforeEach(func() {
		follower, newcomer = watch.NewState(decoder{}, zap.NewNop()), watch.NewState(decoder{}, zap.NewNop())
		follower.ApplyListing(start, watch.Targets, page(168, record("a", "1", 3), record("b", "2", 167)))
		newcomer.ApplyListing(start, watch.Targets, page(169, record("b", "2", 167)))
	})
	apply := func(to *watch.State, s watch.Snapshot) { to.ApplyUpdate(start, s.Changes, s.Spans) }
	onlyB := ConsistOf(HaveField("ID", tables.TargetID("b")))

	It("do not lose a removal from before the listing for a host that attaches", func() {
		apply(follower, newcomer.After(follower.Marks()))
		Expect(follower.Mark(watch.Targets).End).To(Equal(int64(169)))
		Expect(follower.Targets()).To(onlyB)
	})

	It("do not lose a removal that a coordinator has learned from a listing after its last update", func() {
		last := follower.Since(0, nil)
		peer := watch.NewState(decoder{}, zap.NewNop())
		apply(peer, last)
		peer.Apply(start, watch.Targets, 168, page(169, record("c", "3", 168)))
		follower.ApplyListing(start, watch.Targets, page(171, record("b", "2", 167)))
		apply(peer, follower.Since(last.Seq, last.Marks()))
		Expect(peer.Targets()).To(onlyB)
	})

	It("do not lose a removal for the host that they are attached to", func() {
		coordinator := follower
		sent := newcomer.After(coordinator.Marks())
		coordinator.Apply(start, watch.Targets, 168, page(169, record("a", "", 168)))
		apply(coordinator, sent)
		coordinator.Apply(start, watch.Targets, 169, page(170, record("c", "3", 169)))
		newcomer.ApplyListing(start, watch.Targets, page(171, record("b", "2", 167)))
		apply(coordinator, newcomer.StoreReadsSince(sent.Seq))
		// The coordinator asks for what is missing before the listing.
		apply(coordinator, newcomer.After(coordinator.Marks()))
		Expect(coordinator.Mark(watch.Targets).End).To(Equal(int64(171)))
		Expect(coordinator.Targets()).To(onlyB)
	})

	It("bring back no target that a listing has shown to be gone", func() {
		late := follower.Since(0, nil)
		apply(newcomer, late)
		Expect(newcomer.Targets()).To(onlyB)
	})

	It("bring back no target from an answer of the store that arrives after the listing", func() {
		newcomer.Apply(start, watch.Targets, 150, page(168, record("a", "1", 160)))
		Expect(newcomer.Targets()).To(onlyB)
	})
})

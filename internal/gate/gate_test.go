package gate

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/api/callers"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

func chunk(offset, tokens int) target.Chunk {
	return target.Chunk{Offset: offset, Tokens: tokens, Text: "x"}
}

var _ = Describe("requestState", func() {
	var rs *requestState
	BeforeEach(func() {
		g := New(context.Background(), Options{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop()})
		rs = newRequestState(g, admittedRequest{msg: peer.Submit{ID: "h1.x"}})
	})
	It("drops duplicate chunks and marks a missing one", func() {
		rs.onChunk(nil, chunk(0, 2))
		rs.onChunk(nil, chunk(0, 2))
		rs.onChunk(nil, chunk(2, 1))
		Expect(rs.snapshotFrom(0).tokens).To(Equal(3))
		Expect(rs.snapshotFrom(0).missingChunk).To(BeFalse())
		rs.onChunk(nil, chunk(5, 1))
		Expect(rs.snapshotFrom(0).tokens).To(Equal(3))
		Expect(rs.snapshotFrom(0).missingChunk).To(BeTrue())
	})
	It("subtracts the time to claim the key from its deadlines", func() {
		clock := clockwork.NewFakeClock()
		g := New(context.Background(), Options{Clock: clock, Logger: zap.NewNop()})
		adm := admittedRequest{msg: peer.Submit{FirstTokenIn: time.Second, DueIn: time.Minute}, arrived: clock.Now()}
		clock.Advance(300 * time.Millisecond)
		msg := newRequestState(g, adm).submitAt(clock.Now())
		Expect(msg.Age).To(Equal(300 * time.Millisecond))
		Expect(msg.FirstTokenIn).To(Equal(700 * time.Millisecond))
		Expect(msg.DueIn).To(Equal(time.Minute - 300*time.Millisecond))
	})
	It("ignores messages of earlier attempts", func() {
		first, second := new(peer.Conn), new(peer.Conn)
		rs.setSource(first)
		rs.onChunk(first, chunk(0, 1))
		rs.setSource(second)
		rs.onFinished(first, peer.Finished{Kind: errkind.NoTarget})
		rs.onChunk(first, chunk(5, 1))
		Expect(rs.snapshotFrom(0).finished).To(BeNil())
		Expect(rs.snapshotFrom(0).missingChunk).To(BeFalse())
		rs.onChunk(second, chunk(1, 1))
		Expect(rs.snapshotFrom(0).tokens).To(Equal(2))
	})
	It("keeps the first outcome", func() {
		rs.finish(peer.Finished{Kind: errkind.Overloaded})
		rs.finish(peer.Finished{Kind: errkind.None})
		Expect(rs.snapshotFrom(0).outcome.Kind).To(Equal(errkind.Overloaded))
	})
	It("is not complete until all tokens counted in the result have arrived", func() {
		rs.onChunk(nil, chunk(0, 2))
		rs.onFinished(nil, peer.Finished{Tokens: 3})
		Expect(rs.answerComplete(rs.snapshotFrom(0))).To(BeFalse())
		rs.onChunk(nil, chunk(2, 1))
		Expect(rs.answerComplete(rs.snapshotFrom(0))).To(BeTrue())
	})
	It("is abandoned when the last reader of an unkeyed request leaves", func() {
		removeFirst, removeSecond := rs.addReader(), rs.addReader()
		removeFirst()
		Expect(rs.abandoned()).To(BeFalse())
		removeSecond()
		Expect(rs.abandoned()).To(BeTrue())
	})
	It("is not abandoned without readers if it has a key", func() {
		rs.keyed = true
		rs.addReader()()
		Expect(rs.abandoned()).To(BeFalse())
	})
	It("completes a partly streamed answer from a recorded answer", func() {
		rs.onChunk(nil, target.Chunk{Offset: 0, Tokens: 1, Text: "a"})
		Expect(rs.applyRecorded(&peer.Outcome{Known: true, Done: true, BodyKept: true, Body: []byte("abc"), Tokens: 3})).To(BeTrue())
		Expect(string(rs.answerText())).To(Equal("abc"))
		Expect(rs.snapshotFrom(0).outcome.Kind).To(Equal(errkind.None))
	})
	It("refuses a recorded answer that differs from the streamed part", func() {
		rs.onChunk(nil, target.Chunk{Offset: 0, Tokens: 1, Text: "x"})
		Expect(rs.applyRecorded(&peer.Outcome{Known: true, Done: true, BodyKept: true, Body: []byte("abc"), Tokens: 3})).To(BeFalse())
		Expect(rs.snapshotFrom(0).outcome).To(BeNil())
	})
	It("fails if the answer is incomplete", func() {
		rs.onChunk(nil, target.Chunk{Offset: 0, Tokens: 1, Text: "a"})
		rs.finish(peer.Finished{Kind: errkind.None, Tokens: 2})
		Expect(rs.snapshotFrom(0).outcome.Kind).To(Equal(errkind.RanFailed))
	})
	It("applies a recorded outcome only if it has the complete answer", func() {
		Expect(rs.applyRecorded(nil)).To(BeFalse())
		Expect(rs.applyRecorded(&peer.Outcome{Known: true, Done: true})).To(BeFalse())
		Expect(rs.snapshotFrom(0).outcome).To(BeNil())
		Expect(rs.applyRecorded(&peer.Outcome{Known: true, Done: true, BodyKept: true, Body: []byte("ab"), Tokens: 2})).To(BeTrue())
		Expect(string(rs.answerText())).To(Equal("ab"))
	})
})

var _ = Describe("preferRefusal", func() {
	It("does not treat the zero value as a refusal", func() {
		next := peer.Finished{Kind: errkind.Displaced}
		Expect(preferRefusal(peer.Finished{}, next)).To(Equal(next))
	})
	It("keeps the first refusal unless it says only that a host or target did not take the request", func() {
		first := peer.Finished{Kind: errkind.Overloaded}
		Expect(preferRefusal(first, peer.Finished{Kind: errkind.NoTarget})).To(Equal(first))
		Expect(preferRefusal(peer.Finished{Kind: errkind.ShuttingDown}, first)).To(Equal(first))
	})
})

var _ = Describe("Finished", func() {
	DescribeTable("is retryable at another dispatcher only if the request did not run", func(finished peer.Finished, want bool) {
		Expect(finished.Retryable()).To(Equal(want))
	},
		Entry("refused before a send", peer.Finished{Kind: errkind.Overloaded}, true),
		Entry("connection to the target refused", peer.Finished{Kind: errkind.NotAdmitted}, true),
		Entry("resolved after a send", peer.Finished{Kind: errkind.NotAdmitted, Sent: true}, false),
		Entry("quarantined", peer.Finished{Kind: errkind.Quarantined}, false),
		Entry("cancelled", peer.Finished{Kind: errkind.CancelledBeforeRun}, false),
		Entry("ran", peer.Finished{Kind: errkind.RanFailed}, false),
		Entry("unknown", peer.Finished{Kind: errkind.OutcomeUnknown}, false),
	)
})

var _ = Describe("statusOf", func() {
	It("reports a provisional refusal by one dispatcher as queued", func() {
		s := statusOf(peer.Outcome{ID: "h1.x", Known: true, Done: true, Kind: errkind.ShuttingDown, Provisional: true})
		Expect(s.State).To(Equal(callers.RequestStatusStateQueued))
		Expect(s.Ran).To(Equal(callers.RequestStatusRanUnknown))
	})
	It("returns the outcome and the recorded answer", func() {
		s := statusOf(peer.Outcome{ID: "h1.x", Known: true, Done: true, BodyKept: true, Body: []byte("whole"), Tokens: 1})
		Expect(s.Ran).To(Equal(callers.RequestStatusRanRan))
		Expect(s.Answer.Value).To(Equal("whole"))
	})
})

var _ = Describe("outcomeRank", func() {
	It("ranks an open request above a provisional refusal", func() {
		refused := peer.Outcome{Known: true, Done: true, Kind: errkind.NoTarget, Provisional: true}
		Expect(outcomeRank(peer.Outcome{Known: true})).To(BeNumerically(">", outcomeRank(refused)))
	})
})

var _ = Describe("classify", func() {
	It("returns a kind for every error", func() {
		kind, _ := classify(&http.MaxBytesError{Limit: 3})
		Expect(kind).To(Equal(errkind.BodyTooLarge))
		kind, _ = classify(errors.New("unforeseen"))
		Expect(kind).To(Equal(errkind.Internal))
	})
	It("rounds a wait up to whole seconds", func() {
		Expect(ceilSeconds(1001 * time.Millisecond)).To(Equal(2))
		Expect(ceilSeconds(time.Second)).To(Equal(1))
	})
})

var _ = Describe("checkKey", func() {
	DescribeTable("accepts only lower-case UUIDs of version 7", func(key string, want errkind.Kind) {
		Expect(errkind.Of(checkKey(serviceOf(true), callerRequest{operation: "confirm", key: key}))).To(Equal(want))
	},
		Entry("none", "", errkind.KeyRequired),
		Entry("version 7", "01890a5d-ac96-774b-bcce-b302099a8057", errkind.None),
		Entry("version 4", "9f1c2ed4-6f0b-4a53-8a40-a1f3c3c1a6f2", errkind.KeyMalformed),
		Entry("upper case", "01890A5D-AC96-774B-BCCE-B302099A8057", errkind.KeyMalformed),
		Entry("braces", "{01890a5d-ac96-774b-bcce-b302099a8057}", errkind.KeyMalformed),
		Entry("words", "seventeen", errkind.KeyMalformed),
	)
	It("requires no key for an idempotent operation", func() {
		Expect(checkKey(serviceOf(false), callerRequest{operation: "confirm"})).To(Succeed())
	})
})

func serviceOf(nonIdempotent bool) config.Service {
	return config.Service{Operations: map[string]config.Operation{"confirm": {NonIdempotent: nonIdempotent}}}
}

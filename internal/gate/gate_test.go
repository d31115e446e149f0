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

var _ = Describe("flight", func() {
	var f *flight
	BeforeEach(func() {
		g := New(context.Background(), Options{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop()})
		f = newFlight(g, admitted{msg: peer.Submit{ID: "h1.x"}})
	})
	It("drops repeated parts and marks a missing one", func() {
		f.onChunk(nil, chunk(0, 2))
		f.onChunk(nil, chunk(0, 2))
		f.onChunk(nil, chunk(2, 1))
		Expect(f.since(0).tokens).To(Equal(3))
		Expect(f.since(0).gap).To(BeFalse())
		f.onChunk(nil, chunk(5, 1))
		Expect(f.since(0).tokens).To(Equal(3))
		Expect(f.since(0).gap).To(BeTrue())
	})
	It("counts the time of its claim against its deadlines", func() {
		clock := clockwork.NewFakeClock()
		g := New(context.Background(), Options{Clock: clock, Logger: zap.NewNop()})
		adm := admitted{msg: peer.Submit{FirstTokenIn: time.Second, DueIn: time.Minute}, arrived: clock.Now()}
		clock.Advance(300 * time.Millisecond)
		msg := newFlight(g, adm).aged(clock.Now())
		Expect(msg.Age).To(Equal(300 * time.Millisecond))
		Expect(msg.FirstTokenIn).To(Equal(700 * time.Millisecond))
		Expect(msg.DueIn).To(Equal(time.Minute - 300*time.Millisecond))
	})
	It("hears nothing of an attempt that is over", func() {
		first, second := new(peer.Conn), new(peer.Conn)
		f.listen(first)
		f.onChunk(first, chunk(0, 1))
		f.listen(second)
		f.onFinished(first, peer.Finished{Kind: errkind.NoTarget})
		f.onChunk(first, chunk(5, 1))
		Expect(f.since(0).verdict).To(BeNil())
		Expect(f.since(0).gap).To(BeFalse())
		f.onChunk(second, chunk(1, 1))
		Expect(f.since(0).tokens).To(Equal(2))
	})
	It("keeps its first outcome", func() {
		f.finish(peer.Finished{Kind: errkind.Overloaded})
		f.finish(peer.Finished{Kind: errkind.None})
		Expect(f.since(0).outcome.Kind).To(Equal(errkind.Overloaded))
	})
	It("is no whole answer while a part that the end speaks of is missing", func() {
		f.onChunk(nil, chunk(0, 2))
		f.onFinished(nil, peer.Finished{Tokens: 3})
		Expect(f.complete(f.since(0))).To(BeFalse())
		f.onChunk(nil, chunk(2, 1))
		Expect(f.complete(f.since(0))).To(BeTrue())
	})
	It("tells its driver when the last reader of an unkeyed request left", func() {
		leave, other := f.join(), f.join()
		leave()
		Expect(f.callerLeft()).To(BeFalse())
		other()
		Expect(f.callerLeft()).To(BeTrue())
	})
	It("goes on without readers when it has a key", func() {
		f.keyed = true
		f.join()()
		Expect(f.callerLeft()).To(BeFalse())
	})
	It("gets the rest of a recorded answer of which a part came as a stream", func() {
		f.onChunk(nil, target.Chunk{Offset: 0, Tokens: 1, Text: "a"})
		Expect(f.setRecorded(&peer.Outcome{Known: true, Done: true, BodyKept: true, Body: []byte("abc"), Tokens: 3})).To(BeTrue())
		Expect(string(f.whole())).To(Equal("abc"))
		Expect(f.since(0).outcome.Kind).To(Equal(errkind.None))
	})
	It("takes no recorded answer that differs from the part that came", func() {
		f.onChunk(nil, target.Chunk{Offset: 0, Tokens: 1, Text: "x"})
		Expect(f.setRecorded(&peer.Outcome{Known: true, Done: true, BodyKept: true, Body: []byte("abc"), Tokens: 3})).To(BeFalse())
		Expect(f.since(0).outcome).To(BeNil())
	})
	It("never calls a part the whole", func() {
		f.onChunk(nil, target.Chunk{Offset: 0, Tokens: 1, Text: "a"})
		f.finish(peer.Finished{Kind: errkind.None, Tokens: 2})
		Expect(f.since(0).outcome.Kind).To(Equal(errkind.RanFailed))
	})
	It("is filled from a recorded outcome only when that says enough", func() {
		Expect(f.setRecorded(nil)).To(BeFalse())
		Expect(f.setRecorded(&peer.Outcome{Known: true, Done: true})).To(BeFalse())
		Expect(f.since(0).outcome).To(BeNil())
		Expect(f.setRecorded(&peer.Outcome{Known: true, Done: true, BodyKept: true, Body: []byte("ab"), Tokens: 2})).To(BeTrue())
		Expect(string(f.whole())).To(Equal("ab"))
	})
})

var _ = Describe("worse", func() {
	It("never lets the zero value stand for a refusal", func() {
		next := peer.Finished{Kind: errkind.Displaced}
		Expect(worse(peer.Finished{}, next)).To(Equal(next))
	})
	It("keeps the refusal that is about the request", func() {
		first := peer.Finished{Kind: errkind.Overloaded}
		Expect(worse(first, peer.Finished{Kind: errkind.NoTarget})).To(Equal(first))
		Expect(worse(peer.Finished{Kind: errkind.ShuttingDown}, first)).To(Equal(first))
	})
})

var _ = Describe("Finished", func() {
	DescribeTable("may go to another dispatcher", func(f peer.Finished, want bool) {
		Expect(f.Retryable()).To(Equal(want))
	},
		Entry("refused unsent", peer.Finished{Kind: errkind.Overloaded}, true),
		Entry("refused by the target's dial", peer.Finished{Kind: errkind.NotAdmitted}, true),
		Entry("settled after a send", peer.Finished{Kind: errkind.NotAdmitted, Sent: true}, false),
		Entry("quarantined", peer.Finished{Kind: errkind.Quarantined}, false),
		Entry("cancelled", peer.Finished{Kind: errkind.CancelledBeforeRun}, false),
		Entry("ran", peer.Finished{Kind: errkind.RanFailed}, false),
		Entry("unknown", peer.Finished{Kind: errkind.OutcomeUnknown}, false),
	)
})

var _ = Describe("statusOf", func() {
	It("does not pass one dispatcher's refusal off as not run", func() {
		s := statusOf(peer.Outcome{ID: "h1.x", Known: true, Done: true, Kind: errkind.ShuttingDown, Provisional: true})
		Expect(s.State).To(Equal(callers.RequestStatusStateQueued))
		Expect(s.Ran).To(Equal(callers.RequestStatusRanUnknown))
	})
	It("tells the outcome and the kept answer", func() {
		s := statusOf(peer.Outcome{ID: "h1.x", Known: true, Done: true, BodyKept: true, Body: []byte("whole"), Tokens: 1})
		Expect(s.Ran).To(Equal(callers.RequestStatusRanRan))
		Expect(s.Answer.Value).To(Equal("whole"))
	})
})

var _ = Describe("weight", func() {
	It("prefers an open request to another dispatcher's refusal", func() {
		refused := peer.Outcome{Known: true, Done: true, Kind: errkind.NoTarget, Provisional: true}
		Expect(weight(peer.Outcome{Known: true})).To(BeNumerically(">", weight(refused)))
	})
})

var _ = Describe("classify", func() {
	It("gives every error a kind", func() {
		kind, _ := classify(&http.MaxBytesError{Limit: 3})
		Expect(kind).To(Equal(errkind.BodyTooLarge))
		kind, _ = classify(errors.New("unforeseen"))
		Expect(kind).To(Equal(errkind.Internal))
	})
	It("rounds a wait up to whole seconds", func() {
		Expect(seconds(1001 * time.Millisecond)).To(Equal(2))
		Expect(seconds(time.Second)).To(Equal(1))
	})
})

var _ = Describe("checkKey", func() {
	DescribeTable("takes lower-case UUIDs of version 7 only", func(key string, want errkind.Kind) {
		Expect(errkind.Of(checkKey(serviceOf(true), ask{operation: "confirm", key: key}))).To(Equal(want))
	},
		Entry("none", "", errkind.KeyRequired),
		Entry("version 7", "01890a5d-ac96-774b-bcce-b302099a8057", errkind.None),
		Entry("version 4", "9f1c2ed4-6f0b-4a53-8a40-a1f3c3c1a6f2", errkind.KeyMalformed),
		Entry("upper case", "01890A5D-AC96-774B-BCCE-B302099A8057", errkind.KeyMalformed),
		Entry("braces", "{01890a5d-ac96-774b-bcce-b302099a8057}", errkind.KeyMalformed),
		Entry("words", "seventeen", errkind.KeyMalformed),
	)
	It("asks for no key where a call may be repeated", func() {
		Expect(checkKey(serviceOf(false), ask{operation: "confirm"})).To(Succeed())
	})
})

func serviceOf(nonIdempotent bool) config.Service {
	return config.Service{Operations: map[string]config.Operation{"confirm": {NonIdempotent: nonIdempotent}}}
}

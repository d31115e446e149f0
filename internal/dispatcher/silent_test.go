package dispatcher_test

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

var _ = Describe("A target that was silent and answers a query before the request that it received earlier", func() {
	var r *rig
	BeforeEach(func() { r = newRig() })

	// knownOnSecondQuery answers the first query as one about an unknown dispatch.
	knownOnSecondQuery := func() func(int) (target.Stream, error) {
		queries := 0
		return func(offset int) (target.Stream, error) {
			if queries++; queries == 1 {
				return nil, errNoStream
			}
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
	}

	It("does not lose the answer of its caller", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return nil, errReset }
		r.deps.engine.resume = knownOnSecondQuery()
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		generateCalls, _, cancels := r.deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
		Expect(cancels).To(BeZero())
	})
	It("does not lose the answer of a caller whose dispatcher was lost", func() {
		r.deps.engine.resume = knownOnSecondQuery()
		var result peer.AttachResult
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: "g1.x", Target: "e1"}, &result)).To(Succeed())
		Expect(result.Known).To(BeTrue())
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
	})
	It("is asked only once for a stream of which a part has arrived", func() {
		r.deps.engine.generate = func() (target.Stream, error) { return answer(0, 2, answerTokens, errReset), nil }
		r.deps.engine.resume = knownOnSecondQuery()
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.RanFailed))
		_, resumes, _ := r.deps.engine.counts()
		Expect(resumes).To(Equal([]int{2}))
	})
})

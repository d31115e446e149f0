package dispatcher_test

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

var _ = Describe("A request whose target has got another address in the configuration while it runs", func() {
	var (
		r      *rig
		stream chan target.Chunk
		broken chan struct{}
		msg    peer.Submit
	)
	BeforeEach(func() {
		r = newRig()
		stream, broken = make(chan target.Chunk), make(chan struct{})
		r.deps.otherEngine = &fakeEngine{
			resume: func(offset int) (target.Stream, error) {
				return answer(offset, answerTokens, answerTokens, io.EOF), nil
			},
			cancel: func() (target.Progress, error) { return target.NeverStarted, nil },
		}
		r.deps.engine.generate = func() (target.Stream, error) { return breakableStream{channelStream(stream), broken}, nil }
		msg, _ = r.submit()
		stream <- answer(0, 1, answerTokens, nil).chunks[0]
		r.deps.configure(func(doc *config.Document) {
			e1 := doc.Targets["e1"]
			e1.Address = "127.0.0.1:9"
			doc.Targets["e1"] = e1
		})
		r.d.SyncTargets()
	})
	noCallAtOtherEngine := func() {
		generateCalls, resumes, cancels := r.deps.otherEngine.counts()
		Expect(generateCalls).To(BeZero())
		Expect(resumes).To(BeEmpty())
		Expect(cancels).To(BeZero())
	}

	It("goes on only at the address at which it began", func() {
		r.deps.engine.resume = func(offset int) (target.Stream, error) {
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
		close(broken)
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		_, resumes, _ := r.deps.engine.counts()
		Expect(resumes).To(Equal([]int{1}))
		noCallAtOtherEngine()
	})
	It("does not go on at a target that no longer knows it, and is not sent again", func() {
		close(broken)
		Expect(r.firstOutcome().Kind).To(Equal(errkind.RanFailed))
		Expect(r.gate.offsets()).To(Equal([]int{0}))
		generateCalls, _, _ := r.deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
		noCallAtOtherEngine()
	})
	It("is not reported as never run by the target at the new address when it is cancelled", func() {
		r.deps.engine.cancel = func() (target.Progress, error) { return target.Cancelled, nil }
		var result peer.CancelResult
		Expect(r.conn.Call(r.ctx, peer.MethodCancel, peer.CancelRequest{ID: msg.ID}, &result)).To(Succeed())
		Expect(r.firstOutcome().Kind).To(Equal(errkind.CancelledWhileRunning))
		noCallAtOtherEngine()
	})
})

package dispatcher_test

import (
	"fmt"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

var _ = Describe("Dispatcher", func() {
	var (
		r    *rig
		deps *fakeDeps
		gate *fakeGate
		d    *dispatcher.Dispatcher
	)
	BeforeEach(func() {
		r = newRig()
		deps, gate, d = r.deps, r.gate, r.d
	})

	It("does not apply the refusal of one attempt to a later attempt", func() {
		deps.engine.generate = func() (target.Stream, error) { return nil, fmt.Errorf("%w: not loaded", target.ErrNotAdmitted) }
		msg, _ := r.submitWith(func(m *peer.Submit) { m.Attempt = 1 })
		Expect(r.firstOutcome().Retryable()).To(BeTrue())
		By("attaching to a later attempt")
		var result peer.AttachResult
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Attempt: 2}, &result)).To(Succeed())
		Expect(result.Known).To(BeFalse())
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Attempt: 1}, &result)).To(Succeed())
		Expect(result.Known).To(BeTrue())
		By("cancelling at the target to which another dispatcher has sent the request")
		deps.engine.cancel = func() (target.Progress, error) { return target.InProgress, nil }
		var cancelled peer.CancelResult
		Expect(r.conn.Call(r.ctx, peer.MethodCancel, peer.CancelRequest{ID: msg.ID, Targets: []tables.TargetID{"e1"}}, &cancelled)).To(Succeed())
		Expect(cancelled.Progress).To(Equal(target.InProgress))
		By("taking over the answer from that target")
		deps.engine.resume = func(offset int) (target.Stream, error) {
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Target: "e1"}, &result)).To(Succeed())
		Eventually(gate.outcomes).WithTimeout(timeout).Should(HaveLen(3))
		Expect(gate.outcomes()[2].Kind).To(Equal(errkind.None))
	})
	Context("for a request that another dispatcher sent", func() {
		attach := func() (peer.AttachResult, error) {
			var result peer.AttachResult
			err := r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: "g1.x", Target: "e1", Offset: 2}, &result)
			return result, err
		}
		cancel := func() (peer.CancelResult, error) {
			var result peer.CancelResult
			err := r.conn.Call(r.ctx, peer.MethodCancel, peer.CancelRequest{ID: "g1.x", Targets: []tables.TargetID{"e1"}}, &result)
			return result, err
		}
		It("takes over the answer at the offset that the gate has reached", func() {
			deps.engine.resume = func(offset int) (target.Stream, error) {
				return answer(offset, answerTokens, answerTokens, io.EOF), nil
			}
			result, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Known).To(BeTrue())
			Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
			Expect(gate.offsets()).To(Equal([]int{2, 3, 4, 5}))
		})
		It("keeps the complete answer when it takes over the rest and the gate has the first part", func() {
			deps.engine.resume = func(offset int) (target.Stream, error) {
				return answer(offset, answerTokens, answerTokens, io.EOF), nil
			}
			var result peer.AttachResult
			q := peer.Attach{ID: "g1.x", Target: "e1", Offset: 2, ReceivedText: "0 1 ", Key: "k"}
			Expect(r.conn.Call(r.ctx, peer.MethodAttach, q, &result)).To(Succeed())
			Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
			var o peer.Outcome
			Expect(r.conn.Call(r.ctx, peer.MethodLookup, peer.Lookup{ID: "g1.x"}, &o)).To(Succeed())
			Expect(o.BodyKept).To(BeTrue())
			Expect(string(o.Body)).To(Equal("0 1 2 3 4 5 "))
			Eventually(deps.recorded).WithTimeout(timeout).Should(HaveLen(1))
			By("sending the rest to a gate that has a shorter first part, and nothing to a gate that has a different text")
			q.Offset, q.ReceivedText, q.Target = 1, "0 ", ""
			Expect(r.conn.Call(r.ctx, peer.MethodAttach, q, &result)).To(Succeed())
			Expect(result.Known).To(BeTrue())
			Eventually(gate.offsets).WithTimeout(timeout).Should(Equal([]int{2, 3, 4, 5, 1, 2, 3, 4, 5}))
			q.ReceivedText = "x "
			Expect(r.conn.Call(r.ctx, peer.MethodAttach, q, &result)).To(Succeed())
			Expect(result.Known).To(BeFalse())
		})
		It("counts a request that it took over towards the window of the target", func() {
			rest := make(chan target.Chunk)
			deps.engine.resume = func(int) (target.Stream, error) { return channelStream(rest), nil }
			deps.engine.generate = func() (target.Stream, error) { return answer(0, answerTokens, answerTokens, io.EOF), nil }
			_, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Summary(r.ctx)[0].Free).To(BeZero())
			r.submit()
			Consistently(func() int { n, _, _ := deps.engine.counts(); return n }).Should(BeZero())
			rest <- target.Chunk{Offset: 2, Tokens: answerTokens - 2, Final: true}
			Eventually(gate.outcomes).WithTimeout(timeout).Should(HaveLen(2))
		})
		It("returns the progress that the target reports", func() {
			result, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(result).To(Equal(peer.AttachResult{Progress: target.NotKnown}))
			deps.engine.cancel = func() (target.Progress, error) { return target.NeverStarted, nil }
			c, err := cancel()
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Progress).To(Equal(target.NeverStarted))
		})
		It("returns an error of kind OutcomeUnknown if the target does not respond", func() {
			deps.engine.resume = func(int) (target.Stream, error) { return nil, errReset }
			deps.engine.cancel = func() (target.Progress, error) { return "", errReset }
			_, err := attach()
			Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
			_, err = cancel()
			Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		})
	})
})

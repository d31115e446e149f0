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
		site *fakeSite
		gate *gateSide
		d    *dispatcher.Dispatcher
	)
	BeforeEach(func() {
		r = newRig()
		site, gate, d = r.site, r.gate, r.d
	})

	It("lets its refusal of one attempt say nothing of a later one", func() {
		site.engine.generate = func() (target.Stream, error) { return nil, fmt.Errorf("%w: not loaded", target.ErrNotAdmitted) }
		msg, _ := r.submitWith(func(m *peer.Submit) { m.Attempt = 1 })
		Expect(r.end().Retryable()).To(BeTrue())
		By("asked about the present attempt on a new connection")
		var known peer.AttachResult
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Attempt: 2}, &known)).To(Succeed())
		Expect(known.Known).To(BeFalse())
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Attempt: 1}, &known)).To(Succeed())
		Expect(known.Known).To(BeTrue())
		By("asked to cancel at the target that another dispatcher sent it to")
		site.engine.cancel = func() (target.Progress, error) { return target.InProgress, nil }
		var c peer.CancelResult
		Expect(r.conn.Call(r.ctx, peer.MethodCancel, peer.CancelRequest{ID: msg.ID, Targets: []tables.TargetID{"e1"}}, &c)).To(Succeed())
		Expect(c.Progress).To(Equal(target.InProgress))
		By("asked to take the answer over from that target")
		site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
		Expect(r.conn.Call(r.ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Target: "e1"}, &known)).To(Succeed())
		Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(3))
		Expect(gate.ends()[2].Kind).To(Equal(errkind.None))
	})
	Context("asked about a dispatch of another dispatcher", func() {
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
		It("takes its answer over at the offset of the gate", func() {
			site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
			result, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Known).To(BeTrue())
			Expect(r.end().Kind).To(Equal(errkind.None))
			Expect(gate.offsets()).To(Equal([]int{2, 3, 4, 5}))
		})
		It("keeps the whole of an answer that it took over in its middle", func() {
			site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
			var result peer.AttachResult
			q := peer.Attach{ID: "g1.x", Target: "e1", Offset: 2, ReceivedText: "0 1 ", Key: "k"}
			Expect(r.conn.Call(r.ctx, peer.MethodAttach, q, &result)).To(Succeed())
			Expect(r.end().Kind).To(Equal(errkind.None))
			var o peer.Outcome
			Expect(r.conn.Call(r.ctx, peer.MethodLookup, peer.Lookup{ID: "g1.x"}, &o)).To(Succeed())
			Expect(o.BodyKept).To(BeTrue())
			Expect(string(o.Body)).To(Equal("0 1 2 3 4 5 "))
			Eventually(site.recorded).WithTimeout(bound).Should(HaveLen(1))
			By("giving the rest to who has a part that ends elsewhere, and nothing to who has another text")
			q.Offset, q.ReceivedText, q.Target = 1, "0 ", ""
			Expect(r.conn.Call(r.ctx, peer.MethodAttach, q, &result)).To(Succeed())
			Expect(result.Known).To(BeTrue())
			Eventually(gate.offsets).WithTimeout(bound).Should(Equal([]int{2, 3, 4, 5, 1, 2, 3, 4, 5}))
			q.ReceivedText = "x "
			Expect(r.conn.Call(r.ctx, peer.MethodAttach, q, &result)).To(Succeed())
			Expect(result.Known).To(BeFalse())
		})
		It("counts what it took over against the window of the target", func() {
			rest := make(chan target.Chunk)
			site.engine.resume = func(int) (target.Stream, error) { return live(rest), nil }
			site.engine.generate = func() (target.Stream, error) { return answer(0, whole, whole, io.EOF), nil }
			_, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Summary(r.ctx)[0].Free).To(BeZero())
			r.submit()
			Consistently(func() int { n, _, _ := site.engine.counts(); return n }).Should(BeZero())
			rest <- target.Chunk{Offset: 2, Tokens: whole - 2, Final: true}
			Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(2))
		})
		It("passes on that the target does not know it", func() {
			result, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(result).To(Equal(peer.AttachResult{Progress: target.NotKnown}))
			site.engine.cancel = func() (target.Progress, error) { return target.NeverStarted, nil }
			c, err := cancel()
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Progress).To(Equal(target.NeverStarted))
		})
		It("says nothing for a target that did not answer", func() {
			site.engine.resume = func(int) (target.Stream, error) { return nil, errReset }
			site.engine.cancel = func() (target.Progress, error) { return "", errReset }
			_, err := attach()
			Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
			_, err = cancel()
			Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		})
	})
})

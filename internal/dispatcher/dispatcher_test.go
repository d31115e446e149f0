package dispatcher_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestDispatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatcher")
}

const (
	peerKey      = "a key between the peers"
	answerTokens = 6
	timeout      = 20 * time.Second
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

	It("sends a request once and relays the complete answer in order", func() {
		deps.engine.generate = func() (target.Stream, error) { return answer(0, answerTokens, answerTokens, io.EOF), nil }
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		Expect(gate.offsets()).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		generateCalls, resumes, _ := deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
		Expect(resumes).To(BeEmpty())
	})
	It("resumes a broken stream at its offset and does not send the request again", func() {
		deps.engine.generate = func() (target.Stream, error) { return answer(0, 2, answerTokens, errReset), nil }
		deps.engine.resume = func(offset int) (target.Stream, error) {
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		Expect(gate.offsets()).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		generateCalls, resumes, _ := deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
		Expect(resumes).To(Equal([]int{2}))
	})
	It("treats a stream that ends without its final chunk as broken", func() {
		deps.engine.generate = func() (target.Stream, error) { return answer(0, 2, answerTokens, io.EOF), nil }
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.RanFailed))
	})
	It("resumes the stream of a request whose send failed with an unknown result", func() {
		deps.engine.generate = func() (target.Stream, error) { return nil, errReset }
		deps.engine.resume = func(offset int) (target.Stream, error) {
			return answer(offset, answerTokens, answerTokens, io.EOF), nil
		}
		r.submit()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		generateCalls, _, _ := deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
	})
	DescribeTable("resolves the outcome of a failed send only by what the target reports",
		func(progress target.Progress, kind errkind.Kind, crashed bool) {
			deps.engine.generate = func() (target.Stream, error) { return nil, errReset }
			deps.engine.cancel = func() (target.Progress, error) { return progress, nil }
			r.submit()
			f := r.firstOutcome()
			Expect(f.Kind).To(Equal(kind))
			Expect(f.Retryable()).To(BeFalse())
			Expect(deps.crashed()).To(HaveLen(map[bool]int{false: 0, true: 1}[crashed]))
			generateCalls, _, cancels := deps.engine.counts()
			Expect(generateCalls).To(Equal(1))
			Expect(cancels).To(BeNumerically(">=", 1))
		},
		Entry("never started", target.NeverStarted, errkind.NotAdmitted, false),
		Entry("not known, as after a restart of the target", target.NotKnown, errkind.OutcomeUnknown, true),
		Entry("failed", target.Failed, errkind.RanFailed, false),
	)
	It("reports a request refused by the target as retryable and accepts it again", func() {
		refuseNext := true
		deps.engine.generate = func() (target.Stream, error) {
			if refuseNext {
				refuseNext = false
				return nil, fmt.Errorf("%w: not loaded", target.ErrNotAdmitted)
			}
			return answer(0, answerTokens, answerTokens, io.EOF), nil
		}
		msg, _ := r.submit()
		Expect(r.firstOutcome().Retryable()).To(BeTrue())
		Eventually(func() errkind.Kind {
			var second peer.SubmitResult
			Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &second)).To(Succeed())
			return second.Kind
		}).WithTimeout(timeout).Should(Equal(errkind.None))
		Eventually(gate.outcomes).WithTimeout(timeout).Should(HaveLen(2))
		Expect(gate.outcomes()[1].Kind).To(Equal(errkind.None))
	})
	DescribeTable("sends a keyed request only before its SendBy and only to the address in its claim",
		func(sendByReduction time.Duration, address string, kind errkind.Kind, sent int) {
			deps.engine.generate = func() (target.Stream, error) { return answer(0, answerTokens, answerTokens, io.EOF), nil }
			r.submitWith(func(m *peer.Submit) {
				m.Key = "k"
				m.SendBy = time.Now().Add(time.Minute - sendByReduction)
				m.Addresses = map[tables.TargetID]string{"e1": address}
			})
			Expect(r.firstOutcome().Kind).To(Equal(kind))
			generateCalls, _, _ := deps.engine.counts()
			Expect(generateCalls).To(Equal(sent))
		},
		Entry("before SendBy", time.Duration(0), "127.0.0.1:1", errkind.None, 1),
		Entry("at or after SendBy", time.Minute, "127.0.0.1:1", errkind.CancelledBeforeRun, 0),
		Entry("another address", time.Duration(0), "127.0.0.1:2", errkind.NoTarget, 0),
	)
	It("withholds a service from a target that reported its model as not loaded", func() {
		deps.engine.generate = func() (target.Stream, error) { return nil, target.ErrModelNotLoaded }
		r.submit()
		Expect(r.firstOutcome().Retryable()).To(BeTrue())
		_, second := r.submit()
		Expect(second.Kind).To(Equal(errkind.NoTarget))
		Expect(second.Pool).To(ConsistOf(HaveField("Unloaded", ConsistOf(tables.ServiceID("report")))))
		generateCalls, _, _ := deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
	})
	It("does not send a running request a second time if it is submitted again", func() {
		stream := make(chan target.Stream)
		deps.engine.generate = func() (target.Stream, error) { return <-stream, nil }
		msg, _ := r.submit()
		var second peer.SubmitResult
		Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &second)).To(Succeed())
		stream <- answer(0, answerTokens, answerTokens, io.EOF)
		Expect(r.firstOutcome().Kind).To(Equal(errkind.None))
		generateCalls, _, _ := deps.engine.counts()
		Expect(generateCalls).To(Equal(1))
	})
	It("cancels a request of a lower tier again if the first cancel failed", func() {
		deps.engine.generate = func() (target.Stream, error) { return channelStream(make(chan target.Chunk)), nil }
		deps.engine.resume = func(int) (target.Stream, error) { return channelStream(make(chan target.Chunk)), nil }
		failCancel := true
		deps.engine.cancel = func() (target.Progress, error) {
			if failCancel {
				failCancel = false
				return "", errReset
			}
			return target.Cancelled, nil
		}
		r.submitWith(func(m *peer.Submit) { m.Tier = 1 })
		Eventually(func() int { n, _, _ := deps.engine.counts(); return n }).WithTimeout(timeout).Should(Equal(1))
		r.submitWith(func(m *peer.Submit) { m.Tier, m.FirstTokenIn = 0, time.Second })
		Expect(r.firstOutcome().Kind).To(Equal(errkind.Preempted))
		Eventually(func() int { n, _, _ := deps.engine.counts(); return n }).WithTimeout(timeout).Should(Equal(2))
	})
	It("refuses a request that was cancelled before it arrived", func() {
		id := tables.NewRequestID("g1", uuid.Must(uuid.NewV7()))
		var cancelled peer.CancelResult
		Expect(r.conn.Call(r.ctx, peer.MethodCancel, peer.CancelRequest{ID: id}, &cancelled)).To(Succeed())
		var result peer.SubmitResult
		msg := peer.Submit{ID: id, Service: "report", DueIn: time.Minute, Allowed: []tables.TargetID{"e1"}}
		Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &result)).To(Succeed())
		Expect(result.Kind).To(Equal(errkind.CancelledBeforeRun))
	})
	It("returns queued requests and completes running ones when it drains", func() {
		stream := make(chan target.Stream)
		deps.engine.generate = func() (target.Stream, error) { return <-stream, nil }
		r.submit()
		Eventually(func() int { n, _, _ := deps.engine.counts(); return n }).WithTimeout(timeout).Should(Equal(1))
		r.submit()
		drained := make(chan int)
		go func() {
			remaining, _ := d.Drain(r.ctx)
			drained <- remaining
		}()
		Expect(r.firstOutcome().Kind).To(Equal(errkind.ShuttingDown))
		Consistently(drained).ShouldNot(Receive())
		stream <- answer(0, answerTokens, answerTokens, io.EOF)
		Eventually(drained).WithTimeout(timeout).Should(Receive(Equal(0)))
		Expect(gate.outcomes()[1].Kind).To(Equal(errkind.None))
		_, result := r.submit()
		Expect(result.Kind).To(Equal(errkind.ShuttingDown))
	})
})

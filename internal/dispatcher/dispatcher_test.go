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
	key   = "a key between the peers"
	whole = 6
	bound = 20 * time.Second
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

	It("sends once and relays the whole answer in order", func() {
		site.engine.generate = func() (target.Stream, error) { return answer(0, whole, whole, io.EOF), nil }
		r.submit()
		Expect(r.end().Kind).To(Equal(errkind.None))
		Expect(gate.offsets()).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		generates, resumes, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
		Expect(resumes).To(BeEmpty())
	})
	It("resumes a broken stream at its offset and never sends again", func() {
		site.engine.generate = func() (target.Stream, error) { return answer(0, 2, whole, errReset), nil }
		site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
		r.submit()
		Expect(r.end().Kind).To(Equal(errkind.None))
		Expect(gate.offsets()).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		generates, resumes, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
		Expect(resumes).To(Equal([]int{2}))
	})
	It("takes a stream without its final mark for broken", func() {
		site.engine.generate = func() (target.Stream, error) { return answer(0, 2, whole, io.EOF), nil }
		r.submit()
		Expect(r.end().Kind).To(Equal(errkind.RanFailed))
	})
	It("finds the stream of a send whose answer was lost", func() {
		site.engine.generate = func() (target.Stream, error) { return nil, errReset }
		site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
		r.submit()
		Expect(r.end().Kind).To(Equal(errkind.None))
		generates, _, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
	})
	DescribeTable("settles a lost send by the target's word alone",
		func(word target.Progress, kind errkind.Kind, crashed bool) {
			site.engine.generate = func() (target.Stream, error) { return nil, errReset }
			site.engine.cancel = func() (target.Progress, error) { return word, nil }
			r.submit()
			f := r.end()
			Expect(f.Kind).To(Equal(kind))
			Expect(f.Retryable()).To(BeFalse())
			Expect(site.crashed()).To(HaveLen(map[bool]int{false: 0, true: 1}[crashed]))
			generates, _, cancels := site.engine.counts()
			Expect(generates).To(Equal(1))
			Expect(cancels).To(BeNumerically(">=", 1))
		},
		Entry("never started", target.NeverStarted, errkind.NotAdmitted, false),
		Entry("not known, as after a restart", target.NotKnown, errkind.OutcomeUnknown, true),
		Entry("failed", target.Failed, errkind.RanFailed, false),
	)
	It("calls a refused send retryable and takes the request back", func() {
		refused := true
		site.engine.generate = func() (target.Stream, error) {
			if refused {
				refused = false
				return nil, fmt.Errorf("%w: not loaded", target.ErrNotAdmitted)
			}
			return answer(0, whole, whole, io.EOF), nil
		}
		msg, _ := r.submit()
		Expect(r.end().Retryable()).To(BeTrue())
		Eventually(func() errkind.Kind {
			var again peer.SubmitResult
			Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &again)).To(Succeed())
			return again.Kind
		}).WithTimeout(bound).Should(Equal(errkind.None))
		Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(2))
		Expect(gate.ends()[1].Kind).To(Equal(errkind.None))
	})
	DescribeTable("sends a keyed request only where and as long as its claim allows",
		func(late time.Duration, address string, kind errkind.Kind, sent int) {
			site.engine.generate = func() (target.Stream, error) { return answer(0, whole, whole, io.EOF), nil }
			r.submitWith(func(m *peer.Submit) {
				m.Key = "k"
				m.SendBy = time.Now().Add(time.Minute - late)
				m.Addresses = map[tables.TargetID]string{"e1": address}
			})
			Expect(r.end().Kind).To(Equal(kind))
			generates, _, _ := site.engine.counts()
			Expect(generates).To(Equal(sent))
		},
		Entry("in time", time.Duration(0), "127.0.0.1:1", errkind.None, 1),
		Entry("too late", time.Minute, "127.0.0.1:1", errkind.CancelledBeforeRun, 0),
		Entry("elsewhere", time.Duration(0), "127.0.0.1:2", errkind.NoTarget, 0),
	)
	It("keeps a service off a target that said that it lacks the model", func() {
		site.engine.generate = func() (target.Stream, error) { return nil, target.ErrModelNotLoaded }
		r.submit()
		Expect(r.end().Retryable()).To(BeTrue())
		_, again := r.submit()
		Expect(again.Kind).To(Equal(errkind.NoTarget))
		Expect(again.Pool).To(ConsistOf(HaveField("Unloaded", ConsistOf(tables.ServiceID("report")))))
		generates, _, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
	})
	It("takes a second submission of a running request for the first", func() {
		stream := make(chan target.Stream)
		site.engine.generate = func() (target.Stream, error) { return <-stream, nil }
		msg, _ := r.submit()
		var again peer.SubmitResult
		Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &again)).To(Succeed())
		stream <- answer(0, whole, whole, io.EOF)
		Expect(r.end().Kind).To(Equal(errkind.None))
		generates, _, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
	})
	It("cancels a lower tier again when the first cancel was lost", func() {
		site.engine.generate = func() (target.Stream, error) { return live(make(chan target.Chunk)), nil }
		site.engine.resume = func(int) (target.Stream, error) { return live(make(chan target.Chunk)), nil }
		lost := true
		site.engine.cancel = func() (target.Progress, error) {
			if lost {
				lost = false
				return "", errReset
			}
			return target.Cancelled, nil
		}
		r.submitWith(func(m *peer.Submit) { m.Tier = 1 })
		Eventually(func() int { n, _, _ := site.engine.counts(); return n }).WithTimeout(bound).Should(Equal(1))
		r.submitWith(func(m *peer.Submit) { m.Tier, m.FirstTokenIn = 0, time.Second })
		Expect(r.end().Kind).To(Equal(errkind.Preempted))
		Eventually(func() int { n, _, _ := site.engine.counts(); return n }).WithTimeout(bound).Should(Equal(2))
	})
	It("refuses what was cancelled before it arrived", func() {
		id := tables.NewRequestID("g1", uuid.Must(uuid.NewV7()))
		var cancelled peer.CancelResult
		Expect(r.conn.Call(r.ctx, peer.MethodCancel, peer.CancelRequest{ID: id}, &cancelled)).To(Succeed())
		var result peer.SubmitResult
		msg := peer.Submit{ID: id, Service: "report", DueIn: time.Minute, Allowed: []tables.TargetID{"e1"}}
		Expect(r.conn.Call(r.ctx, peer.MethodSubmit, msg, &result)).To(Succeed())
		Expect(result.Kind).To(Equal(errkind.CancelledBeforeRun))
	})
	It("gives queued requests back and finishes running ones when it stops", func() {
		stream := make(chan target.Stream)
		site.engine.generate = func() (target.Stream, error) { return <-stream, nil }
		r.submit()
		Eventually(func() int { n, _, _ := site.engine.counts(); return n }).WithTimeout(bound).Should(Equal(1))
		r.submit()
		drained := make(chan int)
		go func() {
			left, _ := d.Drain(r.ctx)
			drained <- left
		}()
		Expect(r.end().Kind).To(Equal(errkind.ShuttingDown))
		Consistently(drained).ShouldNot(Receive())
		stream <- answer(0, whole, whole, io.EOF)
		Eventually(drained).WithTimeout(bound).Should(Receive(Equal(0)))
		Expect(gate.ends()[1].Kind).To(Equal(errkind.None))
		_, result := r.submit()
		Expect(result.Kind).To(Equal(errkind.ShuttingDown))
	})
})

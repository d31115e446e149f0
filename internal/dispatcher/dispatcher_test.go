package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
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
		ctx  context.Context
		site *fakeSite
		gate *gateSide
		d    *dispatcher.Dispatcher
		conn *peer.Conn
	)
	BeforeEach(func() {
		c, cancel := context.WithCancel(context.Background())
		ctx = c
		site = &fakeSite{engine: &fakeEngine{
			cancel: func() (target.Progress, error) { return target.NotKnown, nil },
			resume: func(int) (target.Stream, error) { return nil, errNoStream },
		}}
		gate = &gateSide{}
		clock := clockwork.NewRealClock()
		d = dispatcher.New(ctx, dispatcher.Options{
			Host: "h1", Clock: clock, Logger: zap.NewNop(), Tracer: noop.NewTracerProvider().Tracer(""),
			Document:   func() *config.Document { return document() },
			Membership: site, Quarantine: site, Outcomes: site, Targets: site, Observer: site,
		})
		done := make(chan struct{})
		go func() {
			d.Run()
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		mux := peer.NewMux()
		d.Register(mux)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, mux, key, clock) }()
		pool := peer.NewPool(ctx, peer.Hello{Host: "g1", Key: key}, gate.mux(), clock)
		conn, err = pool.Get(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() []tables.PoolSummary { return d.Summary(ctx) }).WithTimeout(bound).ShouldNot(BeEmpty())
	})
	submitWith := func(change func(*peer.Submit)) (peer.Submit, peer.SubmitResult) {
		msg := peer.Submit{
			ID: tables.NewRequestID("g1", uuid.Must(uuid.NewV7())), Service: "report", Model: "m", Body: []byte("prompt"),
			FirstTokenIn: time.Minute, DueIn: time.Minute, MaxTokens: whole, Allowed: []tables.TargetID{"e1"}, Fingerprint: 7,
		}
		change(&msg)
		var r peer.SubmitResult
		Expect(conn.Call(ctx, peer.MethodSubmit, msg, &r)).To(Succeed())
		return msg, r
	}
	submit := func() (peer.Submit, peer.SubmitResult) { return submitWith(func(*peer.Submit) {}) }
	end := func() peer.Finished {
		Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(1))
		return gate.ends()[0]
	}

	It("sends once and relays the whole answer in order", func() {
		site.engine.generate = func() (target.Stream, error) { return answer(0, whole, whole, io.EOF), nil }
		submit()
		Expect(end().Kind).To(Equal(errkind.None))
		Expect(gate.offsets()).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		generates, resumes, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
		Expect(resumes).To(BeEmpty())
	})
	It("resumes a broken stream at its offset and never sends again", func() {
		site.engine.generate = func() (target.Stream, error) { return answer(0, 2, whole, errReset), nil }
		site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
		submit()
		Expect(end().Kind).To(Equal(errkind.None))
		Expect(gate.offsets()).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		generates, resumes, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
		Expect(resumes).To(Equal([]int{2}))
	})
	It("takes a stream without its final mark for broken", func() {
		site.engine.generate = func() (target.Stream, error) { return answer(0, 2, whole, io.EOF), nil }
		submit()
		Expect(end().Kind).To(Equal(errkind.RanFailed))
	})
	It("finds the stream of a send whose answer was lost", func() {
		site.engine.generate = func() (target.Stream, error) { return nil, errReset }
		site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
		submit()
		Expect(end().Kind).To(Equal(errkind.None))
		generates, _, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
	})
	DescribeTable("settles a lost send by the target's word alone",
		func(word target.Progress, kind errkind.Kind, crashed bool) {
			site.engine.generate = func() (target.Stream, error) { return nil, errReset }
			site.engine.cancel = func() (target.Progress, error) { return word, nil }
			submit()
			f := end()
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
		msg, _ := submit()
		Expect(end().Retryable()).To(BeTrue())
		Eventually(func() errkind.Kind {
			var again peer.SubmitResult
			Expect(conn.Call(ctx, peer.MethodSubmit, msg, &again)).To(Succeed())
			return again.Kind
		}).WithTimeout(bound).Should(Equal(errkind.None))
		Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(2))
		Expect(gate.ends()[1].Kind).To(Equal(errkind.None))
	})
	DescribeTable("sends a keyed request only where and as long as its claim allows",
		func(late time.Duration, address string, kind errkind.Kind, sent int) {
			site.engine.generate = func() (target.Stream, error) { return answer(0, whole, whole, io.EOF), nil }
			submitWith(func(m *peer.Submit) {
				m.Key = "k"
				m.SendBy = time.Now().Add(time.Minute - late)
				m.Addresses = map[tables.TargetID]string{"e1": address}
			})
			Expect(end().Kind).To(Equal(kind))
			generates, _, _ := site.engine.counts()
			Expect(generates).To(Equal(sent))
		},
		Entry("in time", time.Duration(0), "127.0.0.1:1", errkind.None, 1),
		Entry("too late", time.Minute, "127.0.0.1:1", errkind.CancelledBeforeRun, 0),
		Entry("elsewhere", time.Duration(0), "127.0.0.1:2", errkind.NoTarget, 0),
	)
	It("lets its refusal of one attempt say nothing of a later one", func() {
		site.engine.generate = func() (target.Stream, error) { return nil, fmt.Errorf("%w: not loaded", target.ErrNotAdmitted) }
		msg, _ := submitWith(func(m *peer.Submit) { m.Attempt = 1 })
		Expect(end().Retryable()).To(BeTrue())
		By("asked about the present attempt on a new connection")
		var known peer.AttachResult
		Expect(conn.Call(ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Attempt: 2}, &known)).To(Succeed())
		Expect(known.Known).To(BeFalse())
		Expect(conn.Call(ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Attempt: 1}, &known)).To(Succeed())
		Expect(known.Known).To(BeTrue())
		By("asked to cancel at the target that another dispatcher sent it to")
		site.engine.cancel = func() (target.Progress, error) { return target.InProgress, nil }
		var c peer.CancelResult
		Expect(conn.Call(ctx, peer.MethodCancel, peer.CancelRequest{ID: msg.ID, Targets: []tables.TargetID{"e1"}}, &c)).To(Succeed())
		Expect(c.Progress).To(Equal(target.InProgress))
		By("asked to take the answer over from that target")
		site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
		Expect(conn.Call(ctx, peer.MethodAttach, peer.Attach{ID: msg.ID, Target: "e1"}, &known)).To(Succeed())
		Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(3))
		Expect(gate.ends()[2].Kind).To(Equal(errkind.None))
	})
	It("keeps a service off a target that said that it lacks the model", func() {
		site.engine.generate = func() (target.Stream, error) { return nil, target.ErrModelNotLoaded }
		submit()
		Expect(end().Retryable()).To(BeTrue())
		_, again := submit()
		Expect(again.Kind).To(Equal(errkind.NoTarget))
		Expect(again.Pool).To(ConsistOf(HaveField("Unloaded", ConsistOf(tables.ServiceID("report")))))
		generates, _, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
	})
	It("takes a second submission of a running request for the first", func() {
		stream := make(chan target.Stream)
		site.engine.generate = func() (target.Stream, error) { return <-stream, nil }
		msg, _ := submit()
		var again peer.SubmitResult
		Expect(conn.Call(ctx, peer.MethodSubmit, msg, &again)).To(Succeed())
		stream <- answer(0, whole, whole, io.EOF)
		Expect(end().Kind).To(Equal(errkind.None))
		generates, _, _ := site.engine.counts()
		Expect(generates).To(Equal(1))
	})
	It("refuses what was cancelled before it arrived", func() {
		id := tables.NewRequestID("g1", uuid.Must(uuid.NewV7()))
		var cancelled peer.CancelResult
		Expect(conn.Call(ctx, peer.MethodCancel, peer.CancelRequest{ID: id}, &cancelled)).To(Succeed())
		var r peer.SubmitResult
		msg := peer.Submit{ID: id, Service: "report", DueIn: time.Minute, Allowed: []tables.TargetID{"e1"}}
		Expect(conn.Call(ctx, peer.MethodSubmit, msg, &r)).To(Succeed())
		Expect(r.Kind).To(Equal(errkind.CancelledBeforeRun))
	})
	Context("asked about a dispatch of another dispatcher", func() {
		attach := func() (peer.AttachResult, error) {
			var r peer.AttachResult
			err := conn.Call(ctx, peer.MethodAttach, peer.Attach{ID: "g1.x", Target: "e1", Offset: 2}, &r)
			return r, err
		}
		cancel := func() (peer.CancelResult, error) {
			var r peer.CancelResult
			err := conn.Call(ctx, peer.MethodCancel, peer.CancelRequest{ID: "g1.x", Targets: []tables.TargetID{"e1"}}, &r)
			return r, err
		}
		It("takes its answer over at the offset of the gate", func() {
			site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
			r, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Known).To(BeTrue())
			Expect(end().Kind).To(Equal(errkind.None))
			Expect(gate.offsets()).To(Equal([]int{2, 3, 4, 5}))
		})
		It("keeps the whole of an answer that it took over in its middle", func() {
			site.engine.resume = func(offset int) (target.Stream, error) { return answer(offset, whole, whole, io.EOF), nil }
			var r peer.AttachResult
			q := peer.Attach{ID: "g1.x", Target: "e1", Offset: 2, Text: "0 1 ", Key: "k"}
			Expect(conn.Call(ctx, peer.MethodAttach, q, &r)).To(Succeed())
			Expect(end().Kind).To(Equal(errkind.None))
			var o peer.Outcome
			Expect(conn.Call(ctx, peer.MethodLookup, peer.Lookup{ID: "g1.x"}, &o)).To(Succeed())
			Expect(o.BodyKept).To(BeTrue())
			Expect(string(o.Body)).To(Equal("0 1 2 3 4 5 "))
			Eventually(site.recorded).WithTimeout(bound).Should(HaveLen(1))
			By("giving the rest to who has a part that ends elsewhere, and nothing to who has another text")
			q.Offset, q.Text, q.Target = 1, "0 ", ""
			Expect(conn.Call(ctx, peer.MethodAttach, q, &r)).To(Succeed())
			Expect(r.Known).To(BeTrue())
			Eventually(gate.offsets).WithTimeout(bound).Should(Equal([]int{2, 3, 4, 5, 1, 2, 3, 4, 5}))
			q.Text = "x "
			Expect(conn.Call(ctx, peer.MethodAttach, q, &r)).To(Succeed())
			Expect(r.Known).To(BeFalse())
		})
		It("counts what it took over against the window of the target", func() {
			rest := make(chan target.Chunk)
			site.engine.resume = func(int) (target.Stream, error) { return live(rest), nil }
			site.engine.generate = func() (target.Stream, error) { return answer(0, whole, whole, io.EOF), nil }
			_, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Summary(ctx)[0].Free).To(BeZero())
			submit()
			Consistently(func() int { n, _, _ := site.engine.counts(); return n }).Should(BeZero())
			rest <- target.Chunk{Offset: 2, Tokens: whole - 2, Final: true}
			Eventually(gate.ends).WithTimeout(bound).Should(HaveLen(2))
		})
		It("passes on that the target does not know it", func() {
			r, err := attach()
			Expect(err).NotTo(HaveOccurred())
			Expect(r).To(Equal(peer.AttachResult{Progress: target.NotKnown}))
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
	It("gives queued requests back and finishes running ones when it stops", func() {
		stream := make(chan target.Stream)
		site.engine.generate = func() (target.Stream, error) { return <-stream, nil }
		submit()
		Eventually(func() int { n, _, _ := site.engine.counts(); return n }).WithTimeout(bound).Should(Equal(1))
		submit()
		drained := make(chan int)
		go func() {
			left, _ := d.Drain(ctx)
			drained <- left
		}()
		Expect(end().Kind).To(Equal(errkind.ShuttingDown))
		Consistently(drained).ShouldNot(Receive())
		stream <- answer(0, whole, whole, io.EOF)
		Eventually(drained).WithTimeout(bound).Should(Receive(Equal(0)))
		Expect(gate.ends()[1].Kind).To(Equal(errkind.None))
		_, r := submit()
		Expect(r.Kind).To(Equal(errkind.ShuttingDown))
	})
})

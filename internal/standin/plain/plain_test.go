package plain_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestPlain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plain")
}

const id = tables.RequestID("h1.0190a000-0000-7000-8000-000000000001")

func start(o plain.Options) (*plain.Service, *target.PlainClient) {
	s := plain.New(o)
	address, err := s.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	c := target.NewPlainClient(address, "filing")
	DeferCleanup(c.Close)
	return s, c
}

var _ = Describe("Service", func() {
	call := target.Call{ID: id, Operation: "submit", Body: []byte(`{"a":1}`), Timeout: 10 * time.Second}
	expected := plain.ExpectedAnswer(id, "submit", call.Body)

	It("runs a call once and refuses a second dispatch with the same ID", func(ctx SpecContext) {
		s, c := start(plain.Options{})
		answer, err := c.Call(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body).To(Equal(expected))
		_, err = c.Call(ctx, call)
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(s.Records().Calls[id].Runs).To(Equal(1))
		Expect(s.Records().Calls[id].Dispatches).To(Equal(2))
		Expect(s.Records().RunsByOperation).To(Equal(map[string]int{"submit": 1}))
	}, NodeTimeout(10*time.Second))

	It("keeps a lost answer available until its retention time has passed", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		s, c := start(plain.Options{Clock: clock, Retention: time.Minute})
		s.LoseAnswers(1)
		_, err := c.Call(ctx, call)
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(c.Cancel(ctx, id)).To(Equal(target.Completed))
		answer, progress, err := c.Outcome(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(progress).To(Equal(target.Completed))
		Expect(answer.Body).To(Equal(expected))
		clock.Advance(time.Minute)
		answer, progress, err = c.Outcome(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(progress).To(Equal(target.Completed))
		Expect(answer.Status).To(BeZero())
	}, NodeTimeout(10*time.Second))

	It("distinguishes a lost request from a failed run", func(ctx SpecContext) {
		s, c := start(plain.Options{})
		s.LoseSends(1)
		lost := call
		lost.Timeout = 50 * time.Millisecond
		_, err := c.Call(ctx, lost)
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(c.Cancel(ctx, id)).To(Equal(target.NeverStarted))
		_, err = c.Call(ctx, call)
		Expect(err).To(MatchError(target.ErrNotAdmitted))
		Expect(s.Records().Calls[id].Runs).To(BeZero())
		s.FailRuns(1)
		other := call
		other.ID += "x"
		_, err = c.Call(ctx, other)
		Expect(err).To(MatchError(target.ErrFailed))
		Expect(s.Records().Calls[other.ID].Runs).To(Equal(1))
	}, NodeTimeout(10*time.Second))

	It("completes a running call after its connection stalls and it is cancelled", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		s, c := start(plain.Options{Clock: clock, Delays: map[string]time.Duration{"submit": time.Second}})
		callCtx, cancelCall := context.WithCancel(ctx)
		callErr := make(chan error, 1)
		go func() { _, err := c.Call(callCtx, call); callErr <- err }()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		s.SilenceConns()
		Expect(c.Cancel(ctx, id)).To(Equal(target.InProgress))
		clock.Advance(time.Second)
		Eventually(func() target.Progress { return s.Records().Calls[id].Progress }).Should(Equal(target.Completed))
		Consistently(callErr, 30*time.Millisecond).ShouldNot(Receive())
		cancelCall()
		Eventually(callErr).Should(Receive(MatchError(target.ErrUnknown)))
	}, NodeTimeout(10*time.Second))

	It("reports a call as not known after a crash", func(ctx SpecContext) {
		s, c := start(plain.Options{})
		s.CrashOn(`"a"`)
		_, err := c.Call(ctx, call)
		Expect(err).To(MatchError(target.ErrUnknown))
		_, err = c.Call(ctx, call)
		Expect(err).To(MatchError(target.ErrNotAdmitted))
		Expect(s.Restart()).To(Succeed())
		Expect(c.Cancel(ctx, id)).To(Equal(target.NotKnown))
		Expect(s.Records().Calls[id].Runs).To(Equal(1))
		Expect(s.Records().Crashes).To(Equal(1))
	}, NodeTimeout(10*time.Second))
})

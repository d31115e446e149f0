package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

const id = tables.RequestID("h1.0190a000-0000-7000-8000-000000000001")

// start returns a running engine and a client for it.
func start(o engine.Options) (*engine.Engine, *target.EngineClient) {
	e := engine.New(o)
	address, err := e.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	c := target.NewEngineClient(address)
	DeferCleanup(c.Close)
	return e, c
}

// collect reads a stream until Next returns an error, and returns the text and
// that error.
func collect(ctx context.Context, s target.Stream) (string, error) {
	var b strings.Builder
	for {
		c, err := s.Next(ctx)
		if err != nil {
			return b.String(), err
		}
		b.WriteString(c.Text)
	}
}

var _ = Describe("Engine", func() {
	fast := engine.Options{ID: "e1", Step: 50 * time.Microsecond, PrefillTokensPerSecond: 1e9}
	slow := engine.Options{ID: "e1", Step: time.Hour}
	g := target.Generation{ID: id, Model: "m", Prompt: strings.Repeat("enamel sign ", 20), MaxTokens: 30}

	It("streams the complete answer and refuses a second dispatch with the same ID", func(ctx SpecContext) {
		e, c := start(fast)
		s, err := c.Generate(ctx, g)
		Expect(err).NotTo(HaveOccurred())
		text, err := collect(ctx, s)
		Expect(err).To(Equal(io.EOF))
		Expect(text).To(Equal(engine.ExpectedAnswer(id, g.Prompt, 30)))
		_, err = c.Generate(ctx, g)
		Expect(err).To(MatchError(target.ErrUnknown))
		rec := e.Records().Requests[id]
		Expect(rec.Dispatches).To(Equal(2))
		Expect(rec.Runs).To(Equal(1))
		Expect(rec.Refused).To(Equal(1))
		Expect(rec.Progress).To(Equal(target.Completed))
	}, NodeTimeout(10*time.Second))

	It("resumes at an offset on a new connection after the first one stalls", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		e, c := start(engine.Options{Clock: clock, Step: time.Second, PrefillTokensPerSecond: 1e9})
		s, err := c.Generate(ctx, g)
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(2 * time.Second)
		first, err := s.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		e.SilenceConns()
		go advance(ctx, clock)
		rest, err := c.Resume(ctx, id, first.Tokens)
		Expect(err).NotTo(HaveOccurred())
		text, err := collect(ctx, rest)
		Expect(err).To(Equal(io.EOF))
		Expect(first.Text + text).To(Equal(engine.ExpectedAnswer(id, g.Prompt, 30)))
		short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		defer stop()
		for err == io.EOF {
			_, err = s.Next(short)
		}
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(e.Records().Requests[id].Runs).To(Equal(1))
	}, NodeTimeout(10*time.Second))

	It("refuses a dispatch whose cancel arrived first", func(ctx SpecContext) {
		e, c := start(fast)
		Expect(c.Cancel(ctx, id)).To(Equal(target.NeverStarted))
		_, err := c.Generate(ctx, g)
		Expect(err).To(MatchError(target.ErrNotAdmitted))
		Expect(e.Records().Requests[id].Runs).To(BeZero())
	}, NodeTimeout(10*time.Second))

	It("ends a cancelled stream as failed and counts its prefill as wasted", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		e, c := start(engine.Options{Clock: clock, Step: time.Second})
		s, err := c.Generate(ctx, g)
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		Expect(c.Cancel(ctx, id)).To(Equal(target.Cancelled))
		_, err = collect(ctx, s)
		Expect(err).To(MatchError(target.ErrFailed))
		Expect(e.Records().WastedPrefillTokens).To(Equal(int64(target.PromptTokens(g.Prompt))))
	}, NodeTimeout(10*time.Second))

	It("refuses connections after a crash and does not know its dispatches after the restart", func(ctx SpecContext) {
		e, c := start(fast)
		e.CrashOn("poison")
		s, err := c.Generate(ctx, target.Generation{ID: id, Model: "m", Prompt: "poison", MaxTokens: 3})
		Expect(err).NotTo(HaveOccurred())
		_, err = collect(ctx, s)
		Expect(err).To(MatchError(target.ErrUnknown))
		Eventually(func() error { _, err := c.Generate(ctx, g); return err }).Should(MatchError(target.ErrNotAdmitted))
		Expect(e.Restart()).To(Succeed())
		Expect(c.Cancel(ctx, id)).To(Equal(target.NotKnown))
		_, err = c.Resume(ctx, id, 0)
		Expect(err).To(MatchError(target.ErrNotAdmitted))
		Expect(e.Records().Requests[id].Runs).To(Equal(1))
		Expect(e.Records().Crashes).To(Equal(1))
	}, NodeTimeout(10*time.Second))

	It("does not run a lost request and runs a request whose answer is lost", func(ctx SpecContext) {
		e, c := start(fast)
		e.LoseSends(1)
		short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		defer stop()
		_, err := c.Generate(short, g)
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(c.Cancel(ctx, id)).To(Equal(target.NeverStarted))
		e.LoseAnswers(1)
		other := target.Generation{ID: id + "x", Model: "m", Prompt: "p", MaxTokens: 1}
		_, err = c.Generate(ctx, other)
		Expect(err).To(MatchError(target.ErrUnknown))
		Expect(e.Records().Requests[id].Runs).To(BeZero())
		Expect(e.Records().Requests[other.ID].Runs).To(Equal(1))
	}, NodeTimeout(10*time.Second))

	It("reuses cached prefixes and publishes cache events with a lag and with sequence gaps", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		e, c := start(engine.Options{Clock: clock, EventLag: time.Minute, DropEventEvery: 2, LoadLag: time.Minute})
		for i := range 3 {
			_, err := c.Generate(ctx, target.Generation{ID: id + tables.RequestID(rune('a'+i)), Model: "m", Prompt: g.Prompt + strings.Repeat(string(rune('a'+i)), 100), MaxTokens: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
			clock.Advance(time.Second)
			Eventually(func() int64 { return e.Records().GeneratedTokens }).Should(Equal(int64(i + 1)))
		}
		Expect(e.Records().CachedTokens).To(BeNumerically(">=", 2*48))
		Expect(c.CacheEvents(ctx, 0)).To(BeEmpty())
		load, err := c.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(load.CacheTokens).To(BeZero())
		clock.Advance(time.Minute)
		events, err := c.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(2))
		Expect(events[0].Stored).To(ContainElement(prefix.Chain("m/", []byte(g.Prompt))[0]))
		Expect(events[1].Sequence).To(Equal(int64(3)))
	}, NodeTimeout(10*time.Second))

	It("checks fencing numbers only with ChecksFencing", func(ctx SpecContext) {
		order := func(fence int64) target.Order {
			return target.Order{Fence: fence, Models: []string{"m"}, Role: "mixed"}
		}
		_, strict := start(engine.Options{ChecksFencing: true})
		Expect(strict.Apply(ctx, order(5))).To(Succeed())
		Expect(strict.Apply(ctx, order(4))).To(MatchError(target.ErrFenced))
		lenient, lenientClient := start(engine.Options{})
		Expect(lenientClient.Apply(ctx, order(5))).To(Succeed())
		Expect(lenientClient.Apply(ctx, order(4))).To(Succeed())
		Expect(lenient.Records().StaleOrdersApplied).To(Equal(1))
		_, err := lenientClient.Generate(ctx, target.Generation{ID: id, Model: "other", Prompt: "p"})
		Expect(err).To(MatchError(target.ErrNotAdmitted))
		state, err := lenientClient.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Order.Fence).To(Equal(int64(4)))
	}, NodeTimeout(10*time.Second))

	It("stops waiting for the stream when the context is cancelled", func(ctx SpecContext) {
		_, c := start(slow)
		s, err := c.Generate(ctx, g)
		Expect(err).NotTo(HaveOccurred())
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = s.Next(cancelled)
		Expect(errors.Is(err, target.ErrUnknown)).To(BeTrue())
	}, NodeTimeout(10*time.Second))
})

// advance advances the clock in steps of one second, each once a goroutine waits
// on it, until ctx ends.
func advance(ctx context.Context, clock *clockwork.FakeClock) {
	for clock.BlockUntilContext(ctx, 1) == nil {
		clock.Advance(time.Second)
	}
}

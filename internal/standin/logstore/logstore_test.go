package logstore_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
)

func TestLogstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logstore")
}

const stream = "s/1"

// itInProcessAndOverHTTP defines two specs, which run check against the store itself and
// through its HTTP client.
func itInProcessAndOverHTTP(text string, opts logstore.Options, check func(ctx context.Context, clock *clockwork.FakeClock, s *logstore.Store, log ports.Log)) {
	It(text+" in process", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		s := logstore.New(clock, opts)
		check(ctx, clock, s, s)
	}, NodeTimeout(10*time.Second))
	It(text+" over HTTP", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		s := logstore.New(clock, opts)
		server := httptest.NewServer(s.Handler())
		DeferCleanup(server.Close)
		check(ctx, clock, s, ports.NewLogClient(server.URL, server.Client()))
	}, NodeTimeout(10*time.Second))
}

var _ = Describe("Store", func() {
	itInProcessAndOverHTTP("keeps records in order", logstore.Options{}, func(ctx context.Context, _ *clockwork.FakeClock, s *logstore.Store, log ports.Log) {
		for i, text := range []string{"a", "b", "c"} {
			Expect(log.Append(ctx, stream, []byte(text))).To(Equal(ports.Offset(i)))
		}
		page, err := log.Read(ctx, stream, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(2))
		Expect(page.Records[0].Data).To(Equal([]byte("b")))
		Expect(page.Next).To(Equal(ports.Offset(3)))
		Expect(s.Appends()).To(Equal(3))
	})

	itInProcessAndOverHTTP("returns a new record to a waiting reader", logstore.Options{}, func(ctx context.Context, clock *clockwork.FakeClock, s *logstore.Store, log ports.Log) {
		pages := make(chan ports.Page)
		go func() {
			defer GinkgoRecover()
			page, err := log.Read(ctx, stream, 0, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			pages <- page
		}()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		Expect(s.Append(ctx, stream, []byte("x"))).To(BeZero())
		Expect((<-pages).Records).To(HaveLen(1))
	})

	itInProcessAndOverHTTP("reports truncation with the oldest offset", logstore.Options{Retention: time.Hour}, func(ctx context.Context, clock *clockwork.FakeClock, _ *logstore.Store, log ports.Log) {
		_, err := log.Append(ctx, stream, []byte("old"))
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Hour)
		page, err := log.Read(ctx, stream, 0, 0)
		Expect(err).To(MatchError(ports.ErrTruncated))
		Expect(page.First).To(Equal(ports.Offset(1)))
		Expect(log.Append(ctx, stream, []byte("new"))).To(Equal(ports.Offset(1)))
	})

	itInProcessAndOverHTTP("distinguishes an outage from an unknown outcome", logstore.Options{}, func(ctx context.Context, _ *clockwork.FakeClock, s *logstore.Store, log ports.Log) {
		s.SetDown(true)
		_, err := log.Append(ctx, stream, []byte("a"))
		Expect(err).To(MatchError(ports.ErrUnavailable))
		_, err = log.Read(ctx, stream, 0, 0)
		Expect(err).To(MatchError(ports.ErrUnavailable))
		s.SetDown(false)
		s.LoseAnswers(1)
		_, err = log.Append(ctx, stream, []byte("b"))
		Expect(err).To(MatchError(ports.ErrUnknown))
		s.LoseAnswers(0)
		s.LoseRequests(1)
		_, err = log.Append(ctx, stream, []byte("c"))
		Expect(err).To(MatchError(ports.ErrUnknown))
		page, err := log.Read(ctx, stream, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
		Expect(page.Records[0].Data).To(Equal([]byte("b")))
	})

	itInProcessAndOverHTTP("refuses appends above the rate limit and above the size limit", logstore.Options{AppendsPerSecond: 1, MaxRecordBytes: 4}, func(ctx context.Context, clock *clockwork.FakeClock, _ *logstore.Store, log ports.Log) {
		_, err := log.Append(ctx, stream, []byte("12345"))
		Expect(err).To(MatchError(ports.ErrUnavailable))
		for range 2 {
			_, err = log.Append(ctx, stream, []byte("1"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = log.Append(ctx, stream, []byte("1"))
		Expect(err).To(MatchError(ports.ErrUnavailable))
		clock.Advance(time.Second)
		_, err = log.Append(ctx, stream, []byte("1"))
		Expect(err).NotTo(HaveOccurred())
	})

	itInProcessAndOverHTTP("completes a delayed append after its caller has given up", logstore.Options{}, func(ctx context.Context, clock *clockwork.FakeClock, s *logstore.Store, log ports.Log) {
		s.SetDelay(time.Second)
		short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		defer stop()
		_, err := log.Append(short, stream, []byte("late"))
		Expect(err).To(MatchError(ports.ErrUnknown))
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(time.Second)
		Eventually(s.Appends).Should(Equal(1))
	})

	It("returns ErrUnavailable from the client when no server listens", func(ctx SpecContext) {
		server := httptest.NewServer(nil)
		server.Close()
		_, err := ports.NewLogClient(server.URL, nil).Append(ctx, stream, nil)
		Expect(err).To(MatchError(ports.ErrUnavailable))
	}, NodeTimeout(10*time.Second))

	It("contains every acknowledged append and none that was refused", func(ctx SpecContext) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := logstore.New(clockwork.NewFakeClock(), logstore.Options{})
			acknowledged, unknown := 0, 0
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					s.SetDown(rapid.Bool().Draw(t, "down"))
				case 1:
					s.LoseAnswers(rapid.IntRange(0, 2).Draw(t, "answers"))
				case 2:
					s.LoseRequests(rapid.IntRange(0, 2).Draw(t, "requests"))
				default:
					_, err := s.Append(ctx, stream, []byte("r"))
					if err == nil {
						acknowledged++
					}
					if errors.Is(err, ports.ErrUnknown) {
						unknown++
					}
				}
			}
			s.SetDown(false)
			page, err := s.Read(ctx, stream, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(page.Records)).To(And(BeNumerically(">=", acknowledged), BeNumerically("<=", acknowledged+unknown)))
		})
	})
})

package logread_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/logread"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

var suite *testing.T

func TestLogread(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "logread")
}

func newPage(first, next ports.Offset, offsets ...ports.Offset) ports.Page {
	p := ports.Page{First: first, Next: next}
	for _, o := range offsets {
		p.Records = append(p.Records, ports.Record{Offset: o})
	}
	return p
}

var _ = Describe("Apply", func() {
	DescribeTable("applies the new records and detects missing ones",
		func(p ports.Page, want []ports.Offset, caughtUp, truncated bool) {
			var applied []ports.Offset
			reachedEnd, err := logread.Apply(p, 5, func(r ports.Record) { applied = append(applied, r.Offset) })
			Expect(applied).To(Equal(want))
			Expect(reachedEnd).To(Equal(caughtUp))
			Expect(errors.Is(err, ports.ErrTruncated)).To(Equal(truncated))
		},
		Entry("up to the end of the stream", newPage(0, 7, 5, 6), []ports.Offset{5, 6}, true, false),
		Entry("not up to the end of the stream", newPage(0, 9, 5, 6), []ports.Offset{5, 6}, false, false),
		Entry("no new record", newPage(0, 5), nil, true, false),
		Entry("records that were already applied", newPage(0, 6, 3, 4, 5), []ports.Offset{5}, true, false),
		Entry("missing records before the page", newPage(6, 8, 6, 7), nil, false, true),
		Entry("a stream that ends before the next offset", newPage(0, 4, 3), nil, false, true),
		Entry("missing records within the page", newPage(0, 8, 5, 7), []ports.Offset{5}, false, true),
	)
})

var _ = Describe("Follow", func() {
	It("backs off after failures and repeated truncations, and resets the backoff after a success", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			ctx, cancel := context.WithCancel(context.Background())
			unavailable := fmt.Errorf("read: %w", ports.ErrUnavailable)
			missing := ports.ErrTruncated
			results := []error{unavailable, unavailable, unavailable, unavailable, unavailable, missing, nil, unavailable, missing, missing, nil}
			var calls []time.Time
			truncations, successes := 0, 0
			s := logread.Stream{Clock: clockwork.NewRealClock(), Name: "s"}
			err := s.Follow(ctx, logread.Handlers{
				Step: func(context.Context) error {
					calls = append(calls, time.Now())
					if len(calls) > len(results) {
						cancel()
						return nil
					}
					return results[len(calls)-1]
				},
				OnTruncated: func(error) { truncations++ },
				OnRead: func(err error) {
					if err == nil {
						successes++
					}
				},
			})
			Expect(err).To(MatchError(context.Canceled))
			Expect(truncations).To(Equal(3))
			Expect(successes).To(Equal(2))
			Expect(calls[5].Sub(calls[4])).To(BeNumerically(">", calls[1].Sub(calls[0])))
			Expect(calls[6]).To(Equal(calls[5]))
			Expect(calls[9]).To(Equal(calls[8]), "the first truncation is followed by a step without a wait")
			Expect(calls[10]).To(BeTemporally(">", calls[9]))
			Expect(calls[8].Sub(calls[7])).To(BeNumerically("<=", 150*time.Millisecond))
		})
	})
})

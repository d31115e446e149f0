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

func page(first, next ports.Offset, offsets ...ports.Offset) ports.Page {
	p := ports.Page{First: first, Next: next}
	for _, o := range offsets {
		p.Records = append(p.Records, ports.Record{Offset: o})
	}
	return p
}

var _ = Describe("Apply", func() {
	DescribeTable("folds what follows and notices what is missing",
		func(p ports.Page, folded []ports.Offset, caughtUp, truncated bool) {
			var got []ports.Offset
			end, err := logread.Apply(p, 5, func(r ports.Record) { got = append(got, r.Offset) })
			Expect(got).To(Equal(folded))
			Expect(end).To(Equal(caughtUp))
			Expect(errors.Is(err, ports.ErrTruncated)).To(Equal(truncated))
		},
		Entry("to the end", page(0, 7, 5, 6), []ports.Offset{5, 6}, true, false),
		Entry("a part", page(0, 9, 5, 6), []ports.Offset{5, 6}, false, false),
		Entry("nothing new", page(0, 5), nil, true, false),
		Entry("records again", page(0, 6, 3, 4, 5), []ports.Offset{5}, true, false),
		Entry("records gone before", page(6, 8, 6, 7), nil, false, true),
		Entry("a stream that went back", page(0, 4, 3), nil, false, true),
		Entry("a gap", page(0, 8, 5, 7), []ports.Offset{5}, false, true),
	)
})

var _ = Describe("Follow", func() {
	It("waits longer after each failure, not after a truncation, and shorter after a success", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			ctx, cancel := context.WithCancel(context.Background())
			down := fmt.Errorf("read: %w", ports.ErrUnavailable)
			gone := ports.ErrTruncated
			ends := []error{down, down, down, down, down, gone, nil, down, gone, gone, nil}
			var steps []time.Time
			truncated, reached := 0, 0
			s := logread.Stream{Clock: clockwork.NewRealClock(), Name: "s"}
			err := s.Follow(ctx, logread.Handlers{
				Step: func(context.Context) error {
					steps = append(steps, time.Now())
					if len(steps) > len(ends) {
						cancel()
						return nil
					}
					return ends[len(steps)-1]
				},
				Truncated: func(error) { truncated++ },
				Reached: func(err error) {
					if err == nil {
						reached++
					}
				},
			})
			Expect(err).To(MatchError(context.Canceled))
			Expect(truncated).To(Equal(3))
			Expect(reached).To(Equal(2))
			Expect(steps[5].Sub(steps[4])).To(BeNumerically(">", steps[1].Sub(steps[0])))
			Expect(steps[6]).To(Equal(steps[5]))
			Expect(steps[9]).To(Equal(steps[8]), "the place is given up once without a wait")
			Expect(steps[10]).To(BeTemporally(">", steps[9]))
			Expect(steps[8].Sub(steps[7])).To(BeNumerically("<=", 150*time.Millisecond))
		})
	})
})

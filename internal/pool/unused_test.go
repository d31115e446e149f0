package pool

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/retry"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("The retry budget of a coordinator", func() {
	// slack is the whole budget, since no request is sent for the first time.
	const slack = 3
	var clock *clockwork.FakeClock
	var coordinator *Coordinator
	var id allocation.ID
	BeforeEach(func() {
		id = 0
		clock = clockwork.NewFakeClock()
		deployment := &view{config: fleet.NewConfig(1), targets: []fleet.Target{{ID: "t", Service: "s", Address: "t", Slots: 8}}}
		policy := Policy{Quota: quota.Bounds{Window: 8 * time.Second}, Retry: retry.Budget{Ratio: 0.1, Slack: slack, Window: 10 * time.Second}}
		whole := func() float64 { return 1 }
		coordinator = NewCoordinator(deployment, policy, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{Slowdowns: map[tables.TargetID]float64{"t": 1}})
	})
	// acquire gives up after a second, so that a mistake does not hang the suite.
	acquire := func(m slotRequestMessage) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := coordinator.Acquire(ctx, m)
		return err
	}
	newRetry := func() slotRequestMessage {
		id++
		return slotRequestMessage{ID: id, Host: "h", Service: "s", FirstByteBudgetMS: 400, Retry: true, Fingerprint: tables.Fingerprint(id)}
	}
	// search returns the slot request of a search for another target than the only one.
	search := func() slotRequestMessage {
		m := newRetry()
		m.FirstByteBudgetMS, m.Avoid = -600, []tables.TargetID{"t"}
		return m
	}
	release := func(o allocation.Outcome) {
		coordinator.Report(reportMessage{Releases: []releaseReport{{ID: id, Service: "s", Outcome: o}}})
	}
	// remaining uses up the budget and returns how many retries it allowed.
	remaining := func() int {
		for n := 0; ; n++ {
			if err := acquire(newRetry()); err != nil {
				Expect(errkind.Of(err)).To(Equal(errkind.RetryBudget))
				return n
			}
		}
	}

	It("is not used up by searches that are refused", func() {
		for range 20 {
			Expect(errkind.Of(acquire(search()))).To(Equal(errkind.Overloaded))
		}
		Expect(remaining()).To(Equal(slack))
	})

	It("is not used up by searches that are withdrawn", func() {
		withdrawn, cancel := context.WithCancel(context.Background())
		cancel()
		for range 20 {
			m := search()
			m.MaxWaitMS = 5000
			_, err := coordinator.Acquire(withdrawn, m)
			Expect(errkind.Of(err)).To(Equal(errkind.CancelledBeforeRun))
		}
		// The next pass need not wait for the timer of the withdrawn requests.
		clock.Advance(passInterval)
		Expect(remaining()).To(Equal(slack))
	})

	It("is not used up by slots that are given back unused", func() {
		for range 20 {
			Expect(acquire(newRetry())).To(Succeed())
			release(allocation.Unused)
		}
		Expect(remaining()).To(Equal(slack))
	})

	It("is used by retries that a target refused, lost or may have run", func() {
		for _, o := range []allocation.Outcome{allocation.NotRun, allocation.Abandoned, allocation.ConnectionLost} {
			Expect(acquire(newRetry())).To(Succeed())
			release(o)
		}
		Expect(remaining()).To(BeZero())
	})

	It("is returned once for a retry", func() {
		Expect(acquire(newRetry())).To(Succeed())
		Expect(acquire(newRetry())).To(Succeed())
		release(allocation.Unused)
		release(allocation.Unused)
		Expect(remaining()).To(Equal(slack - 1))
	})
})

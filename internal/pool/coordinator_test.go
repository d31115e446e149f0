package pool

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/retry"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

type view struct {
	config  *fleet.Config
	targets []fleet.Target
}

func (v *view) Config() *fleet.Config { return v.config }

func (v *view) Targets() []fleet.Target { return append([]fleet.Target(nil), v.targets...) }

var _ = Describe("Coordinator", func() {
	var clock *clockwork.FakeClock
	var coordinator *Coordinator
	var deployment *view
	share := 1.0
	BeforeEach(func() {
		share = 1
		clock = clockwork.NewFakeClock()
		config := fleet.NewConfig(1)
		config.AddCustomer(&fleet.Customer{Name: "c", Quota: fleet.Quota{TokensPerSecond: 10, Burst: 200}}, []string{"k"})
		deployment = &view{config: config}
		for _, id := range []tables.TargetID{"t1", "t2", "t3", "t4"} {
			deployment.targets = append(deployment.targets, fleet.Target{ID: id, Service: "s", Address: string(id), Domain: "d", Slots: 1})
		}
		policy := Policy{Quota: quota.Bounds{Window: 8 * time.Second}, Retry: retry.Budget{Ratio: 0.1, Slack: 2, Window: 10 * time.Second}}
		coordinator = NewCoordinator(deployment, policy, func() float64 { return 0 }, func() float64 { return share }, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		// The only host (HostCount is 1) reports that no tokens were used, so that
		// the usage before the takeover is fully known.
		coordinator.Reconcile(reconcileMessage{Host: "other", HostCount: 1, UsageWindowMS: 8000})
		clock.Advance(takeoverGrace)
	})
	acquire := func(id allocation.ID, change func(*slotRequestMessage)) (grantMessage, error) {
		m := slotRequestMessage{ID: id, Request: "r", Host: "h", Service: "s", FirstByteBudgetMS: 400, MaxWaitMS: 1000, Fingerprint: tables.Fingerprint(id)}
		if change != nil {
			change(&m)
		}
		return coordinator.Acquire(context.Background(), m)
	}
	release := func(id allocation.ID, o allocation.Outcome) {
		coordinator.Report(reportMessage{Releases: []releaseReport{{ID: id, Service: "s", Outcome: o}}})
	}

	It("grants a slot, and the next freed slot to a waiting request", func() {
		for id := allocation.ID(1); id <= 4; id++ {
			_, err := acquire(id, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		done := make(chan error, 1)
		go func() {
			_, err := acquire(5, nil)
			done <- err
		}()
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		release(1, allocation.Succeeded)
		clock.Advance(passInterval)
		Eventually(done).Should(Receive(BeNil()))
	})

	It("withdraws the slot request of a caller that disconnects while waiting", func() {
		for id := allocation.ID(1); id <= 4; id++ {
			_, err := acquire(id, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := coordinator.Acquire(ctx, slotRequestMessage{ID: 5, Service: "s", FirstByteBudgetMS: 400, MaxWaitMS: 1000})
		Expect(errkind.Of(err)).To(Equal(errkind.CancelledBeforeRun))
		Expect(coordinator.scheduler.Queued()).To(BeZero())
		Expect(coordinator.scheduler.InUse()).To(Equal(4))
	})

	It("refuses requests above the quota, and refunds those that did not run", func() {
		costly := func(m *slotRequestMessage) { m.Customer, m.QuotaTokens = "c", 100 }
		_, err := acquire(1, costly)
		Expect(err).NotTo(HaveOccurred())
		_, err = acquire(2, costly)
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
		Expect(errkind.ExplicitRetryAfterOf(err)).To(BeNumerically(">", 0))
		release(1, allocation.NotRun)
		_, err = acquire(3, costly)
		Expect(err).NotTo(HaveOccurred())
	})

	It("grants only its share of a quota", func() {
		share = 0.25
		_, err := acquire(1, func(m *slotRequestMessage) { m.Customer, m.QuotaTokens = "c", 25 })
		Expect(err).NotTo(HaveOccurred())
		_, err = acquire(2, func(m *slotRequestMessage) { m.Customer, m.QuotaTokens = "c", 25 })
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
	})

	It("counts the usage granted by the previous coordinator once", func() {
		// The quota of 10 tokens/s with a burst of 200 allows 280 tokens in the
		// window of 8 s.
		used := reconcileMessage{Host: "h", HostCount: 1, UsedTokens: map[tables.CustomerID]float64{"c": 225}, UsageWindowMS: 8000}
		coordinator.Reconcile(used)
		coordinator.Reconcile(used)
		_, err := acquire(1, func(m *slotRequestMessage) { m.Customer, m.QuotaTokens = "c", 60 })
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
		_, err = acquire(2, func(m *slotRequestMessage) { m.Customer, m.QuotaTokens = "c", 50 })
		Expect(err).NotTo(HaveOccurred())
	})

	It("waits after a takeover for a quota whose usage is not reported yet", func() {
		config := fleet.NewConfig(2)
		config.AddCustomer(&fleet.Customer{Name: "c", Quota: fleet.Quota{TokensPerSecond: 100, Burst: 100}}, []string{"k"})
		deployment.config = config
		policy := Policy{Quota: quota.Bounds{Window: 8 * time.Second}, Retry: retry.Budget{Slack: 1, Window: 10 * time.Second}}
		fresh := NewCoordinator(deployment, policy, func() float64 { return 0 }, func() float64 { return 1 }, func() int { return 1 }, clock, zap.NewNop())
		fresh.ReloadTargets(allocation.Estimates{})
		// Retry is set to check that the attempts during the wait do not use up the
		// retry budget, which is small.
		m := slotRequestMessage{ID: 1, Host: "h", Service: "s", Customer: "c", QuotaTokens: 10, FirstByteBudgetMS: 400, MaxWaitMS: 1000, Retry: true}
		done := make(chan error, 1)
		go func() {
			_, err := fresh.Acquire(context.Background(), m)
			done <- err
		}()
		Consistently(done, 20*time.Millisecond).ShouldNot(Receive())
		for range 200 {
			clock.Advance(reportRetryInterval)
			if len(done) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		Expect(done).To(Receive(BeNil()))
	})

	It("keeps retries within their budget", func() {
		retry := func(m *slotRequestMessage) { m.Retry = true }
		for id := allocation.ID(1); id <= 2; id++ {
			_, err := acquire(id, retry)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := acquire(3, retry)
		Expect(errkind.Of(err)).To(Equal(errkind.RetryBudget))
	})

	It("drops a grant and its charge when the reconcile message of its host omits the grant", func() {
		_, err := acquire(1, nil)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(2 * time.Second)
		coordinator.Reconcile(reconcileMessage{Host: "h", HostCount: 1})
		Expect(coordinator.scheduler.InUse()).To(BeZero())
		Expect(coordinator.charges).To(BeEmpty())
	})

	It("frees the slots of a host that disconnected", func() {
		_, err := acquire(1, nil)
		Expect(err).NotTo(HaveOccurred())
		coordinator.ReleaseHost("h")
		Expect(coordinator.scheduler.InUse()).To(BeZero())
	})
})

var _ = Describe("Client", func() {
	It("gives back a slot that was requested before a stall and requests another", func() {
		clock := clockwork.NewFakeClock()
		self := fleet.Host{ID: "h", Address: "127.0.0.1:1"}
		hosts := links.New(self, peer.NewPool(context.Background(), peer.Hello{Host: self.ID}, peer.NewMux(), clock), clock, zap.NewNop())
		hosts.SetHosts([]fleet.Host{self})
		deployment := &view{config: fleet.NewConfig(1), targets: []fleet.Target{{ID: "t", Service: "s", Address: "t", Slots: 4}}}
		whole := func() float64 { return 1 }
		coordinator := NewCoordinator(deployment, Policy{}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.NewNop())
		coordinator.ReloadTargets(allocation.Estimates{})
		client := NewClient(self, hosts, coordinator, coordinator, 1, time.Second, clock, zap.NewNop())
		checks := 0
		client.ResumedSince = func(time.Time) bool {
			checks++
			return checks == 1
		}
		grant, err := client.Acquire(context.Background(), SlotRequest{Service: "s", FirstByteBudget: time.Second, MaxWait: time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Target).To(Equal(tables.TargetID("t")))
		Expect(checks).To(Equal(2))
		Expect(coordinator.scheduler.InUse()).To(Equal(1))
	})
})

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
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/systems/repeat"
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

var _ = Describe("Home", func() {
	var clock *clockwork.FakeClock
	var home *Home
	var known *view
	share := 1.0
	BeforeEach(func() {
		share = 1
		clock = clockwork.NewFakeClock()
		config := fleet.NewConfig(1)
		config.AddCustomer(&fleet.Customer{Name: "c", Quota: fleet.Quota{TokensPerSecond: 10, Burst: 200}}, []string{"k"})
		known = &view{config: config}
		for _, id := range []tables.TargetID{"t1", "t2", "t3", "t4"} {
			known.targets = append(known.targets, fleet.Target{ID: id, Service: "s", Address: string(id), Domain: "d", Slots: 1})
		}
		policy := Policy{Quota: quota.Bounds{Window: 8 * time.Second}, Repeat: repeat.Budget{Ratio: 0.1, Slack: 2, Window: 10 * time.Second}}
		home = NewHome(known, policy, func() float64 { return 0 }, func() float64 { return share }, func() int { return 1 }, clock, zap.NewNop())
		home.Refresh(place.Learned{})
		// Every host tells that nothing was used before.
		home.Adopt(adoptMessage{Host: "other", Hosts: 1, OverMS: 8000})
		clock.Advance(settleTime)
	})
	ask := func(id place.ID, change func(*askMessage)) (grantMessage, error) {
		m := askMessage{ID: id, Request: "r", Host: "h", Service: "s", AimMS: 400, HoldMS: 1000, Content: tables.Fingerprint(id)}
		if change != nil {
			change(&m)
		}
		return home.Ask(context.Background(), m)
	}
	end := func(id place.ID, o place.Outcome) {
		home.Report(reportMessage{Ends: []endReport{{ID: id, Service: "s", Outcome: o}}})
	}

	It("gives a place, and the next one to whoever waits when it is freed", func() {
		for id := place.ID(1); id <= 4; id++ {
			_, err := ask(id, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		done := make(chan error, 1)
		go func() {
			_, err := ask(5, nil)
			done <- err
		}()
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		end(1, place.Good)
		clock.Advance(stepEvery)
		Eventually(done).Should(Receive(BeNil()))
	})

	It("frees the place of a caller who left while waiting", func() {
		for id := place.ID(1); id <= 4; id++ {
			_, err := ask(id, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := home.Ask(ctx, askMessage{ID: 5, Service: "s", AimMS: 400, HoldMS: 1000})
		Expect(errkind.Of(err)).To(Equal(errkind.CancelledBeforeRun))
		Expect(home.table.Waiting()).To(BeZero())
		Expect(home.table.InUse()).To(Equal(4))
	})

	It("refuses beyond the quota, and gives back what did not run", func() {
		costly := func(m *askMessage) { m.Customer, m.Tokens = "c", 100 }
		_, err := ask(1, costly)
		Expect(err).NotTo(HaveOccurred())
		_, err = ask(2, costly)
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
		Expect(errkind.AdviceOf(err)).To(BeNumerically(">", 0))
		end(1, place.NotRun)
		_, err = ask(3, costly)
		Expect(err).NotTo(HaveOccurred())
	})

	It("gives only its share of a quota", func() {
		share = 0.25
		_, err := ask(1, func(m *askMessage) { m.Customer, m.Tokens = "c", 25 })
		Expect(err).NotTo(HaveOccurred())
		_, err = ask(2, func(m *askMessage) { m.Customer, m.Tokens = "c", 25 })
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
	})

	It("counts what hosts used at the home before, once", func() {
		// A window of 8 s allows 280 tokens.
		used := adoptMessage{Host: "h", Hosts: 1, Tokens: map[tables.CustomerID]float64{"c": 225}, OverMS: 8000}
		home.Adopt(used)
		home.Adopt(used)
		_, err := ask(1, func(m *askMessage) { m.Customer, m.Tokens = "c", 60 })
		Expect(errkind.Of(err)).To(Equal(errkind.CustomerLimit))
		_, err = ask(2, func(m *askMessage) { m.Customer, m.Tokens = "c", 50 })
		Expect(err).NotTo(HaveOccurred())
	})

	It("waits for a quota that it may only not know yet, just after it took over", func() {
		config := fleet.NewConfig(2)
		config.AddCustomer(&fleet.Customer{Name: "c", Quota: fleet.Quota{TokensPerSecond: 100, Burst: 100}}, []string{"k"})
		known.config = config
		policy := Policy{Quota: quota.Bounds{Window: 8 * time.Second}, Repeat: repeat.Budget{Slack: 1, Window: 10 * time.Second}}
		fresh := NewHome(known, policy, func() float64 { return 0 }, func() float64 { return 1 }, func() int { return 1 }, clock, zap.NewNop())
		fresh.Refresh(place.Learned{})
		// A wait must not use up the budget of repeats.
		m := askMessage{ID: 1, Host: "h", Service: "s", Customer: "c", Tokens: 10, AimMS: 400, HoldMS: 1000, Repeat: true}
		done := make(chan error, 1)
		go func() {
			_, err := fresh.Ask(context.Background(), m)
			done <- err
		}()
		Consistently(done, 20*time.Millisecond).ShouldNot(Receive())
		for range 200 {
			clock.Advance(settlePause)
			if len(done) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		Expect(done).To(Receive(BeNil()))
	})

	It("keeps repeats within their budget", func() {
		again := func(m *askMessage) { m.Repeat = true }
		for id := place.ID(1); id <= 2; id++ {
			_, err := ask(id, again)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := ask(3, again)
		Expect(errkind.Of(err)).To(Equal(errkind.RepeatBudget))
	})

	It("refuses a content under which three targets broke off", func() {
		same := func(m *askMessage) { m.Content = 77 }
		for id := place.ID(1); id <= 3; id++ {
			_, err := ask(id, same)
			Expect(err).NotTo(HaveOccurred())
		}
		for id := place.ID(1); id <= 3; id++ {
			end(id, place.Broken)
		}
		_, err := ask(4, same)
		Expect(errkind.Of(err)).To(Equal(errkind.Quarantined))
		_, err = ask(5, nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("forgets what it knows of a grant whose end it never hears", func() {
		_, err := ask(1, nil)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(2 * time.Second)
		home.Adopt(adoptMessage{Host: "h", Hosts: 1})
		Expect(home.table.InUse()).To(BeZero())
		Expect(home.charged).To(BeEmpty())
	})

	It("frees the places of a host that is gone", func() {
		_, err := ask(1, nil)
		Expect(err).NotTo(HaveOccurred())
		home.Forget("h")
		Expect(home.table.InUse()).To(BeZero())
	})
})

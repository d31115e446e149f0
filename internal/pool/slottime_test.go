package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/systems/fairshare"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("Reports of slot time", func() {
	now := time.Unix(1_700_000_000, 0)
	held := func(customer string, since time.Duration) openGrant {
		return openGrant{Service: "s", Customer: tables.CustomerID(customer), Tier: 1, grantedAt: now.Add(-since)}
	}

	It("sum the slots released within the window and those still open, by customer", func() {
		var s slotTimes
		s.add(now.Add(-fairshare.Window), held("old", fairshare.Window+time.Second))
		s.add(now.Add(-time.Second), held("a", 1500*time.Millisecond))
		s.add(now, held("a", 200*time.Millisecond))
		s.add(now, held("", time.Second))
		open := map[allocation.ID]openGrant{1: held("b", 300*time.Millisecond), 2: held("a", 100*time.Millisecond), 3: held("", time.Second)}
		Expect(s.reports(now, open)).To(Equal([]slotTimeReport{{"s", "a", 1, 800}, {"s", "b", 1, 300}}))
	})
	It("stay within 1 KB for 580 customers", func() {
		var s slotTimes
		for i := range 580 {
			s.add(now, held(fmt.Sprintf("customer-%04d", i), time.Duration(i+1)*time.Millisecond))
		}
		reports := s.reports(now, nil)
		Expect(reports).To(HaveLen(maxSlotTimeReports))
		Expect(reports[0].Customer).To(BeEquivalentTo("customer-0579"))
		encoded, err := json.Marshal(reconcileMessage{SlotTime: reports})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(encoded)).To(BeNumerically("<", 1024))
	})
	It("are left out of the message if there are none, as by the build before", func() {
		var s slotTimes
		encoded, err := json.Marshal(reconcileMessage{SlotTime: s.reports(now, nil), Open: []openGrant{{ID: 1, grantedAt: now}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(encoded)).NotTo(ContainSubstring("slot_time"))
		Expect(string(encoded)).NotTo(ContainSubstring("\"k\""))
	})
})

var _ = Describe("Fair shares of a coordinator", func() {
	const slots = 10
	var clock *clockwork.FakeClock
	var coordinator *Coordinator
	var logs *observer.ObservedLogs
	var refused chan Refusal
	var nextID allocation.ID
	fairShares := true
	BeforeEach(func() { fairShares = true })
	JustBeforeEach(func() {
		clock = clockwork.NewFakeClock()
		nextID = 0
		core, observed := observer.New(zapcore.InfoLevel)
		logs = observed
		deployment := &view{config: fleet.NewConfig(1), targets: []fleet.Target{{ID: "t", Service: "s", Address: "t", Slots: slots}}}
		whole := func() float64 { return 1 }
		coordinator = NewCoordinator(deployment, Policy{FairShares: fairShares}, func() float64 { return 0 }, whole, func() int { return 1 }, clock, zap.New(core))
		refusals := make(chan Refusal, 1000)
		coordinator.OnRefusal = func(r Refusal) { refusals <- r }
		refused = refusals
		coordinator.ReloadTargets(allocation.Estimates{Slowdowns: map[tables.TargetID]float64{"t": 1}})
	})
	// request asks for a slot and passes the error, nil for a grant, to the result. A request
	// may wait beyond the end of its test, so it must not use variables that the next one sets.
	request := func(customer tables.CustomerID, urgency int) chan error {
		nextID++
		m := slotRequestMessage{ID: nextID, Host: "h", Service: "s", Customer: customer, Urgency: urgency, FirstByteBudgetMS: 60_000, MaxWaitMS: 1000}
		done, c := make(chan error, 1), coordinator
		go func() {
			_, err := c.Acquire(context.Background(), m)
			done <- err
		}()
		Eventually(func() bool {
			coordinator.mu.Lock()
			defer coordinator.mu.Unlock()
			return coordinator.waiting[m.ID] != nil || coordinator.scheduler.TargetOf(m.ID) != ""
		}).Should(BeTrue())
		return done
	}
	advance := func(d time.Duration) {
		for range d / passInterval {
			clock.Advance(passInterval)
			coordinator.schedule()
		}
	}
	// surge fills the target with requests of the customer "big", which is reported to have
	// used much, and queues more of them.
	surge := func() {
		coordinator.Reconcile(reconcileMessage{Host: "h", HostCount: 1, SlotTime: []slotTimeReport{{"s", "big", 0, 60_000}}})
		for range 10 * slots {
			request("big", 0)
		}
	}

	It("begin with the slot time that hosts report", func() {
		surge()
		small := request("small", 9)
		advance(200 * time.Millisecond)
		coordinator.Report(reportMessage{Releases: []releaseReport{{ID: 1, Service: "s"}, {ID: 2, Service: "s"}, {ID: 3, Service: "s"}}})
		advance(20 * time.Millisecond)
		Eventually(small).Should(Receive(BeNil()))
		Expect(logs.FilterMessage(event.ShortageChanged.Message).Len()).To(Equal(1))
	})
	It("say which refusals are surplus, and whose", func() {
		surge()
		request("small", 9)
		advance(1200 * time.Millisecond)
		// Each request reports its refusal in a goroutine of its own, in no order.
		refusals := make(map[Refusal]int)
		for range 9*slots + 1 {
			var r Refusal
			Eventually(refused).Should(Receive(&r))
			refusals[r]++
		}
		Expect(refusals).To(Equal(map[Refusal]int{
			{Service: "s", Customer: "big", Reason: allocation.TooLate, Surplus: true}: 9 * slots,
			{Service: "s", Customer: "small", Reason: allocation.TooLate}:              1,
		}))
		Consistently(refused, 20*time.Millisecond).ShouldNot(Receive())
		Eventually(func() int {
			return logs.FilterMessage(event.SlotRefused.Message).FilterField(zap.Bool("surplus", true)).FilterField(zap.String("customer", "big")).Len()
		}).Should(BeNumerically(">", 0))
	})
	When("they are switched off", func() {
		BeforeEach(func() { fairShares = false })

		It("do not change the order", func() {
			surge()
			small := request("small", 9)
			advance(200 * time.Millisecond)
			coordinator.Report(reportMessage{Releases: []releaseReport{{ID: 1, Service: "s"}, {ID: 2, Service: "s"}, {ID: 3, Service: "s"}}})
			advance(20 * time.Millisecond)
			Consistently(small, 50*time.Millisecond).ShouldNot(Receive())
			Expect(logs.FilterMessage(event.ShortageChanged.Message).Len()).To(Equal(0))
		})
	})
})

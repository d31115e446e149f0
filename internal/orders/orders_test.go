package orders_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// betweenTicks sleeps so that what follows falls between two looks of the
// controllers, and the next look sees all of it.
func betweenTicks(d time.Duration) { time.Sleep(d + 500*time.Millisecond) }

var _ = Describe("Controller", func() {
	It("orders every engine under one lease for each failure domain", func() {
		inWorld(1, []string{"a1x", "a2", "b1"}, func(w *world) {
			time.Sleep(2 * time.Minute)
			w.settled()
			order, taken := w.engines["a2"].read()
			Expect(order.Models).To(Equal([]string{"m"}))
			Expect(order.Adapters).To(Equal([]string{"a"}))
			Expect(w.holder("orders/a")).NotTo(BeNil())
			Expect(w.permits).To(Equal(3))
			time.Sleep(10 * time.Minute)
			_, later := w.engines["a2"].read()
			Expect(later).To(HaveLen(len(taken)), "nothing is ordered twice without need")
		})
	})
	It("loads no more engines at once than the limit", func() {
		inWorld(1, []string{"a1", "a2", "a3", "b1", "b2"}, func(w *world) {
			for range 600 {
				time.Sleep(200 * time.Millisecond)
				loading := 0
				for _, e := range w.engines {
					if s, _ := e.State(context.Background()); s.Loading {
						loading++
					}
				}
				Expect(loading).To(BeNumerically("<=", 1))
			}
			time.Sleep(5 * time.Minute)
			w.settled()
		})
	})
	DescribeTable("repairs what a holder sends that was paused past its lease", func(changed bool) {
		inWorld(1, []string{"a1x", "a2"}, func(w *world) {
			time.Sleep(2 * time.Minute)
			old := w.holder("orders/a")
			resume := old.stallOrders()
			w.publish()
			time.Sleep(15 * time.Second)
			wake := old.pause()
			time.Sleep(time.Minute)
			if changed {
				w.publish()
			}
			time.Sleep(time.Minute)
			Expect(w.holder("orders/a")).NotTo(BeIdenticalTo(old))
			w.settled()
			resume()
			wake()
			time.Sleep(20 * time.Second)
			w.settled()
		})
	}, Entry("with the state of then", true), Entry("with the state of now", false))
	It("sends nothing when it wakes after its lease while it reads an engine", func() {
		inWorld(1, []string{"a1x", "a2"}, func(w *world) {
			w.withoutWeights()
			betweenTicks(2 * time.Minute)
			old := w.holder("orders/a")
			resume := old.stallReads()
			w.publish()
			time.Sleep(5 * time.Second)
			wake := old.pause()
			time.Sleep(2 * time.Minute)
			w.settled()
			resume()
			time.Sleep(100 * time.Millisecond)
			wake()
			time.Sleep(time.Minute)
			w.settled()
		})
	})
	It("sends nothing that was planned under an earlier lease", func() {
		inWorld(1, []string{"a1"}, func(w *world) {
			w.withoutWeights()
			betweenTicks(2 * time.Minute)
			old := w.holder("orders/a")
			resume := old.stallReads()
			w.publish()
			time.Sleep(15 * time.Second)
			for _, h := range w.hosts {
				h.isolate(true)
			}
			time.Sleep(30 * time.Second)
			w.publish()
			old.isolate(false)
			time.Sleep(time.Minute)
			Expect(w.holder("orders/a")).To(BeIdenticalTo(old))
			for _, h := range w.hosts {
				h.isolate(false)
			}
			resume()
			time.Sleep(time.Minute)
			w.settled()
			_, taken := w.engines["a1"].read()
			last := taken[len(taken)-1]
			for _, o := range taken {
				if o.Fence == last.Fence {
					Expect(o.Version).To(Equal(last.Version))
				}
			}
		})
	})
	DescribeTable("hands a lease over when its holder stops, also amid a renewal", func(delay time.Duration) {
		inWorld(1, []string{"a1"}, func(w *world) {
			time.Sleep(2 * time.Minute)
			w.log.SetDelay(delay)
			for range 8 {
				time.Sleep(30*time.Second + time.Duration(w.rand.IntN(3000))*time.Millisecond)
				old := w.holder("orders/a")
				old.end()
				time.Sleep(14 * time.Second)
				Expect(w.holder("orders/a")).NotTo(Or(BeNil(), BeIdenticalTo(old)))
				old.start()
			}
		})
	}, Entry("fast log", time.Duration(0)), Entry("slow log", 300*time.Millisecond))
	It("stops within 5 s while the log is silent", func() {
		inWorld(1, []string{"a1"}, func(w *world) {
			time.Sleep(2 * time.Minute)
			h := w.holder("orders/a")
			w.log.SetDelay(30 * time.Second)
			began := time.Now()
			h.end()
			Expect(time.Since(began)).To(BeNumerically("<=", 5*time.Second))
			w.log.SetDelay(0)
			h.start()
		})
	})
	It("sends nothing while the log is down", func() {
		inWorld(1, []string{"a1"}, func(w *world) {
			time.Sleep(2 * time.Minute)
			w.log.SetDown(true)
			time.Sleep(20 * time.Second)
			w.publish()
			_, before := w.engines["a1"].read()
			time.Sleep(20 * time.Minute)
			Expect(w.holder("orders/a")).To(BeNil())
			_, after := w.engines["a1"].read()
			Expect(after).To(HaveLen(len(before)))
			w.log.SetDown(false)
			time.Sleep(2 * time.Minute)
			w.settled()
		})
	})
	It("ends with the current holder's state under random faults, seeds 0 to 7", func() {
		eachSeed(8, func(seed uint64) {
			inWorld(seed, []string{"a1x", "a2", "b1x", "b2"}, func(w *world) {
				end := time.Now().Add(2 * time.Hour)
				for time.Now().Before(end) {
					w.fault()
				}
				time.Sleep(5 * time.Minute)
				w.settled()
			})
		})
	})
})

package orders_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// betweenTicks sleeps for d plus half a second. The following actions then happen
// between two ticks of the controllers, and the next tick sees all of them.
func betweenTicks(d time.Duration) { time.Sleep(d + 500*time.Millisecond) }

var _ = Describe("Controller", func() {
	It("sends orders to every engine under one lease per failure domain", func() {
		runCluster(1, []string{"a1x", "a2", "b1"}, func(cl *cluster) {
			time.Sleep(2 * time.Minute)
			cl.expectConverged()
			order, accepted := cl.engines["a2"].orders()
			Expect(order.Models).To(Equal([]string{"m"}))
			Expect(order.Adapters).To(Equal([]string{"a"}))
			Expect(cl.holder("orders/a")).NotTo(BeNil())
			Expect(cl.permitsGranted).To(Equal(3))
			time.Sleep(10 * time.Minute)
			_, later := cl.engines["a2"].orders()
			Expect(later).To(HaveLen(len(accepted)), "no order is repeated")
		})
	})
	It("loads no more engines concurrently than the limit", func() {
		runCluster(1, []string{"a1", "a2", "a3", "b1", "b2"}, func(cl *cluster) {
			for range 600 {
				time.Sleep(200 * time.Millisecond)
				loading := 0
				for _, e := range cl.engines {
					if s, _ := e.State(context.Background()); s.Loading {
						loading++
					}
				}
				Expect(loading).To(BeNumerically("<=", 1))
			}
			time.Sleep(5 * time.Minute)
			cl.expectConverged()
		})
	})
	DescribeTable("corrects an engine after an order of a previous holder that was paused until its lease expired", func(changed bool) {
		runCluster(1, []string{"a1x", "a2"}, func(cl *cluster) {
			time.Sleep(2 * time.Minute)
			old := cl.holder("orders/a")
			resume := old.stallOrders()
			cl.publish()
			time.Sleep(15 * time.Second)
			wake := old.pause()
			time.Sleep(time.Minute)
			if changed {
				cl.publish()
			}
			time.Sleep(time.Minute)
			Expect(cl.holder("orders/a")).NotTo(BeIdenticalTo(old))
			cl.expectConverged()
			resume()
			wake()
			time.Sleep(20 * time.Second)
			cl.expectConverged()
		})
	}, Entry("the order differs from the current one", true), Entry("the order equals the current one", false))
	It("sends no order after being paused past its lease during a read of an engine", func() {
		runCluster(1, []string{"a1x", "a2"}, func(cl *cluster) {
			cl.restartWithoutWeights()
			betweenTicks(2 * time.Minute)
			old := cl.holder("orders/a")
			resume := old.stallReads()
			cl.publish()
			time.Sleep(5 * time.Second)
			wake := old.pause()
			time.Sleep(2 * time.Minute)
			cl.expectConverged()
			resume()
			time.Sleep(100 * time.Millisecond)
			wake()
			time.Sleep(time.Minute)
			cl.expectConverged()
		})
	})
	It("sends no order that was planned under an earlier lease", func() {
		runCluster(1, []string{"a1"}, func(cl *cluster) {
			cl.restartWithoutWeights()
			betweenTicks(2 * time.Minute)
			old := cl.holder("orders/a")
			resume := old.stallReads()
			cl.publish()
			time.Sleep(15 * time.Second)
			for _, h := range cl.hosts {
				h.isolate(true)
			}
			time.Sleep(30 * time.Second)
			cl.publish()
			old.isolate(false)
			time.Sleep(time.Minute)
			Expect(cl.holder("orders/a")).To(BeIdenticalTo(old))
			for _, h := range cl.hosts {
				h.isolate(false)
			}
			resume()
			time.Sleep(time.Minute)
			cl.expectConverged()
			_, accepted := cl.engines["a1"].orders()
			last := accepted[len(accepted)-1]
			for _, o := range accepted {
				if o.Fence == last.Fence {
					Expect(o.Version).To(Equal(last.Version))
				}
			}
		})
	})
	DescribeTable("hands over a lease when its holder stops, even during a renewal", func(delay time.Duration) {
		runCluster(1, []string{"a1"}, func(cl *cluster) {
			time.Sleep(2 * time.Minute)
			cl.log.SetDelay(delay)
			for range 8 {
				time.Sleep(30*time.Second + time.Duration(cl.rand.IntN(3000))*time.Millisecond)
				old := cl.holder("orders/a")
				old.stop()
				time.Sleep(14 * time.Second)
				Expect(cl.holder("orders/a")).NotTo(Or(BeNil(), BeIdenticalTo(old)))
				old.start()
			}
		})
	}, Entry("fast log", time.Duration(0)), Entry("slow log", 300*time.Millisecond))
	It("stops within 5 s while the log does not respond", func() {
		runCluster(1, []string{"a1"}, func(cl *cluster) {
			time.Sleep(2 * time.Minute)
			h := cl.holder("orders/a")
			cl.log.SetDelay(30 * time.Second)
			began := time.Now()
			h.stop()
			Expect(time.Since(began)).To(BeNumerically("<=", 5*time.Second))
			cl.log.SetDelay(0)
			h.start()
		})
	})
	It("sends no orders while the log is down", func() {
		runCluster(1, []string{"a1"}, func(cl *cluster) {
			time.Sleep(2 * time.Minute)
			cl.log.SetDown(true)
			time.Sleep(20 * time.Second)
			cl.publish()
			_, before := cl.engines["a1"].orders()
			time.Sleep(20 * time.Minute)
			Expect(cl.holder("orders/a")).To(BeNil())
			_, after := cl.engines["a1"].orders()
			Expect(after).To(HaveLen(len(before)))
			cl.log.SetDown(false)
			time.Sleep(2 * time.Minute)
			cl.expectConverged()
		})
	})
	It("converges to the current holder's orders after random faults, seeds 0 to 7", func() {
		forEachSeed(8, func(seed uint64) {
			runCluster(seed, []string{"a1x", "a2", "b1x", "b2"}, func(cl *cluster) {
				end := time.Now().Add(2 * time.Hour)
				for time.Now().Before(end) {
					cl.injectFault()
				}
				time.Sleep(5 * time.Minute)
				cl.expectConverged()
			})
		})
	})
})

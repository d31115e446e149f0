package feed_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/systems/membership"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// maxTargetCloseTime is the maximum time from marking a target as leaving in the
// host list to its closing in the gate.
const maxTargetCloseTime = 2 * time.Second

// expectTargetCloses marks target t1 as leaving in the host list and checks that
// the gate closes it within maxTargetCloseTime.
func (s *site) expectTargetCloses() {
	s.list.MarkTarget("t1", tables.HostLeaving)
	time.Sleep(maxTargetCloseTime)
	ExpectWithOffset(1, s.gate.members.TargetState("t1")).To(Equal(tables.HostLeaving))
}

// startBoth starts the dispatcher and the gate and waits until they are in sync.
func (s *site) startBoth() {
	s.startDispatcher()
	s.startGate()
	time.Sleep(10 * time.Second)
}

var _ = Describe("A gate with a feed from its dispatcher", func() {
	It("reads neither the host list nor the log, and applies changes without delay", onSite(func(s *site) {
		s.startBoth()
		list, log := s.readCount("gate list"), s.readCount("gate log")
		time.Sleep(time.Minute)
		for i := range config.Version(50) {
			// Publishes two versions, 1 ms apart, every 1971 ms. As the list is
			// read once per second, each pair comes 29 ms earlier in that second
			// than the pair before, so that the 50 pairs cover the whole second.
			s.publish(2 * i)
			time.Sleep(time.Millisecond)
			s.publish(2*i + 1)
			time.Sleep(1970 * time.Millisecond)
			Expect(s.gate.version()).To(Equal(2*i + 2))
		}
		s.expectTargetCloses()
		Expect(s.gate.members.Live()).To(HaveLen(1))
		Expect(s.gate.members.State("h1")).To(Equal(membership.Live))
		Expect(s.readCount("gate list")).To(Equal(list))
		Expect(s.readCount("gate log")).To(Equal(log))
	}))
	DescribeTable("falls back to its own reads while the feed is down, and returns to the feed",
		func(fail, repair func(s *site)) {
			for seed := range uint64(20) {
				onSite(func(s *site) {
					s.startBoth()
					s.publish(0)
					random := rand.New(rand.NewPCG(seed, 1))
					time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
					fail(s)
					time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
					s.publish(1)
					s.expectTargetCloses()
					time.Sleep(8 * time.Second)
					Expect(s.gate.version()).To(BeEquivalentTo(2), "seed %d", seed)
					repair(s)
					time.Sleep(20 * time.Second)
					list, log := s.readCount("gate list"), s.readCount("gate log")
					s.publish(2)
					s.list.MarkTarget("t1", tables.HostLive)
					time.Sleep(10 * time.Second)
					Expect(s.gate.version()).To(BeEquivalentTo(3))
					Expect(s.gate.members.TargetState("t1")).To(Equal(tables.HostLive))
					Expect(s.readCount("gate list")).To(Equal(list))
					Expect(s.readCount("gate log")).To(Equal(log))
					Expect(s.gate.versionNeverDecreased()).To(BeTrue())
				})()
			}
		},
		Entry("dispatcher is stopped", func(s *site) {
			s.dispatcherProcess.stop()
			s.locked(func() { s.dispatcherReach = refused })
		}, func(s *site) {
			s.startDispatcher()
			s.locked(func() { s.dispatcherReach = reachable })
		}),
		Entry("dispatcher does not respond", func(s *site) { s.locked(func() { s.dispatcherReach = unresponsive }) },
			func(s *site) { s.locked(func() { s.dispatcherReach = reachable }) }),
		Entry("dispatcher refuses connections", func(s *site) { s.locked(func() { s.dispatcherReach = refused }) },
			func(s *site) { s.locked(func() { s.dispatcherReach = reachable }) }),
		Entry("dispatcher responds late", func(s *site) { s.locked(func() { s.responseDelay = 30 * time.Second }) },
			func(s *site) { s.locked(func() { s.responseDelay = 0 }) }),
		Entry("dispatcher cannot reach the platform", func(s *site) { s.locked(func() { s.platformReach["dispatcher"] = refused }) },
			func(s *site) { s.locked(func() { delete(s.platformReach, "dispatcher") }) }),
	)
	It("starts without a dispatcher", onSite(func(s *site) {
		s.startGate()
		s.publish(0)
		time.Sleep(2 * time.Second)
		Expect(s.gate.version()).To(BeEquivalentTo(1))
		Expect(s.gate.members.Ready()).To(BeTrue())
		s.expectTargetCloses()
	}))
	It("keeps its version when the dispatcher restarts without access to the log", onSite(func(s *site) {
		s.startBoth()
		for base := range config.Version(3) {
			s.publish(base)
		}
		time.Sleep(time.Second)
		s.dispatcherProcess.stop()
		s.locked(func() { s.platformReach["dispatcher"] = refused })
		s.startDispatcher()
		time.Sleep(20 * time.Second)
		s.publish(3)
		time.Sleep(2 * time.Second)
		Expect(s.gate.version()).To(BeEquivalentTo(4))
		Expect(s.gate.versionNeverDecreased()).To(BeTrue())
	}))
	It("fetches the configuration from its dispatcher if the log is down from the start", onSite(func(s *site) {
		s.startDispatcher()
		s.publish(0)
		time.Sleep(5 * time.Second)
		s.log.SetDown(true)
		s.startGate()
		time.Sleep(10 * time.Second)
		Expect(s.gate.version()).To(BeEquivalentTo(1))
		Expect(s.gate.follower.LogReachable()).To(BeFalse())
		s.log.SetDown(false)
		s.publish(1)
		time.Sleep(5 * time.Second)
		Expect(s.gate.version()).To(BeEquivalentTo(2))
	}))
	It("does not reopen a target for a feed listing that is older than its own", onSite(func(s *site) {
		s.startBoth()
		s.locked(func() { s.platformReach["dispatcher"] = refused })
		s.expectTargetCloses()
		s.locked(func() { s.platformReach["dispatcher"], s.platformReach["gate"] = reachable, refused })
		time.Sleep(10 * time.Second)
		Expect(s.gate.members.TargetState("t1")).To(Equal(tables.HostLeaving))
	}))
	It("lowers the host's LowestConfigVersion while it does not apply updates, and is listed in UnreportedRoles while it does not poll", onSite(func(s *site) {
		s.startDispatcher()
		s.publish(0)
		time.Sleep(5 * time.Second)
		Expect(s.dispatcherProcess.members.OwnHeartbeat().UnreportedRoles).To(Equal([]string{"gate"}))
		s.startGate()
		time.Sleep(10 * time.Second)
		Expect(s.dispatcherProcess.members.OwnHeartbeat().UnreportedRoles).To(BeEmpty())
		Expect(s.dispatcherProcess.members.OwnHeartbeat().LowestConfigVersion).To(BeEquivalentTo(1))
		s.gate.stopFollower()
		time.Sleep(time.Second)
		s.publish(1)
		time.Sleep(10 * time.Second)
		Expect(s.dispatcherProcess.members.OwnHeartbeat().ConfigVersion).To(BeEquivalentTo(2))
		Expect(s.dispatcherProcess.members.OwnHeartbeat().LowestConfigVersion).To(BeEquivalentTo(1))
		Expect(s.dispatcherProcess.members.OwnHeartbeat().UnreportedRoles).To(BeEmpty())
		s.gate.stop()
		time.Sleep(5 * time.Second)
		Expect(s.dispatcherProcess.members.OwnHeartbeat().UnreportedRoles).To(Equal([]string{"gate"}))
	}))
	It("never decreases its version and closes a target in time after random faults", func() {
		for seed := range uint64(30) {
			onSite(func(s *site) { s.runRandomFaults(seed) })()
		}
	})
})

// runRandomFaults injects independent faults of the dispatcher, the platform and
// the network. After recovery it checks that the gate's version never decreased
// and that gate and dispatcher are up to date.
func (s *site) runRandomFaults(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	s.startBoth()
	version := config.Version(0)
	for range 40 {
		reaches := []reachability{reachable, reachable, refused, unresponsive}
		s.locked(func() {
			s.dispatcherReach = reaches[r.IntN(len(reaches))]
			s.platformReach["dispatcher"] = reaches[r.IntN(len(reaches))]
			s.platformReach["gate"] = reaches[r.IntN(len(reaches))]
			s.responseDelay = time.Duration(r.IntN(2)) * time.Duration(r.Int64N(int64(3*time.Second)))
		})
		if r.IntN(8) == 0 {
			s.dispatcherProcess.stop()
			s.startDispatcher()
		}
		if r.IntN(3) == 0 {
			s.publish(version)
			version++
		}
		time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
	}
	s.locked(func() { s.dispatcherReach, s.responseDelay, s.platformReach = reachable, 0, map[string]reachability{} })
	time.Sleep(20 * time.Second)
	Expect(s.gate.version()).To(Equal(version), "seed %d", seed)
	Expect(s.gate.versionNeverDecreased()).To(BeTrue(), "seed %d", seed)
	Expect(s.gate.members.Live()).To(HaveLen(1))
	Expect(s.gate.client.Fresh()).To(BeTrue(), "seed %d", seed)
	Expect(s.dispatcherProcess.members.OwnHeartbeat().LowestConfigVersion).To(BeEquivalentTo(version))
	s.expectTargetCloses()
}

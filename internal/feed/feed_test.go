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

// closeBound is the promised time from the list to a closed target.
const closeBound = 2 * time.Second

// closes checks that the gate closes the target in time.
func (s *site) closes() {
	s.list.MarkTarget("t1", tables.HostLeaving)
	time.Sleep(closeBound)
	ExpectWithOffset(1, s.gate.members.TargetState("t1")).To(Equal(tables.HostLeaving))
}

func (s *site) startBoth() {
	s.startDispatcher()
	s.startGate()
	time.Sleep(10 * time.Second)
}

var _ = Describe("A fed gate", func() {
	It("reads neither list nor log, and has news with the dispatcher", onSite(func(s *site) {
		s.startBoth()
		list, log := s.count("gate list"), s.count("gate log")
		time.Sleep(time.Minute)
		for i := range config.Version(50) {
			// News comes in pairs, at every moment between two reads of the list.
			s.publish(2 * i)
			time.Sleep(time.Millisecond)
			s.publish(2*i + 1)
			time.Sleep(1970 * time.Millisecond)
			Expect(s.gate.version()).To(Equal(2*i + 2))
		}
		s.closes()
		Expect(s.gate.members.Live()).To(HaveLen(1))
		Expect(s.gate.members.State("h1")).To(Equal(membership.Live))
		Expect(s.count("gate list")).To(Equal(list))
		Expect(s.count("gate log")).To(Equal(log))
	}))
	DescribeTable("reads for itself while the dispatcher does not feed it, and is fed again",
		func(fail, mend func(s *site)) {
			for seed := range uint64(20) {
				onSite(func(s *site) {
					s.startBoth()
					s.publish(0)
					random := rand.New(rand.NewPCG(seed, 1))
					time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
					fail(s)
					time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
					s.publish(1)
					s.closes()
					time.Sleep(8 * time.Second)
					Expect(s.gate.version()).To(BeEquivalentTo(2), "seed %d", seed)
					mend(s)
					time.Sleep(20 * time.Second)
					list, log := s.count("gate list"), s.count("gate log")
					s.publish(2)
					s.list.MarkTarget("t1", tables.HostLive)
					time.Sleep(10 * time.Second)
					Expect(s.gate.version()).To(BeEquivalentTo(3))
					Expect(s.gate.members.TargetState("t1")).To(Equal(tables.HostLive))
					Expect(s.count("gate list")).To(Equal(list))
					Expect(s.count("gate log")).To(Equal(log))
					Expect(s.gate.rising()).To(BeTrue())
				})()
			}
		},
		Entry("dead", func(s *site) {
			s.feeder.stop()
			s.set(func() { s.dispatcher = refused })
		}, func(s *site) {
			s.startDispatcher()
			s.set(func() { s.dispatcher = whole })
		}),
		Entry("silent", func(s *site) { s.set(func() { s.dispatcher = silent }) },
			func(s *site) { s.set(func() { s.dispatcher = whole }) }),
		Entry("cut off from the gate", func(s *site) { s.set(func() { s.dispatcher = refused }) },
			func(s *site) { s.set(func() { s.dispatcher = whole }) }),
		Entry("late with its answers", func(s *site) { s.set(func() { s.late = 30 * time.Second }) },
			func(s *site) { s.set(func() { s.late = 0 }) }),
		Entry("cut off from the platform", func(s *site) { s.set(func() { s.platform["dispatcher"] = refused }) },
			func(s *site) { s.set(func() { delete(s.platform, "dispatcher") }) }),
	)
	It("starts without a dispatcher", onSite(func(s *site) {
		s.startGate()
		s.publish(0)
		time.Sleep(2 * time.Second)
		Expect(s.gate.version()).To(BeEquivalentTo(1))
		Expect(s.gate.members.Ready()).To(BeTrue())
		s.closes()
	}))
	It("keeps its version when the dispatcher comes back without the log", onSite(func(s *site) {
		s.startBoth()
		for base := range config.Version(3) {
			s.publish(base)
		}
		time.Sleep(time.Second)
		s.feeder.stop()
		s.set(func() { s.platform["dispatcher"] = refused })
		s.startDispatcher()
		time.Sleep(20 * time.Second)
		s.publish(3)
		time.Sleep(2 * time.Second)
		Expect(s.gate.version()).To(BeEquivalentTo(4))
		Expect(s.gate.rising()).To(BeTrue())
	}))
	It("takes the version from its dispatcher while the log is down from the start", onSite(func(s *site) {
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
	It("reopens no target for a listing that lags behind its own", onSite(func(s *site) {
		s.startBoth()
		s.set(func() { s.platform["dispatcher"] = refused })
		s.closes()
		s.set(func() { s.platform["dispatcher"], s.platform["gate"] = whole, refused })
		time.Sleep(10 * time.Second)
		Expect(s.gate.members.TargetState("t1")).To(Equal(tables.HostLeaving))
	}))
	It("holds the version of its host's heartbeat down while it does not follow, and is named while it is not heard", onSite(func(s *site) {
		s.startDispatcher()
		s.publish(0)
		time.Sleep(5 * time.Second)
		Expect(s.feeder.members.Own().Unheard).To(Equal([]string{"gate"}))
		s.startGate()
		time.Sleep(10 * time.Second)
		Expect(s.feeder.members.Own().Unheard).To(BeEmpty())
		Expect(s.feeder.members.Own().LowestVersion).To(BeEquivalentTo(1))
		s.gate.stall()
		time.Sleep(time.Second)
		s.publish(1)
		time.Sleep(10 * time.Second)
		Expect(s.feeder.members.Own().ConfigVersion).To(BeEquivalentTo(2))
		Expect(s.feeder.members.Own().LowestVersion).To(BeEquivalentTo(1))
		Expect(s.feeder.members.Own().Unheard).To(BeEmpty())
		s.gate.stop()
		time.Sleep(5 * time.Second)
		Expect(s.feeder.members.Own().Unheard).To(Equal([]string{"gate"}))
	}))
	It("never falls back in version or reopens a target through random faults", func() {
		for seed := range uint64(30) {
			onSite(func(s *site) { s.random(seed) })()
		}
	})
})

// random lets every part fail by itself, and checks what must hold throughout
// and after quiet.
func (s *site) random(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	s.startBoth()
	version := config.Version(0)
	for range 40 {
		ways := []reach{whole, whole, refused, silent}
		s.set(func() {
			s.dispatcher = ways[r.IntN(len(ways))]
			s.platform["dispatcher"] = ways[r.IntN(len(ways))]
			s.platform["gate"] = ways[r.IntN(len(ways))]
			s.late = time.Duration(r.IntN(2)) * time.Duration(r.Int64N(int64(3*time.Second)))
		})
		if r.IntN(8) == 0 {
			s.feeder.stop()
			s.startDispatcher()
		}
		if r.IntN(3) == 0 {
			s.publish(version)
			version++
		}
		time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
	}
	s.set(func() { s.dispatcher, s.late, s.platform = whole, 0, map[string]reach{} })
	time.Sleep(20 * time.Second)
	Expect(s.gate.version()).To(Equal(version), "seed %d", seed)
	Expect(s.gate.rising()).To(BeTrue(), "seed %d", seed)
	Expect(s.gate.members.Live()).To(HaveLen(1))
	Expect(s.gate.client.Fed()).To(BeTrue(), "seed %d", seed)
	Expect(s.feeder.members.Own().LowestVersion).To(BeEquivalentTo(version))
	s.closes()
}

package pool

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("Origins", func() {
	var clock *clockwork.FakeClock
	var o *Origins
	var sent chan origin.Batch
	targets := func(versions ...tables.SoftwareVersion) []fleet.Target {
		var out []fleet.Target
		for _, v := range versions {
			out = append(out, fleet.Target{ID: tables.TargetID("t-" + v), Service: "s", Version: v})
		}
		return out
	}
	resumed := func(request string) slotRequestMessage {
		return slotRequestMessage{Service: "s", Request: "r", Resumable: true, Resumed: true, FirstAttempt: request}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		batches := make(chan origin.Batch, 10)
		sent = batches
		o = NewOrigins(clock)
		o.Send = func(b origin.Batch) { batches <- b }
	})

	It("send nothing while a service has one version, and all that they know once it has two", func() {
		o.Observe(nil, targets("v1"))
		o.begin(origin.StreamIDOf("a"), "v1", "")
		clock.Advance(time.Second)
		Consistently(sent, 50*time.Millisecond).ShouldNot(Receive())
		o.Observe(nil, targets("v1", "v2"))
		clock.Advance(originDelay)
		var batch origin.Batch
		Eventually(sent).Should(Receive(&batch))
		Expect(batch).To(HaveKey(tables.SoftwareVersion("v1")))
		other := NewOrigins(clock)
		other.Observe(nil, targets("v1", "v2"))
		other.Merge(batch)
		Expect(other.constraint(resumed("a"), clock.Now())).To(Equal(origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}))
	})

	It("send the streams of a service with two versions in batches, each once", func() {
		o.Observe(nil, targets("v1", "v2"))
		clock.Advance(originDelay)
		for _, request := range []string{"a", "b", "c"} {
			o.begin(origin.StreamIDOf(request), "v2", "")
		}
		clock.Advance(originDelay)
		var batch origin.Batch
		Eventually(sent).Should(Receive(&batch))
		Expect(batch.Len()).To(Equal(3))
		o.begin(origin.StreamIDOf("d"), "v1", "")
		clock.Advance(originDelay)
		Eventually(sent).Should(Receive(&batch))
		Expect(batch.Len()).To(Equal(1))
	})

	It("refuse a stream that nobody knows while a second version may have begun it", func() {
		o.Observe(nil, targets("v1"))
		Expect(o.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.AnyVersion))
		o.Import(map[tables.ServiceID][]tables.SoftwareVersion{"s": {"v0", "v1"}})
		Expect(o.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.Unknown))
		clock.Advance(versionWindow + time.Millisecond)
		Expect(o.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.AnyVersion))
		o.ReadSince = func(time.Time) bool { return false }
		Expect(o.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.Unknown))
	})

	It("count a version of the store's record once, not at each further read of the record", func() {
		record := map[tables.ServiceID][]tables.SoftwareVersion{"s": {"v0", "v1"}}
		o.Observe(nil, targets("v1"))
		o.Import(record)
		clock.Advance(versionWindow / 2)
		o.Import(record)
		clock.Advance(versionWindow/2 + time.Millisecond)
		Expect(o.Versions()).To(Equal(map[tables.ServiceID][]tables.SoftwareVersion{"s": {"v1"}}))
	})

	It("keep a stream for a while after its end, which its caller may not have got", func() {
		o.Observe(nil, targets("v1", "v2"))
		o.begin(origin.StreamIDOf("a"), "v2", "")
		o.end(origin.StreamIDOf("a"))
		clock.Advance(endedOriginLifetime - time.Millisecond)
		o.begin(origin.StreamIDOf("b"), "v1", "")
		Expect(o.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.OnlyVersion))
		clock.Advance(time.Millisecond)
		o.begin(origin.StreamIDOf("c"), "v1", "")
		Expect(o.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.Unknown))
	})

	It("do not join a stream by what a host has heard otherwise", func() {
		o.Observe(nil, targets("v1", "v2"))
		o.begin(origin.StreamIDOf("a"), "v2", "")
		v1 := tables.SoftwareVersion("v1")
		m := resumed("a")
		m.Heard = &v1
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.Unknown))
		m = resumed("b")
		m.Heard = &v1
		Expect(o.constraint(m, clock.Now())).To(Equal(origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}))
	})

	// Guards against a stream of two versions whose host has ended before the entry of the later start
	// that began it arrived.
	It("contradict a stream that a later start of its target may have begun", func() {
		start := clock.Now().Add(-10 * time.Second)
		o.Observe(nil, []fleet.Target{{ID: "t", Service: "s", Version: "v1", StartedAt: start}})
		o.begin(origin.StreamIDOf("before"), "v1", "t")
		clock.Advance(time.Second)
		restart := clock.Now()
		clock.Advance(time.Second)
		o.begin(origin.StreamIDOf("after"), "v1", "t")
		o.begin(origin.StreamIDOf("elsewhere"), "v1", "u")
		o.Observe(nil, []fleet.Target{{ID: "t", Service: "s", Version: "v2", StartedAt: restart}})
		o.begin(origin.StreamIDOf("late"), "v1", "t")
		for request, kind := range map[string]origin.Kind{"before": origin.OnlyVersion, "after": origin.Unknown, "elsewhere": origin.OnlyVersion, "late": origin.Unknown} {
			Expect(o.constraint(resumed(request), clock.Now()).Kind).To(Equal(kind), request)
		}
	})

	// Guards against streams that are kept for ever by a host that is never the coordinator.
	It("forget the streams that this host has relayed and that have ended", func() {
		for _, request := range []string{"a", "b"} {
			o.learn(origin.StreamIDOf(request), "v1")
			o.end(origin.StreamIDOf(request))
			clock.Advance(endedOriginLifetime)
		}
		o.learn(origin.StreamIDOf("c"), "v1")
		Expect(o.ended).To(BeEmpty())
		Expect(o.lookup(origin.StreamIDOf("b")).Known).To(BeFalse())
	})

	It("tell other hosts of a stream that was contradicted with both versions", func() {
		o.Observe(nil, targets("v1", "v2"))
		clock.Advance(originDelay)
		o.begin(origin.StreamIDOf("a"), "v1", "")
		clock.Advance(originDelay)
		var first, second origin.Batch
		Eventually(sent).Should(Receive(&first))
		stored, next := o.BegunSince(0)
		o.begin(origin.StreamIDOf("a"), "v2", "")
		clock.Advance(originDelay)
		Eventually(sent).Should(Receive(&second))
		other := NewOrigins(clock)
		other.Observe(nil, targets("v1", "v2"))
		other.Merge(first)
		Expect(other.constraint(resumed("a"), clock.Now())).To(Equal(origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}))
		other.Merge(second)
		Expect(other.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.Unknown))
		later := NewOrigins(clock)
		later.Observe(nil, targets("v1", "v2"))
		later.Merge(stored)
		stored, _ = o.BegunSince(next)
		later.Merge(stored)
		Expect(later.constraint(resumed("a"), clock.Now()).Kind).To(Equal(origin.Unknown))
	})

	// Guards against a stream of two versions at a coordinator that knows of both, asked by a host
	// that has heard of one.
	It("do not join a stream of which they know two versions by what a host has heard", func() {
		o.Observe(nil, targets("v1", "v2"))
		o.begin(origin.StreamIDOf("a"), "v1", "")
		batch := make(origin.Batch)
		batch.Add(origin.StreamIDOf("a"), "v2")
		o.Merge(batch)
		v1 := tables.SoftwareVersion("v1")
		m := resumed("a")
		m.Heard = &v1
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.Unknown))
	})

	// Guards against a stream of two versions at a coordinator that has heard of the first grant
	// only, asked by a host that has heard of a later one.
	It("refuse what they and the host that asks have heard differently", func() {
		o.Observe(nil, targets("v1", "v2"))
		batch := make(origin.Batch)
		batch.Add(origin.StreamIDOf("a"), "v1")
		o.Merge(batch)
		v2 := tables.SoftwareVersion("v2")
		m := resumed("a")
		m.Heard = &v2
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.Unknown))
		m.Heard, m.Disputed = nil, true
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.Unknown))
	})

	// Guards against a stream of two versions at a coordinator that was stopped while the stream began.
	It("do not put what they have recorded above what hosts have heard", func() {
		o.Observe(nil, targets("v1", "v2"))
		o.begin(origin.StreamIDOf("a"), "v1", "")
		v2 := tables.SoftwareVersion("v2")
		m := resumed("a")
		m.Heard = &v2
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.Unknown))
	})

	It("refuse what a host of the build before and the coordinator know differently", func() {
		o.Observe(nil, targets("v1", "v2"))
		o.begin(origin.StreamIDOf("a"), "v2", "")
		v1, v2 := tables.SoftwareVersion("v1"), tables.SoftwareVersion("v2")
		m := resumed("a")
		m.Version = &v1
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.Unknown))
		m.Version = &v2
		Expect(o.constraint(m, clock.Now())).To(Equal(origin.Constraint{Kind: origin.OnlyVersion, Version: "v2"}))
	})

	It("bind a request by what its host has relayed, and bind no new stream", func() {
		o.Observe(nil, targets("v1", "v2"))
		o.begin(origin.StreamIDOf("a"), "v2", "")
		v1 := tables.SoftwareVersion("v1")
		m := resumed("a")
		m.Version, m.Relayed = &v1, true
		Expect(o.constraint(m, clock.Now())).To(Equal(origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}))
		m.Resumed = false
		Expect(o.constraint(m, clock.Now()).Kind).To(Equal(origin.AnyVersion))
	})
})

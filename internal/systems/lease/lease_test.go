package lease_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var start = time.Unix(10000, 0)

// stream is the content of a lease stream; the index of a record is its offset.
type stream []ports.Record

func (s *stream) add(at time.Time, r lease.Record) ports.Record {
	if r.ID == "" {
		r.ID = fmt.Sprint("r", len(*s))
	}
	data, err := r.Encode()
	Expect(err).NotTo(HaveOccurred())
	rec := ports.Record{Offset: ports.Offset(len(*s)), Time: at, Data: data}
	*s = append(*s, rec)
	return rec
}

func record(kind lease.Kind, holder tables.HostID, after, fence ports.Offset) lease.Record {
	return lease.Record{Kind: kind, Name: "l", Holder: holder, Predecessor: after, Fence: fence, PredecessorTime: start}
}

// inForce describes the lease of a table; "none" if there is none or it is void at
// now.
func inForce(t *lease.Table, now time.Time) string {
	l, known := t.Get("l")
	if !known || now.Sub(l.ReadAt) >= lease.VoidAfter {
		return "none"
	}
	return fmt.Sprint(l.Fence, l.Last, l.Holder, l.Released)
}

var _ = Describe("Table", func() {
	It("grants a lease to the first of two competing hosts", func() {
		var s stream
		t := lease.NewTable(0)
		Expect(t.Apply(start, s.add(start, record(lease.Acquire, "a", lease.None, 0))).Accepted).To(BeTrue())
		Expect(t.Apply(start, s.add(start, record(lease.Acquire, "b", lease.None, 0))).Accepted).To(BeFalse())
		l, _ := t.Get("l")
		Expect(l.Holder).To(BeEquivalentTo("a"))
		Expect(l.Fence).To(BeZero())
	})
	It("rejects an acquisition whose writer has not read the latest renewal", func() {
		var s stream
		t := lease.NewTable(0)
		t.Apply(start, s.add(start, record(lease.Acquire, "a", lease.None, 0)))
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "a", 0, 0))).Accepted).To(BeTrue())
		Expect(t.Apply(start, s.add(start, record(lease.Acquire, "b", 0, 0))).Accepted).To(BeFalse())
		Expect(t.Apply(start, s.add(start, record(lease.Acquire, "b", 1, 0))).Accepted).To(BeTrue())
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "a", 1, 0))).Accepted).To(BeFalse())
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "a", 3, 0))).Accepted).To(BeFalse(), "the fencing number belongs to b")
		l, _ := t.Get("l")
		Expect(l.Fence).To(BeEquivalentTo(3))
	})
	It("frees a lease after the TTL without a record, or when it is released", func() {
		var s stream
		t := lease.NewTable(0)
		t.Apply(start, s.add(start, record(lease.Acquire, "a", lease.None, 0)))
		Expect(t.Free(start.Add(lease.TTL-time.Second), "l")).To(BeFalse())
		Expect(t.Free(start.Add(lease.TTL), "l")).To(BeTrue())
		after, _ := t.Predecessor("l")
		Expect(after).To(BeZero())
		t.Apply(start, s.add(start, record(lease.Release, "a", 0, 0)))
		Expect(t.Free(start, "l")).To(BeTrue())
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "a", 1, 0))).Accepted).To(BeFalse())
	})
	It("ends the hold before another host may acquire the lease and send orders", func() {
		var s stream
		t := lease.NewTable(0)
		began := start.Add(-time.Second)
		rec := s.add(start, record(lease.Acquire, "a", lease.None, 0))
		h := lease.NewHold(start, began, rec.Offset, t.Apply(start, rec))
		Expect(h.MayOrder(start)).To(BeFalse(), "orders of an unknown previous holder may be in flight")
		Expect(h.Renewed(start).MayOrder(h.From)).To(BeTrue())
		Expect(h.Held(began.Add(lease.HolderTTL))).To(BeFalse())
		Expect(h.MayOrder(h.Until.Add(-lease.OrderTimeout))).To(BeFalse())
		renewed := h.Renewed(began.Add(5 * time.Second))
		Expect(renewed.Until).To(Equal(h.Until.Add(5 * time.Second)))
		Expect(renewed.Renewed(began).Until).To(Equal(renewed.Until), "an older renewal does not shorten the hold")
		Expect(lease.HolderTTL + lease.OrderTimeout).To(BeNumerically("<", lease.TTL))
	})
	It("ignores malformed records", func() {
		t := lease.NewTable(0)
		for i, data := range []string{`{`, `{}`, `{"name":"l"}`, `{"name":"l","id":"x","kind":"steal"}`} {
			step := t.Apply(start, ports.Record{Offset: ports.Offset(i), Data: []byte(data)})
			Expect(step.Accepted).To(BeFalse())
		}
		_, known := t.Get("l")
		Expect(known).To(BeFalse())
	})
	It("recovers a lease whose first records were truncated, but no stale or void one", func() {
		var s stream
		for i := range 5 {
			s.add(start, lease.Record{Name: "other", Kind: lease.Acquire, Predecessor: ports.Offset(i)})
		}
		t := lease.NewTable(5)
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "a", 3, 1))).Accepted).To(BeTrue())
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "b", 2, 0))).Accepted).To(BeFalse())
		Expect(t.Apply(start, s.add(start, record(lease.Renew, "a", 5, 1))).Accepted).To(BeTrue())
		l, _ := t.Get("l")
		Expect([]any{l.Fence, l.Holder}).To(Equal([]any{ports.Offset(1), tables.HostID("a")}))
		truncated := lease.NewTable(5)
		at := start.Add(lease.VoidAfter)
		Expect(truncated.Apply(at, s.add(at, record(lease.Renew, "a", 3, 1))).Accepted).To(BeFalse())
	})
	It("lets any host acquire a void lease", func() {
		var s stream
		t := lease.NewTable(0)
		t.Apply(start, s.add(start, record(lease.Acquire, "a", lease.None, 0)))
		at := start.Add(lease.VoidAfter)
		Expect(t.Apply(at, s.add(at, record(lease.Renew, "a", 0, 0))).Accepted).To(BeFalse())
		Expect(t.Apply(at, s.add(at, record(lease.Acquire, "b", lease.None, 0))).Accepted).To(BeTrue())
	})
	It("finds the same lease from every starting offset that is old enough", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			g := NewWithT(rt)
			var s stream
			full := lease.NewTable(0)
			now := start
			gaps := rapid.SampledFrom([][]int{{1, 5, 20, 60, 130}, {1, 5, 20, 60}}).Draw(rt, "gaps")
			var read []lease.Lease
			for range rapid.IntRange(20, 150).Draw(rt, "records") {
				now = now.Add(time.Duration(rapid.SampledFrom(gaps).Draw(rt, "gap")) * time.Second)
				r := drawRecord(rt, read)
				if step := full.Apply(now, s.add(now, r)); step.Accepted {
					l, _ := full.Get("l")
					read = append(read, l)
				}
			}
			first := rapid.IntRange(0, len(s)-1).Draw(rt, "first")
			truncated := lease.NewTable(ports.Offset(first))
			for _, rec := range s[first:] {
				truncated.Apply(rec.Time, rec)
			}
			if now.Sub(s[first].Time) >= lease.WarmUpPeriod {
				g.Expect(inForce(truncated, now)).To(Equal(inForce(full, now)))
			}
		})
	})
})

// drawRecord returns a record of a host that has read all records accepted so
// far, or all but the latest.
func drawRecord(rt *rapid.T, read []lease.Lease) lease.Record {
	host := rapid.SampledFrom([]tables.HostID{"a", "b"}).Draw(rt, "host")
	lag := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(rt, "lag")
	if len(read) <= lag {
		return record(lease.Acquire, host, lease.None, 0)
	}
	known := read[len(read)-1-lag]
	kind := rapid.SampledFrom([]lease.Kind{lease.Renew, lease.Renew, lease.Renew, lease.Acquire, lease.Release}).Draw(rt, "kind")
	if known.Released {
		kind = lease.Acquire
	}
	r := record(kind, known.Holder, known.Last, known.Fence)
	if kind == lease.Acquire {
		r.Holder = host
	}
	r.PredecessorTime = known.ReadAt
	return r
}

var _ = Describe("Reports", func() {
	report := func(name string, fence ports.Offset, rate float64) lease.Record {
		return lease.Record{Kind: lease.Report, Name: name, Fence: fence, Demand: map[tables.ServiceID]float64{"s": rate}}
	}
	sum := func(t *lease.Table) float64 {
		rates, _ := t.Demand()
		return rates["s"]
	}
	It("sum the latest report of the highest fencing number of each failure domain, and expire", func() {
		var s stream
		t := lease.NewTable(0)
		_, known := t.Demand()
		Expect(known).To(BeFalse())
		old := record(lease.Acquire, "a", lease.None, 0)
		old.Name, old.Demand = "orders/a", map[tables.ServiceID]float64{"s": 100}
		t.Apply(start, s.add(start, old))
		Expect(sum(t)).To(BeEquivalentTo(100), "the demand in a record of the former shared stream is used")
		t.Apply(start, s.add(start, report("orders/a", lease.MinDomainFence+7, 5)))
		t.Apply(start, s.add(start, report("orders/b", lease.MinDomainFence, 2)))
		t.Apply(start, s.add(start, report("orders/a", lease.MinDomainFence+6, 50)))
		Expect(sum(t)).To(BeEquivalentTo(7), "a report of an earlier holder is ignored")
		at := start.Add(lease.ReportVoidAfter)
		t.Apply(at, s.add(at, report("orders/b", lease.MinDomainFence, 3)))
		Expect(sum(t)).To(BeEquivalentTo(3))
		_, held := t.Get("orders/b")
		Expect(held).To(BeFalse(), "a report does not create a lease")
	})
})

package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/quarantine"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine system")
}

var (
	start       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits      = quarantine.Limits{SuspectFor: 10 * time.Minute, QuarantineFor: time.Hour}
	testSuspect = quarantine.Suspect{Fingerprint: 7, Customer: "c", Service: "s"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

var _ = Describe("Table", func() {
	var t *quarantine.Table
	crash := func(d time.Duration, id tables.TargetID) {
		t.RecordCrash(at(d), id, []quarantine.Suspect{testSuspect})
	}
	BeforeEach(func() { t = quarantine.NewTable(limits) })

	It("allows a fingerprint only alone after one crash and refuses it after two", func() {
		Expect(t.Check(at(0), 7)).To(Equal(quarantine.Allowed))
		crash(0, "a")
		Expect(t.Check(at(time.Minute), 7)).To(Equal(quarantine.Alone))
		crash(time.Minute, "b")
		Expect(t.Check(at(time.Minute), 7)).To(Equal(quarantine.Refused))
		Expect(t.Refused(at(time.Minute))).To(HaveLen(1))
		Expect(t.Check(at(time.Minute), 8)).To(Equal(quarantine.Allowed))
	})
	It("counts several reports of one crash once", func() {
		crash(0, "a")
		crash(time.Second, "a")
		Expect(t.Check(at(time.Minute), 7)).To(Equal(quarantine.Alone))
	})
	It("counts crashes of one target with different requests in close succession", func() {
		other := testSuspect
		other.Request = "r2"
		crash(0, "a")
		t.RecordCrash(at(300*time.Millisecond), "a", []quarantine.Suspect{other})
		Expect(t.Check(at(time.Second), 7)).To(Equal(quarantine.Refused))
	})
	It("expires suspicion and quarantine after their durations", func() {
		crash(0, "a")
		Expect(t.Check(at(limits.SuspectFor), 7)).To(Equal(quarantine.Allowed))
		crash(time.Minute, "b")
		Expect(t.Check(at(limits.SuspectFor), 7)).To(Equal(quarantine.Refused))
		Expect(t.Check(at(time.Minute+limits.QuarantineFor), 7)).To(Equal(quarantine.Allowed))
		Expect(t.Tick(at(time.Minute + limits.QuarantineFor))).To(HaveLen(1))
		Expect(t.All()).To(BeEmpty())
	})
	It("ignores late reports of crashes before a release", func() {
		crash(0, "a")
		crash(time.Minute, "b")
		old := t.All()
		_, err := t.Release(at(2*time.Minute), 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Merge(at(3*time.Minute), old)).To(BeEmpty())
		Expect(t.Check(at(3*time.Minute), 7)).To(Equal(quarantine.Allowed))
		crash(4*time.Minute, "c")
		Expect(t.Check(at(4*time.Minute), 7)).To(Equal(quarantine.Alone))
	})
	It("returns UnknownQuarantine for an unknown fingerprint", func() {
		_, err := t.Release(start, 7)
		Expect(errkind.Of(err)).To(Equal(errkind.UnknownQuarantine))
	})
})

func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(30 * time.Minute)
		var reports [][]peer.QuarantineEntry
		for i := range rapid.IntRange(2, 6).Draw(t, "reports") {
			source := quarantine.NewTable(limits)
			for range rapid.IntRange(1, 3).Draw(t, "crashes") {
				id := rapid.SampledFrom([]tables.TargetID{"a", "b", "c"}).Draw(t, "target")
				suspect := testSuspect
				suspect.Request = rapid.SampledFrom([]tables.RequestID{"r1", "r2", "r3"}).Draw(t, "request")
				source.RecordCrash(at(time.Duration(rapid.IntRange(0, 1500).Draw(t, "second"))*time.Second), id, []quarantine.Suspect{suspect})
			}
			if rapid.Bool().Draw(t, "released") {
				_, _ = source.Release(at(time.Duration(i)*time.Minute), 7)
			}
			reports = append(reports, source.All())
		}
		first, second := quarantine.NewTable(limits), quarantine.NewTable(limits)
		for _, r := range reports {
			first.Merge(now, r)
		}
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			second.Merge(now, r)
			second.Merge(now, r)
		}
		if first.Check(now, 7) != second.Check(now, 7) {
			t.Fatalf("%v became %v in one order and %v in another", reports, first.All(), second.All())
		}
	})
}

package links

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

var _ = Describe("candidates", func() {
	var ranked []fleet.Host
	for i := range 40 {
		ranked = append(ranked, fleet.Host{ID: tables.HostID(fmt.Sprintf("h-%02d", i))})
	}
	unreachable := func(count int) func(tables.HostID) bool {
		return func(id tables.HostID) bool { return id < ranked[count].ID }
	}

	It("are the first hosts while they are reachable", func() {
		Expect(candidates(ranked, unreachable(0))).To(HaveLen(MaxLinks))
	})

	It("reach beyond hosts that were lost for good, which keep their rank", func() {
		got := candidates(ranked, unreachable(5))
		Expect(got).To(HaveLen(5 + MaxLinks))
		Expect(got[0]).To(Equal(ranked[0]))
	})

	It("reach the last host, whatever the number of lost ones", func() {
		Expect(candidates(ranked, unreachable(39))).To(HaveLen(40))
		Expect(candidates(ranked[:2], unreachable(0))).To(HaveLen(2))
	})
})

var _ = Describe("peerLink", func() {
	now := time.Unix(1_700_000_000, 0)

	It("is tried again after a growing delay with jitter", func() {
		link := &peerLink{downSince: now}
		var delays []time.Duration
		at := now
		for range 5 {
			Expect(link.mayDial(at)).To(BeTrue())
			link.beginDial(at, 0)
			link.dialing = false
			delays = append(delays, link.redialAt.Sub(at))
			at = link.redialAt
		}
		Expect(delays).To(Equal([]time.Duration{minRedialDelay, 2 * minRedialDelay, maxRedialDelay, maxRedialDelay, maxRedialDelay}))
		link.beginDial(at, 0.999)
		Expect(link.redialAt.Sub(at)).To(BeNumerically("~", maxRedialDelay/2, 10*time.Millisecond))
	})

	It("stays open for a while once it is no longer needed", func() {
		link := &peerLink{}
		Expect(link.retire(now)).To(BeFalse())
		Expect(link.mayDial(now)).To(BeFalse())
		Expect(link.retire(now.Add(retireDelay))).To(BeTrue())
	})
})

package origin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func listed(v ...tables.SoftwareVersion) []fleet.Target {
	var out []fleet.Target
	for _, version := range v {
		out = append(out, fleet.Target{Service: "s", Version: version})
	}
	return out
}

var _ = Describe("The versions seen", func() {
	var s *origin.Seen
	BeforeEach(func() { s = origin.NewSeen(time.Second) })

	It("are those of the last list, sorted, for each service", func() {
		Expect(s.Versions(at(0), "s")).To(BeEmpty())
		targets := listed("v2", "v1", "v2", "")
		targets[0].Leaving = true
		s.Observe(at(0), append(targets, fleet.Target{Service: "other", Version: "v7"}))
		Expect(s.Versions(at(0), "s")).To(Equal(versions("", "v1", "v2")))
		Expect(s.Versions(at(60_000), "s")).To(Equal(versions("", "v1", "v2")))
		Expect(s.Versions(at(0), "other")).To(Equal(versions("v7")))
	})

	It("include those that were listed within the window", func() {
		s.Observe(at(0), listed("v1", "v2"))
		// v1 was listed until the next list came.
		s.Observe(at(5000), listed("v2"))
		Expect(s.Versions(at(6000), "s")).To(Equal(versions("v1", "v2")))
		Expect(s.Versions(at(6001), "s")).To(Equal(versions("v2")))
		s.Observe(at(5500), listed("v2"))
		Expect(s.Versions(at(6001), "s")).To(Equal(versions("v2")))
		s.Observe(at(9000), nil)
		Expect(s.Versions(at(10_000), "s")).To(Equal(versions("v2")))
		Expect(s.Versions(at(10_001), "s")).To(BeEmpty())
	})

	It("include those of the store's record for a window", func() {
		s.Observe(at(0), listed("v2"))
		s.Import(at(500), "s", versions("v1", "v2"))
		Expect(s.Versions(at(1500), "s")).To(Equal(versions("v1", "v2")))
		Expect(s.Versions(at(1501), "s")).To(Equal(versions("v2")))
		Expect(s.Services()).To(ConsistOf(tables.ServiceID("s")))
	})
})

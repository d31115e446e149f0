//go:build knownred

package bench

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These bounds are the stated targets at twice the capacity. Those that are not
// met are listed in KNOWN-RED.txt; `make known-red` runs them.
var _ = Describe("targets at twice the capacity", func() {
	const (
		load   = 2.0
		seed   = 1
		length = 150 * time.Second
	)
	run := func(profile, policy string) Result {
		r, err := Run(profile, policy, load, seed, length)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	for _, profile := range []string{"workshop", "grants"} {
		It("puts nine tenths of the capacity to use on "+profile, func() {
			Expect(run(profile, "bluebellseam").Work).To(BeNumerically(">=", 0.9))
		})
	}
	It("wastes at most a third of the prefill of least-outstanding on grants", func() {
		ours, theirs := run("grants", "bluebellseam"), run("grants", "least-outstanding")
		Expect(ours.WastedShare()).To(BeNumerically("<=", theirs.WastedShare()/3))
	})
})

package soak

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

var _ = Describe("The random plan", func() {
	planFor := func(seed uint64) []step {
		r := &run{opts: Options{Duration: time.Minute, Hosts: 13, Engines: 12, Plains: 3, Seed: seed}, h: &harness.Harness{}}
		return r.randomPlan()
	}
	names := func(steps []step) []string {
		var out []string
		for _, s := range steps {
			out = append(out, s.name)
		}
		return out
	}
	It("is the same for the same seed and differs between seeds", func() {
		Expect(names(planFor(1))).To(Equal(names(planFor(1))))
		Expect(names(planFor(1))).NotTo(Equal(names(planFor(2))))
	})
	It("starts one fault at some times and two at others", func() {
		at := make(map[float64]int)
		for _, s := range planFor(1) {
			at[s.startShare]++
		}
		Expect(at).To(ContainElement(1))
		Expect(at).To(ContainElement(2))
	})
	It("uses every kind of fault within 40 seeds", func() {
		used := make(map[string]bool)
		for seed := range uint64(40) {
			for _, s := range planFor(seed) {
				for _, kind := range faultKinds {
					if strings.HasPrefix(s.name, kind.name) {
						used[kind.name] = true
					}
				}
			}
		}
		for _, kind := range faultKinds {
			Expect(used).To(HaveKey(kind.name))
		}
	})
})

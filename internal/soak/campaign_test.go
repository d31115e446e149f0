package soak

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

var _ = Describe("the random plan", func() {
	draw := func(seed uint64) []step {
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
	It("is fixed by its seed", func() {
		Expect(names(draw(1))).To(Equal(names(draw(1))))
		Expect(names(draw(1))).NotTo(Equal(names(draw(2))))
	})
	It("has moments with one fault and moments with two", func() {
		at := make(map[float64]int)
		for _, s := range draw(1) {
			at[s.at]++
		}
		Expect(at).To(ContainElement(1))
		Expect(at).To(ContainElement(2))
	})
	It("draws every kind within some seeds", func() {
		drawn := make(map[string]bool)
		for seed := range uint64(40) {
			for _, s := range draw(seed) {
				for _, kind := range faultKinds {
					if strings.HasPrefix(s.name, kind.name) {
						drawn[kind.name] = true
					}
				}
			}
		}
		for _, kind := range faultKinds {
			Expect(drawn).To(HaveKey(kind.name))
		}
	})
})

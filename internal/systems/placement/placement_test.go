package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/systems/placement"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.Unix(0, 0)

func engines(n, maxModels, models int) []placement.Engine {
	var out []placement.Engine
	for i := range n {
		e := placement.Engine{ID: tables.TargetID(fmt.Sprint("e", i)), MaxModels: maxModels}
		for m := range models {
			e.Services = append(e.Services, placement.Service{ID: tables.ServiceID(fmt.Sprint("s", m)), Model: fmt.Sprint("m", m), Adapter: fmt.Sprint("a", m)})
		}
		out = append(out, e)
	}
	return out
}

// enginesPerModel runs a Tick and returns the number of engines that hold each
// model.
func enginesPerModel(p *placement.Plan, now time.Time, in placement.Input) map[string]int {
	out := map[string]int{}
	for _, o := range p.Tick(now, in) {
		for _, m := range o.Models {
			out[m]++
		}
	}
	return out
}

var _ = Describe("Plan", func() {
	It("assigns all models and adapters of the services to an engine without a model limit", func() {
		p := placement.NewPlan()
		in := placement.Input{Engines: engines(1, 0, 3)}
		in.Engines[0].Version = "v2"
		o := p.Tick(start, in)["e0"]
		Expect(o.Models).To(Equal([]string{"m0", "m1", "m2"}))
		Expect(o.Adapters).To(Equal([]string{"a0", "a1", "a2"}))
		Expect(o.Version).To(Equal("v2"))
		Expect(o.Role).To(Equal(placement.DefaultRole))
	})
	It("makes a swap after a sustained difference in demand and leaves a model its last engine", func() {
		p := placement.NewPlan()
		in := placement.Input{Engines: engines(4, 1, 2), Demand: map[tables.ServiceID]float64{"s0": 100, "s1": 100}}
		Expect(enginesPerModel(p, start, in)).To(Equal(map[string]int{"m0": 2, "m1": 2}))
		in.Demand["s0"] = 900
		now := start.Add(time.Hour)
		Expect(enginesPerModel(p, now, in)).To(HaveKeyWithValue("m0", 2))
		in.Demand["s0"] = 100
		enginesPerModel(p, now.Add(placement.SwapDelay/2), in)
		in.Demand["s0"] = 900
		Expect(enginesPerModel(p, now.Add(placement.SwapDelay), in)).To(HaveKeyWithValue("m0", 2), "the difference was not sustained")
		Expect(enginesPerModel(p, now.Add(2*placement.SwapDelay), in)).To(HaveKeyWithValue("m0", 3))
		Expect(enginesPerModel(p, now.Add(time.Hour), in)).To(HaveKeyWithValue("m1", 1), "a model keeps its last engine")
	})
	It("makes no swap for a difference in demand below the hysteresis", func() {
		p := placement.NewPlan()
		in := placement.Input{Engines: engines(4, 1, 2), Demand: map[tables.ServiceID]float64{"s0": 100, "s1": 100}}
		enginesPerModel(p, start, in)
		in.Demand["s0"] = 200
		for i := range 120 {
			Expect(enginesPerModel(p, start.Add(time.Duration(i)*time.Minute), in)).To(HaveKeyWithValue("m0", 2))
		}
	})
	It("starts from the models that the engines hold", func() {
		p := placement.NewPlan()
		in := placement.Input{Engines: engines(2, 1, 2)}
		p.Adopt(start, "e0", []string{"m1"})
		p.Adopt(start, "e1", []string{"m1", "other"})
		o := p.Tick(start, in)
		Expect(o["e0"].Models).To(Equal([]string{"m1"}))
		Expect(o["e1"].Models).To(Equal([]string{"m1"}))
	})
	It("keeps an engine for every model and respects the model limit and the dwell time", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			g := NewWithT(rt)
			models := rapid.IntRange(1, 4).Draw(rt, "models")
			n := rapid.IntRange(models, 8).Draw(rt, "engines")
			p := placement.NewPlan()
			in := placement.Input{Engines: engines(n, 1, models), Demand: map[tables.ServiceID]float64{}}
			now, lastModel := start, map[tables.TargetID]string{}
			movedAt := map[tables.TargetID]time.Time{}
			for range 60 {
				now = now.Add(time.Minute)
				for m := range models {
					in.Demand[tables.ServiceID(fmt.Sprint("s", m))] = rapid.Float64Range(0, 1000).Draw(rt, "demand")
				}
				engineCounts := map[string]int{}
				for id, o := range p.Tick(now, in) {
					g.Expect(o.Models).To(HaveLen(1))
					engineCounts[o.Models[0]]++
					if before, ok := lastModel[id]; ok && before != o.Models[0] {
						g.Expect(now.Sub(movedAt[id])).To(BeNumerically(">=", placement.MinDwell))
						movedAt[id] = now
					}
					if lastModel[id] == "" {
						movedAt[id] = now
					}
					lastModel[id] = o.Models[0]
				}
				g.Expect(engineCounts).To(HaveLen(models))
			}
		})
	})
})

var _ = Describe("Plan with little demand for a model", func() {
	It("makes no swap if the demand is negligible", func() {
		p := placement.NewPlan()
		in := placement.Input{Engines: engines(4, 1, 2), Demand: map[tables.ServiceID]float64{"s0": 100, "s1": 100}}
		Expect(enginesPerModel(p, start, in)).To(Equal(map[string]int{"m0": 2, "m1": 2}))
		in.Demand = map[tables.ServiceID]float64{"s0": 5}
		for i := range 120 {
			Expect(enginesPerModel(p, start.Add(time.Duration(i)*time.Minute), in)).To(HaveKeyWithValue("m0", 2))
		}
	})
	It("assigns an engine to the model if no engine holds it", func() {
		p := placement.NewPlan()
		in := placement.Input{Engines: engines(2, 1, 2), Demand: map[tables.ServiceID]float64{"s1": 500}}
		p.Adopt(start, "e0", []string{"m1"})
		p.Adopt(start, "e1", []string{"m1"})
		now := start.Add(placement.MinDwell)
		Expect(enginesPerModel(p, now, in)).To(Equal(map[string]int{"m1": 2}))
		Expect(enginesPerModel(p, now.Add(placement.SwapDelay), in)).To(Equal(map[string]int{"m0": 1, "m1": 1}))
	})
})

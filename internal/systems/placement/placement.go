// Package placement assigns models, adapters, versions and roles to the engines
// of one failure domain, within what the operators allow and according to
// demand. Changes are slow and damped, because moving a model costs a load from
// the weight store and starts with a cold cache.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

const (
	// Hysteresis is the value that the gain of a swap must exceed. The gain is the
	// demand per engine of the added model divided by that of the removed model,
	// both after the swap.
	Hysteresis = 1.5
	// SwapDelay is how long the need for a swap must last. A swap is made only if
	// every Tick of the last SwapDelay found a best swap and all these swaps add the
	// same model.
	SwapDelay = 2 * time.Minute
	// MinDwell is the minimum time between Assignment.ChangedAt of an engine and a
	// swap on that engine.
	MinDwell = 10 * time.Minute
)

// DefaultRole is the role of engines without a configured role.
const DefaultRole = "mixed"

// Service is a model service that an engine may serve.
type Service struct {
	ID      tables.ServiceID
	Model   string
	Adapter string
}

// Engine is the configuration of one engine.
type Engine struct {
	ID       tables.TargetID
	Services []Service
	// MaxModels is the number of models that the engine can hold at once; zero
	// means all.
	MaxModels int
	Version   string
	Role      string
}

// Input holds everything that a plan depends on.
type Input struct {
	Engines []Engine
	// Demand is the requested work per service in tokens per second.
	Demand map[tables.ServiceID]float64
}

// Assignment is the set of models assigned to one engine.
type Assignment struct {
	Models []string
	// ChangedAt is when a model was last added to the set. The removal of a model
	// that the engine may no longer hold does not change it.
	ChangedAt time.Time
}

// swap replaces one model of an engine: removed is the old model, added the new one.
type swap struct {
	engine         tables.TargetID
	removed, added string
}

// Plan holds the assignments of all engines. It is not safe for concurrent use.
type Plan struct {
	assignments map[tables.TargetID]Assignment
	// candidate is the best swap of the Tick at candidateSince. Its added model has
	// been the best one to add in every Tick since then. candidateSince is zero if
	// there was no Tick yet, or if the latest Tick found no swap or made one.
	candidate      swap
	candidateSince time.Time
}

// NewPlan returns a plan without assignments.
func NewPlan() *Plan { return &Plan{assignments: make(map[tables.TargetID]Assignment)} }

// Adopt assigns models to an engine without an assignment. A new controller
// calls Adopt with the models that the engine holds, to avoid moving them.
func (p *Plan) Adopt(now time.Time, id tables.TargetID, models []string) {
	if _, known := p.assignments[id]; !known && len(models) > 0 {
		p.assignments[id] = Assignment{Models: slices.Clone(models), ChangedAt: now}
	}
}

// Tick updates the plan and returns the command for every engine, as a target.Order
// whose Fence is not set.
func (p *Plan) Tick(now time.Time, in Input) map[tables.TargetID]target.Order {
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	demand := demandByModel(engines, in.Demand)
	p.prune(engines)
	for _, e := range engines {
		p.fillEngine(now, e, demand)
	}
	p.applySwap(now, engines, demand)
	out := make(map[tables.TargetID]target.Order, len(engines))
	for _, e := range engines {
		out[e.ID] = order(e, p.assignments[e.ID].Models)
	}
	return out
}

// prune removes from the plan the engines that no longer exist and the models that
// an engine may no longer hold. It then cuts the list of models of each engine to
// modelLimit.
func (p *Plan) prune(engines []Engine) {
	byID := make(map[tables.TargetID]Engine, len(engines))
	for _, e := range engines {
		byID[e.ID] = e
	}
	for id, assigned := range p.assignments {
		e, ok := byID[id]
		if !ok {
			delete(p.assignments, id)
			continue
		}
		allowed := e.allowedModels()
		assigned.Models = slices.DeleteFunc(slices.Clone(assigned.Models), func(m string) bool {
			return !slices.Contains(allowed, m)
		})
		assigned.Models = assigned.Models[:min(len(assigned.Models), e.modelLimit())]
		p.assignments[id] = assigned
	}
}

// fillEngine assigns models to e until it has modelLimit models, in the order
// that needsMore defines.
func (p *Plan) fillEngine(now time.Time, e Engine, demand map[string]float64) {
	assigned := p.assignments[e.ID]
	for len(assigned.Models) < e.modelLimit() {
		best := ""
		for _, m := range e.allowedModels() {
			if slices.Contains(assigned.Models, m) {
				continue
			}
			if best == "" || p.needsMore(m, best, demand) {
				best = m
			}
		}
		assigned.Models = append(slices.Clone(assigned.Models), best)
		slices.Sort(assigned.Models)
		assigned.ChangedAt = now
		p.assignments[e.ID] = assigned
	}
}

// needsMore reports whether model a needs another engine more than b does.
// Models without an engine come first, then those with the higher demand per
// engine after one more engine is added, then those with fewer engines.
func (p *Plan) needsMore(a, b string, demand map[string]float64) bool {
	unassignedA, unassignedB := p.engineCount(a) == 0, p.engineCount(b) == 0
	if unassignedA != unassignedB {
		return unassignedA
	}
	perEngineA, perEngineB := p.demandPerEngine(a, demand, 1), p.demandPerEngine(b, demand, 1)
	if perEngineA != perEngineB {
		return perEngineA > perEngineB
	}
	return p.engineCount(a) < p.engineCount(b)
}

// applySwap makes the best swap of this Tick if the best swap of every Tick in
// the last SwapDelay adds the same model.
func (p *Plan) applySwap(now time.Time, engines []Engine, demand map[string]float64) {
	best, ok := p.bestSwap(now, engines, demand)
	if !ok {
		p.candidateSince = time.Time{}
		return
	}
	if p.candidateSince.IsZero() || best.added != p.candidate.added {
		p.candidate = best
		p.candidateSince = now
	}
	if now.Sub(p.candidateSince) < SwapDelay {
		return
	}
	p.candidateSince = time.Time{}
	assigned := p.assignments[best.engine]
	models := slices.Clone(assigned.Models)
	models[slices.Index(models, best.removed)] = best.added
	slices.Sort(models)
	p.assignments[best.engine] = Assignment{Models: models, ChangedAt: now}
}

// bestSwap returns the swap with the highest gain above Hysteresis, and whether
// there is one. It leaves out engines that changed within MinDwell.
func (p *Plan) bestSwap(now time.Time, engines []Engine, demand map[string]float64) (swap, bool) {
	var best swap
	bestGain := Hysteresis
	for _, e := range engines {
		assigned := p.assignments[e.ID]
		if now.Sub(assigned.ChangedAt) < MinDwell {
			continue
		}
		for _, added := range e.allowedModels() {
			if slices.Contains(assigned.Models, added) {
				continue
			}
			for _, removed := range assigned.Models {
				gain, ok := p.gain(added, removed, demand)
				if ok && gain > bestGain {
					best, bestGain = swap{e.ID, removed, added}, gain
				}
			}
		}
	}
	return best, best.engine != ""
}

// gain returns the demand per engine of the added model divided by that of the
// removed model, each as it would be after the swap. The divisor is at least
// minDemandPerEngine. The gain is infinite if no engine holds the added model yet.
// gain returns false if no engine would hold the removed model any more.
func (p *Plan) gain(added, removed string, demand map[string]float64) (float64, bool) {
	if p.engineCount(removed) <= 1 {
		return 0, false
	}
	if p.engineCount(added) == 0 {
		return math.Inf(1), true
	}
	demandAdded := p.demandPerEngine(added, demand, 1)
	demandRemoved := p.demandPerEngine(removed, demand, -1)
	return demandAdded / max(demandRemoved, minDemandPerEngine), true
}

// minDemandPerEngine is the lower bound, in tokens per second, that gain applies
// to the demand per engine of the removed model. It prevents swaps to models
// with negligible demand.
const minDemandPerEngine = 10

// demandPerEngine returns the demand per engine of a model if the number of its
// engines changed by extra. The changed number counts as at least 1.
func (p *Plan) demandPerEngine(model string, demand map[string]float64, extra int) float64 {
	return demand[model] / float64(max(p.engineCount(model)+extra, 1))
}

func (p *Plan) engineCount(model string) int {
	n := 0
	for _, assigned := range p.assignments {
		if slices.Contains(assigned.Models, model) {
			n++
		}
	}
	return n
}

func demandByModel(engines []Engine, demand map[tables.ServiceID]float64) map[string]float64 {
	models := make(map[tables.ServiceID]string)
	for _, e := range engines {
		for _, s := range e.Services {
			models[s.ID] = s.Model
		}
	}
	out := make(map[string]float64)
	for _, id := range slices.Sorted(maps.Keys(models)) {
		out[models[id]] += demand[id]
	}
	return out
}

// allowedModels returns the distinct models of the services of e, sorted.
func (e Engine) allowedModels() []string {
	var out []string
	for _, s := range e.Services {
		out = append(out, s.Model)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (e Engine) modelLimit() int {
	all := len(e.allowedModels())
	if e.MaxModels == 0 {
		return all
	}
	return min(e.MaxModels, all)
}

func order(e Engine, models []string) target.Order {
	o := target.Order{Models: slices.Clone(models), Version: e.Version, Role: e.Role}
	if o.Role == "" {
		o.Role = DefaultRole
	}
	for _, s := range e.Services {
		if s.Adapter != "" && slices.Contains(models, s.Model) {
			o.Adapters = append(o.Adapters, s.Adapter)
		}
	}
	slices.Sort(o.Adapters)
	o.Adapters = slices.Compact(o.Adapters)
	return o
}

// Package placement chooses the models, adapters, version and role of the
// engines of one failure domain from what the operators allow and what callers
// demand. Changes are slow and damped: moving a model costs a load from the
// weight store and a cold cache.
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
	// Hysteresis is how much more demand a model needs per engine than the one
	// whose place it takes.
	Hysteresis = 1.5
	// Sustain is how long the difference must last.
	Sustain = 2 * time.Minute
	// Dwell is the shortest time between two changes of one engine.
	Dwell = 10 * time.Minute
)

// DefaultRole is the role of an engine for which the operators name none.
const DefaultRole = "mixed"

// Service is a model service that an engine may serve.
type Service struct {
	ID      tables.ServiceID
	Model   string
	Adapter string
}

// Engine is one engine as the operators configured it.
type Engine struct {
	ID       tables.TargetID
	Services []Service
	// Slots bounds the models held at once; zero means all.
	Slots   int
	Version string
	Role    string
}

// Input is what a plan depends on.
type Input struct {
	Engines []Engine
	// Demand is the work asked for by service in tokens per second.
	Demand map[tables.ServiceID]float64
}

// Placed is the choice for one engine.
type Placed struct {
	Models []string
	// Changed is when the choice was last changed.
	Changed time.Time
}

// swap replaces one model of one engine by another.
type swap struct {
	engine  tables.TargetID
	out, in string
}

// Plan is the choice for all engines. One goroutine owns it.
type Plan struct {
	placed map[tables.TargetID]Placed
	// candidate is the swap that has been due since since.
	candidate swap
	since     time.Time
}

// NewPlan returns a plan that has chosen nothing.
func NewPlan() *Plan { return &Plan{placed: make(map[tables.TargetID]Placed)} }

// Adopt takes what an engine already holds as its choice, so that a new
// controller does not move models.
func (p *Plan) Adopt(now time.Time, id tables.TargetID, models []string) {
	if _, known := p.placed[id]; !known && len(models) > 0 {
		p.placed[id] = Placed{Models: slices.Clone(models), Changed: now}
	}
}

// Tick updates the plan and returns the order of every engine, without fences.
func (p *Plan) Tick(now time.Time, in Input) map[tables.TargetID]target.Order {
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	demand := demandByModel(engines, in.Demand)
	p.retain(engines)
	for _, e := range engines {
		p.fill(now, e, demand)
	}
	p.move(now, engines, demand)
	out := make(map[tables.TargetID]target.Order, len(engines))
	for _, e := range engines {
		out[e.ID] = order(e, p.placed[e.ID].Models)
	}
	return out
}

// retain forgets engines that are gone and models that they may not hold.
func (p *Plan) retain(engines []Engine) {
	byID := make(map[tables.TargetID]Engine, len(engines))
	for _, e := range engines {
		byID[e.ID] = e
	}
	for id, placed := range p.placed {
		e, ok := byID[id]
		if !ok {
			delete(p.placed, id)
			continue
		}
		allowed := e.models()
		placed.Models = slices.DeleteFunc(slices.Clone(placed.Models), func(m string) bool {
			return !slices.Contains(allowed, m)
		})
		placed.Models = placed.Models[:min(len(placed.Models), e.slots())]
		p.placed[id] = placed
	}
}

// fill gives the free slots of e to the models with most demand per engine.
func (p *Plan) fill(now time.Time, e Engine, demand map[string]float64) {
	placed := p.placed[e.ID]
	for len(placed.Models) < e.slots() {
		best := ""
		for _, m := range e.models() {
			if slices.Contains(placed.Models, m) {
				continue
			}
			if best == "" || p.needs(m, best, demand) {
				best = m
			}
		}
		placed.Models = append(slices.Clone(placed.Models), best)
		slices.Sort(placed.Models)
		placed.Changed = now
		p.placed[e.ID] = placed
	}
}

// needs reports whether model a needs an engine more than b: a model that no
// engine holds comes first, then the one with more demand per engine.
func (p *Plan) needs(a, b string, demand map[string]float64) bool {
	unheldA, unheldB := p.holders(a) == 0, p.holders(b) == 0
	if unheldA != unheldB {
		return unheldA
	}
	pressureA, pressureB := p.pressure(a, demand, 1), p.pressure(b, demand, 1)
	if pressureA != pressureB {
		return pressureA > pressureB
	}
	return p.holders(a) < p.holders(b)
}

// move carries out the best swap once it has been due for Sustain.
func (p *Plan) move(now time.Time, engines []Engine, demand map[string]float64) {
	best, ok := p.bestSwap(now, engines, demand)
	if !ok {
		p.since = time.Time{}
		return
	}
	if p.since.IsZero() || best.in != p.candidate.in {
		p.candidate = best
		p.since = now
	}
	if now.Sub(p.since) < Sustain {
		return
	}
	p.since = time.Time{}
	placed := p.placed[best.engine]
	models := slices.Clone(placed.Models)
	models[slices.Index(models, best.out)] = best.in
	slices.Sort(models)
	p.placed[best.engine] = Placed{Models: models, Changed: now}
}

// bestSwap returns the swap to the model with most demand per engine.
func (p *Plan) bestSwap(now time.Time, engines []Engine, demand map[string]float64) (swap, bool) {
	var best swap
	bestGain := Hysteresis
	for _, e := range engines {
		placed := p.placed[e.ID]
		if now.Sub(placed.Changed) < Dwell {
			continue
		}
		for _, in := range e.models() {
			if slices.Contains(placed.Models, in) {
				continue
			}
			for _, out := range placed.Models {
				gain, ok := p.gain(in, out, demand)
				if ok && gain > bestGain {
					best, bestGain = swap{e.ID, out, in}, gain
				}
			}
		}
	}
	return best, best.engine != ""
}

// gain is the demand per engine of in after a swap over that of out after it;
// false when the swap would leave out without an engine. A model that no engine
// holds comes before any other.
func (p *Plan) gain(in, out string, demand map[string]float64) (float64, bool) {
	if p.holders(out) <= 1 {
		return 0, false
	}
	if p.holders(in) == 0 {
		return math.Inf(1), true
	}
	to := p.pressure(in, demand, 1)
	from := p.pressure(out, demand, -1)
	return to / max(from, minPressure), true
}

// minPressure is the demand per engine, in tokens per second, below which a
// model counts as one that nobody asks for.
const minPressure = 10

// pressure is the demand per engine of a model with extra more engines.
func (p *Plan) pressure(model string, demand map[string]float64, extra int) float64 {
	return demand[model] / float64(max(p.holders(model)+extra, 1))
}

func (p *Plan) holders(model string) int {
	n := 0
	for _, placed := range p.placed {
		if slices.Contains(placed.Models, model) {
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

// models returns the models of e's services, sorted.
func (e Engine) models() []string {
	var out []string
	for _, s := range e.Services {
		out = append(out, s.Model)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (e Engine) slots() int {
	all := len(e.models())
	if e.Slots == 0 {
		return all
	}
	return min(e.Slots, all)
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

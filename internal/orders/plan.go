package orders

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/systems/placement"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// maxEnginesAtOnce bounds the engines that are read or ordered at once.
const maxEnginesAtOnce = 16

// minCandidates is the number of live hosts of a failure domain from which on
// they alone are candidates for its lease. With fewer, the first hosts for it
// anywhere are candidates too.
const minCandidates = 4

// wantedLeases returns the leases of the failure domains with engines for which
// this host is a candidate, and the weight-store leases in use.
func (c *Controller) wantedLeases(doc *config.Document) []wish {
	live := c.opts.Live()
	if !slices.ContainsFunc(live, func(h tables.Host) bool { return h.ID == c.opts.Self.ID }) {
		return nil
	}
	var out []wish
	for _, id := range domainsOf(doc) {
		if !c.candidate(id, live) {
			continue
		}
		first := owner.Of(tables.TargetID(orderLeasePrefix+string(id)), id, live)
		out = append(out, wish{name: orderLeasePrefix + string(id), preferred: first == c.opts.Self.ID})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.weightsInUse())) {
		out = append(out, wish{name: name, preferred: true})
	}
	return out
}

// candidate reports whether this host may hold the lease of a failure domain:
// it is one of the domain's hosts, or the domain has few live ones and this
// host is among the first for it.
func (c *Controller) candidate(id tables.DomainID, live []tables.Host) bool {
	if c.opts.Self.Domain == id {
		return true
	}
	here := 0
	for _, h := range live {
		if h.Domain == id {
			here++
		}
	}
	return here < minCandidates && c.amongFirst(id, live)
}

// amongFirst reports whether this host is one of the first choices for the
// lease of a failure domain.
func (c *Controller) amongFirst(id tables.DomainID, live []tables.Host) bool {
	rest := slices.Clone(live)
	for range min(minCandidates, len(live)) {
		first := owner.Of(tables.TargetID(orderLeasePrefix+string(id)), id, rest)
		if first == c.opts.Self.ID {
			return true
		}
		rest = slices.DeleteFunc(rest, func(h tables.Host) bool { return h.ID == first })
	}
	return false
}

func domainsOf(doc *config.Document) []tables.DomainID {
	seen := make(map[tables.DomainID]bool)
	for _, t := range doc.Targets {
		if t.Generation != "" {
			seen[tables.DomainID(t.FailureDomain)] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// plan brings the plans of the held failure domains up to date.
func (c *Controller) plan(doc *config.Document) {
	now := c.opts.Clock.Now()
	demand, ready := c.demand(doc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropDomains()
	for _, id := range domainsOf(doc) {
		hold, ok := c.leases.hold(orderLeasePrefix + string(id))
		d := c.domains[id]
		if !ok {
			continue
		}
		if d == nil || d.fence != hold.Fence {
			d = &domain{fence: hold.Fence, plan: placement.NewPlan(), engines: make(map[tables.TargetID]*engine)}
			c.domains[id] = d
		}
		if !ready {
			continue
		}
		d.update(now, engineTargets(doc, id), doc, demand)
	}
}

// dropDomains forgets the failure domains whose lease is no longer held; c.mu
// is held.
func (c *Controller) dropDomains() {
	held := c.leases.names()
	for id := range c.domains {
		if !slices.Contains(held, orderLeasePrefix+string(id)) {
			delete(c.domains, id)
		}
	}
}

func engineTargets(doc *config.Document, id tables.DomainID) map[tables.TargetID]config.Target {
	out := make(map[tables.TargetID]config.Target)
	for name, t := range doc.Targets {
		if t.Generation != "" && t.FailureDomain == string(id) {
			out[tables.TargetID(name)] = t
		}
	}
	return out
}

// update takes the configuration into the domain. The plan waits until every
// engine was read or tried, so that it starts from what they hold.
func (d *domain) update(now time.Time, targets map[tables.TargetID]config.Target, doc *config.Document, demand map[tables.ServiceID]float64) {
	for id := range d.engines {
		if t, ok := targets[id]; !ok || t.Address != d.engines[id].address {
			delete(d.engines, id)
		}
	}
	var in placement.Input
	ready := true
	for id, t := range targets {
		if d.engines[id] == nil {
			d.engines[id] = &engine{address: t.Address, check: now}
		}
		ready = ready && d.engines[id].adopted
		in.Engines = append(in.Engines, engineOf(id, t, doc))
	}
	if !ready {
		return
	}
	in.Demand = demand
	for id, order := range d.plan.Tick(now, in) {
		e := d.engines[id]
		if !reflect.DeepEqual(e.wanted, order) {
			e.wanted = order
			e.check = now
		}
	}
}

func engineOf(id tables.TargetID, t config.Target, doc *config.Document) placement.Engine {
	e := placement.Engine{ID: id, Slots: t.ModelSlots, Version: t.ModelVersion, Role: t.Role}
	for _, name := range t.Services {
		s := doc.Services[name]
		e.Services = append(e.Services, placement.Service{ID: tables.ServiceID(name), Model: s.Model, Adapter: s.Adapter})
	}
	return e
}

// job is one engine to look at, under the lease of its failure domain.
type job struct {
	domain tables.DomainID
	// fence is the fencing number under which wanted was planned.
	fence  ports.Offset
	id     tables.TargetID
	engine *engine
	wanted target.Order
}

// due returns the engines whose next look is due, and marks them busy.
func (c *Controller) due() []job {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []job
	for id, d := range c.domains {
		if _, ok := c.hold(id, d.fence); !ok {
			continue
		}
		for target, e := range d.engines {
			if e.busy || now.Before(e.check) {
				continue
			}
			e.busy = true
			out = append(out, job{domain: id, fence: d.fence, id: target, engine: e, wanted: e.wanted})
		}
	}
	return out
}

// hold returns the hold of a failure domain while orders may be sent under a
// fencing number.
func (c *Controller) hold(id tables.DomainID, fence ports.Offset) (lease.Hold, bool) {
	hold, ok := c.leases.hold(orderLeasePrefix + string(id))
	return hold, ok && hold.Fence == fence
}

// idle gives a job back that was not started.
func (c *Controller) idle(j job) {
	c.mu.Lock()
	j.engine.busy = false
	c.mu.Unlock()
}

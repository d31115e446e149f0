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

// maxConcurrentJobs is the maximum number of engine checks, demand measurements
// and demand reports that run concurrently, taken together.
const maxConcurrentJobs = 16

// minCandidates is the number of live hosts that a failure domain needs for its
// own hosts to be the only candidates for its lease. With fewer, the
// minCandidates preferred hosts among all live hosts are candidates too.
const minCandidates = 4

// wantedLeases returns the leases of the failure domains that have engines and
// for which this host is a candidate, and the weight-store leases in use. It
// returns none if this host is not live.
func (c *Controller) wantedLeases(doc *config.Document) []wantedLease {
	live := c.opts.LiveHosts()
	if !slices.ContainsFunc(live, func(h tables.Host) bool { return h.ID == c.opts.Self.ID }) {
		return nil
	}
	var out []wantedLease
	for _, id := range engineDomains(doc) {
		if !c.isCandidate(id, live) {
			continue
		}
		preferred := owner.Of(tables.TargetID(orderLeasePrefix+string(id)), id, live)
		out = append(out, wantedLease{name: orderLeasePrefix + string(id), preferred: preferred == c.opts.Self.ID})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.weightLeasesInUse())) {
		out = append(out, wantedLease{name: name, preferred: true})
	}
	return out
}

// isCandidate reports whether this host may hold the lease of a failure domain.
// That is the case if the host is in the domain, or if the domain has fewer than
// minCandidates live hosts and this host is a preferred candidate.
func (c *Controller) isCandidate(id tables.DomainID, live []tables.Host) bool {
	if c.opts.Self.Domain == id {
		return true
	}
	inDomain := 0
	for _, h := range live {
		if h.Domain == id {
			inDomain++
		}
	}
	return inDomain < minCandidates && c.isPreferredCandidate(id, live)
}

// isPreferredCandidate reports whether this host is among the minCandidates
// preferred hosts for the lease of a failure domain.
func (c *Controller) isPreferredCandidate(id tables.DomainID, live []tables.Host) bool {
	remaining := slices.Clone(live)
	for range min(minCandidates, len(live)) {
		preferred := owner.Of(tables.TargetID(orderLeasePrefix+string(id)), id, remaining)
		if preferred == c.opts.Self.ID {
			return true
		}
		remaining = slices.DeleteFunc(remaining, func(h tables.Host) bool { return h.ID == preferred })
	}
	return false
}

func engineDomains(doc *config.Document) []tables.DomainID {
	seen := make(map[tables.DomainID]bool)
	for _, t := range doc.Targets {
		if t.Generation != "" {
			seen[tables.DomainID(t.FailureDomain)] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// updatePlans updates the plans of the failure domains whose lease is held. It
// leaves the plans unchanged until the demand reports have been read, which is
// when the shared stream has been read to its end.
func (c *Controller) updatePlans(doc *config.Document) {
	now := c.opts.Clock.Now()
	demand, ready := c.demandByService(doc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLostDomains()
	for _, id := range engineDomains(doc) {
		hold, ok := c.leases.usableHold(orderLeasePrefix + string(id))
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

// dropLostDomains removes the failure domains whose lease is no longer held. The
// caller must hold c.mu.
func (c *Controller) dropLostDomains() {
	held := c.leases.heldNames()
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

// update updates the domain's engines and plan for a configuration. It does not
// change the plan until the first read of every engine has succeeded or failed,
// so that the plan starts from the models that the engines have loaded.
func (d *domain) update(now time.Time, targets map[tables.TargetID]config.Target, doc *config.Document, demand map[tables.ServiceID]float64) {
	for id := range d.engines {
		if t, ok := targets[id]; !ok || t.Address != d.engines[id].address {
			delete(d.engines, id)
		}
	}
	var input placement.Input
	ready := true
	for id, t := range targets {
		if d.engines[id] == nil {
			d.engines[id] = &engine{address: t.Address, nextCheck: now}
		}
		ready = ready && d.engines[id].adopted
		input.Engines = append(input.Engines, placementEngine(id, t, doc))
	}
	if !ready {
		return
	}
	input.Demand = demand
	for id, order := range d.plan.Tick(now, input) {
		e := d.engines[id]
		if !reflect.DeepEqual(e.wanted, order) {
			e.wanted = order
			e.nextCheck = now
		}
	}
}

func placementEngine(id tables.TargetID, t config.Target, doc *config.Document) placement.Engine {
	e := placement.Engine{ID: id, MaxModels: t.ModelSlots, Version: t.ModelVersion, Role: t.Role}
	for _, name := range t.Services {
		s := doc.Services[name]
		e.Services = append(e.Services, placement.Service{ID: tables.ServiceID(name), Model: s.Model, Adapter: s.Adapter})
	}
	return e
}

// reconcileJob is the job of checking one engine under the lease of its failure
// domain.
type reconcileJob struct {
	domain tables.DomainID
	// fence is the fencing number of the lease under which wanted was planned.
	fence  ports.Offset
	id     tables.TargetID
	engine *engine
	wanted target.Order
}

// dueJobs returns jobs for the engines whose next check is due, and marks these
// engines as busy.
func (c *Controller) dueJobs() []reconcileJob {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []reconcileJob
	for id, d := range c.domains {
		if _, ok := c.usableHold(id, d.fence); !ok {
			continue
		}
		for engineID, e := range d.engines {
			if e.busy || now.Before(e.nextCheck) {
				continue
			}
			e.busy = true
			out = append(out, reconcileJob{domain: id, fence: d.fence, id: engineID, engine: e, wanted: e.wanted})
		}
	}
	return out
}

// usableHold returns the hold of a failure domain's lease. The second result is
// false if this process may not send orders with the given fencing number now.
func (c *Controller) usableHold(id tables.DomainID, fence ports.Offset) (lease.Hold, bool) {
	hold, ok := c.leases.usableHold(orderLeasePrefix + string(id))
	return hold, ok && hold.Fence == fence
}

// cancelJob marks the engine of a job that was not started as not busy.
func (c *Controller) cancelJob(j reconcileJob) {
	c.mu.Lock()
	j.engine.busy = false
	c.mu.Unlock()
}

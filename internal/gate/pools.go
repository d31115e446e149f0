package gate

import (
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// pools holds what dispatchers last said of their targets.
type pools struct {
	mu   sync.Mutex
	rows map[tables.TargetID]*poolRow
}

type poolRow struct {
	owner   tables.HostID
	summary tables.TargetSummary
	updated time.Time
	sent    int
}

func newPools() *pools {
	return &pools{rows: make(map[tables.TargetID]*poolRow)}
}

func (p *pools) update(owner tables.HostID, summaries []tables.TargetSummary, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range summaries {
		p.rows[s.Target] = &poolRow{owner: owner, summary: s, updated: now}
	}
}

// sent counts a request towards targets, so that the next choice sees it
// before their dispatcher speaks again.
func (p *pools) sent(targets []tables.TargetID) {
	if len(targets) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if row := p.rows[targets[0]]; row != nil {
		row.sent++
	}
}

func (p *pools) fill(v *route.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[v.Target]
	if row == nil || row.owner != v.Owner {
		return
	}
	v.Summary = row.summary
	v.Updated = row.updated
	v.Sent = row.sent
}

// views describes the open targets of a service.
func (g *Gate) views(doc *config.Document, service string) []route.View {
	var out []route.View
	for name, t := range doc.Targets {
		if !serves(t, service) || t.Drained {
			continue
		}
		id := tables.TargetID(name)
		if g.Membership.TargetState(id) == tables.HostLeaving {
			continue
		}
		out = append(out, g.view(doc, id, t, service))
	}
	return route.FilterLoaded(tables.ServiceID(service), out)
}

func (g *Gate) view(doc *config.Document, id tables.TargetID, t config.Target, service string) route.View {
	domain := tables.DomainID(t.FailureDomain)
	v := route.View{
		Target: id,
		Owner:  g.Membership.Owner(id, domain),
		Domain: domain,
		Speed:  speedOf(doc, t),
		Plain:  doc.Services[service].Kind == config.PlainService,
	}
	g.pools.fill(&v)
	return v
}

func serves(t config.Target, service string) bool {
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}

func speedOf(doc *config.Document, t config.Target) tables.Speed {
	generation := doc.Generations[t.Generation]
	return generation.Speed()
}

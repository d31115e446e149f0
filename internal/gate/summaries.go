package gate

import (
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/systems/route"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// targetSummaries holds the latest summary of each target, as reported by its
// dispatcher. It is safe for concurrent use.
type targetSummaries struct {
	mu       sync.Mutex
	byTarget map[tables.TargetID]*summaryEntry
}

type summaryEntry struct {
	owner           tables.HostID
	summary         tables.TargetSummary
	updatedAt       time.Time
	sentSinceUpdate int
}

func newTargetSummaries() *targetSummaries {
	return &targetSummaries{byTarget: make(map[tables.TargetID]*summaryEntry)}
}

func (t *targetSummaries) update(owner tables.HostID, summaries []tables.TargetSummary, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range summaries {
		t.byTarget[s.Target] = &summaryEntry{owner: owner, summary: s, updatedAt: now}
	}
}

// countSent counts a request for the first of the targets, so that routing
// includes it before the next summary arrives.
func (t *targetSummaries) countSent(targets []tables.TargetID) {
	if len(targets) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.byTarget[targets[0]]; entry != nil {
		entry.sentSinceUpdate++
	}
}

func (t *targetSummaries) fillView(v *route.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.byTarget[v.Target]
	if entry == nil || entry.owner != v.Owner {
		return
	}
	v.Summary = entry.summary
	v.Updated = entry.updatedAt
	v.Sent = entry.sentSinceUpdate
}

// views returns the views of a service's targets that accept new requests:
// neither drained nor leaving. If any of them has the model loaded, only those
// are returned.
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
	g.summaries.fillView(&v)
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

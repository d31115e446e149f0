package operators

import (
	"context"
	"sort"
	"time"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// pool is one dispatcher's account of one target.
type pool struct {
	owner   tables.HostID
	summary tables.TargetSummary
}

// GetStatus asks every host for its version and targets. A host that does not
// answer is shown as this host last knew it.
func (h *Handler) GetStatus(ctx context.Context) (*api.Status, error) {
	hosts := h.Members.Hosts()
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	answers := h.survey(ctx, hosts)
	current := h.Configuration.Current()
	return &api.Status{
		Host:         string(h.Host),
		Version:      int64(current.Version),
		LogReachable: h.Configuration.LogReachable(),
		Hosts:        h.hosts(h.Clock.Now(), hosts, answers),
		Targets:      h.targets(current.Document, pools(hosts, answers)),
	}, nil
}

func (h *Handler) hosts(now time.Time, hosts []tables.Host, answers []*peer.Heartbeat) []api.HostStatus {
	out := make([]api.HostStatus, 0, len(hosts))
	for i, host := range hosts {
		out = append(out, hostStatus(now, host, answers[i]))
	}
	return out
}

func hostStatus(now time.Time, host tables.Host, answer *peer.Heartbeat) api.HostStatus {
	s := api.HostStatus{
		ID:            string(host.ID),
		FailureDomain: string(host.Domain),
		State:         hostState(host, answer),
		Version:       int64(host.ConfigVersion),
	}
	switch {
	case answer != nil:
		s.Version = int64(min(answer.ConfigVersion, answer.LowestVersion))
		s.Unheard = answer.Unheard
		s.HeardMsAgo = api.NewOptInt(0)
	case !host.LastContact.IsZero():
		s.HeardMsAgo = api.NewOptInt(int(now.Sub(host.LastContact).Milliseconds()))
	}
	return s
}

func hostState(host tables.Host, answer *peer.Heartbeat) api.HostStatusState {
	leaving := host.Leaving || host.Listed == tables.HostLeaving || answer != nil && answer.Leaving
	switch {
	case host.Listed == "":
		return api.HostStatusStateUnlisted
	case answer == nil:
		return api.HostStatusStateDown
	case leaving:
		return api.HostStatusStateLeaving
	default:
		return api.HostStatusStateLive
	}
}

// pools groups the summaries of all dispatchers by target.
func pools(hosts []tables.Host, answers []*peer.Heartbeat) map[string][]pool {
	out := make(map[string][]pool)
	for i, answer := range answers {
		if answer == nil {
			continue
		}
		for _, summary := range answer.Pool {
			id := string(summary.Target)
			out[id] = append(out[id], pool{owner: hosts[i].ID, summary: summary})
		}
	}
	return out
}

// targets lists every configured target. One that no dispatcher owns has an
// empty owner; one with several owners has a row for each.
func (h *Handler) targets(d *config.Document, pools map[string][]pool) []api.TargetStatus {
	out := make([]api.TargetStatus, 0, len(d.Targets))
	for id, t := range d.Targets {
		owners := pools[id]
		if len(owners) == 0 {
			owners = []pool{{}}
		}
		for _, p := range owners {
			out = append(out, h.targetStatus(id, t, p))
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.ID < b.ID || a.ID == b.ID && a.Owner < b.Owner
	})
	return out
}

func (h *Handler) targetStatus(id string, t config.Target, p pool) api.TargetStatus {
	running := sum(p.summary.RunningByTier)
	leaving := h.Members.TargetState(tables.TargetID(id)) == tables.HostLeaving
	queued := p.summary.QueuedByTier
	if queued == nil {
		queued = []int{}
	}
	return api.TargetStatus{
		ID:            id,
		Owner:         string(p.owner),
		FailureDomain: optional(t.FailureDomain),
		Window:        p.summary.Free + running,
		Running:       running,
		Queued:        queued,
		Straggler:     api.NewOptBool(p.summary.Straggler),
		Leaving:       api.NewOptBool(leaving),
		Drained:       api.NewOptBool(t.Drained),
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

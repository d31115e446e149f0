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

// ownedTarget is the state of a target as reported by the dispatcher that owns it.
type ownedTarget struct {
	owner   tables.HostID
	summary tables.TargetSummary
}

// GetStatus queries every host for its configuration version and its targets. For a
// host that does not respond, the status contains the latest configuration version
// known to the local host, and no target lists the unresponsive host as its owner.
func (h *Handler) GetStatus(ctx context.Context) (*api.Status, error) {
	hosts := h.Members.Hosts()
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	heartbeats := h.fetchHeartbeats(ctx, hosts)
	current := h.Configuration.Current()
	return &api.Status{
		Host:         string(h.Host),
		Version:      int64(current.Version),
		LogReachable: h.Configuration.LogReachable(),
		Hosts:        h.hostStatuses(h.Clock.Now(), hosts, heartbeats),
		Targets:      h.targetStatuses(current.Document, groupByTarget(hosts, heartbeats)),
	}, nil
}

func (h *Handler) hostStatuses(now time.Time, hosts []tables.Host, heartbeats []*peer.Heartbeat) []api.HostStatus {
	out := make([]api.HostStatus, 0, len(hosts))
	for i, host := range hosts {
		out = append(out, hostStatus(now, host, heartbeats[i]))
	}
	return out
}

func hostStatus(now time.Time, host tables.Host, heartbeat *peer.Heartbeat) api.HostStatus {
	s := api.HostStatus{
		ID:            string(host.ID),
		FailureDomain: string(host.Domain),
		State:         hostState(host, heartbeat),
		Version:       int64(host.ConfigVersion),
	}
	switch {
	case heartbeat != nil:
		s.Version = int64(min(heartbeat.ConfigVersion, heartbeat.LowestConfigVersion))
		s.Unheard = heartbeat.UnreportedRoles
		s.HeardMsAgo = api.NewOptInt(0)
	case !host.LastContact.IsZero():
		s.HeardMsAgo = api.NewOptInt(int(now.Sub(host.LastContact).Milliseconds()))
	}
	return s
}

func hostState(host tables.Host, heartbeat *peer.Heartbeat) api.HostStatusState {
	leaving := host.Leaving || host.Listed == tables.HostLeaving || heartbeat != nil && heartbeat.Leaving
	switch {
	case host.Listed == "":
		return api.HostStatusStateUnlisted
	case heartbeat == nil:
		return api.HostStatusStateDown
	case leaving:
		return api.HostStatusStateLeaving
	default:
		return api.HostStatusStateLive
	}
}

// groupByTarget returns the target summaries of all dispatchers, keyed by target
// ID.
func groupByTarget(hosts []tables.Host, heartbeats []*peer.Heartbeat) map[string][]ownedTarget {
	out := make(map[string][]ownedTarget)
	for i, heartbeat := range heartbeats {
		if heartbeat == nil {
			continue
		}
		for _, summary := range heartbeat.Pool {
			id := string(summary.Target)
			out[id] = append(out[id], ownedTarget{owner: hosts[i].ID, summary: summary})
		}
	}
	return out
}

// targetStatuses returns the status of every configured target, sorted by ID and
// owner. A target without an owner has one entry with an empty owner; a target with
// several owners has one entry for each.
func (h *Handler) targetStatuses(d *config.Document, owned map[string][]ownedTarget) []api.TargetStatus {
	out := make([]api.TargetStatus, 0, len(d.Targets))
	for id, t := range d.Targets {
		owners := owned[id]
		if len(owners) == 0 {
			owners = []ownedTarget{{}}
		}
		for _, owner := range owners {
			out = append(out, h.targetStatus(id, t, owner))
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.ID < b.ID || a.ID == b.ID && a.Owner < b.Owner
	})
	return out
}

func (h *Handler) targetStatus(id string, t config.Target, owned ownedTarget) api.TargetStatus {
	running := sum(owned.summary.RunningByTier)
	leaving := h.Members.TargetState(tables.TargetID(id)) == tables.HostLeaving
	queued := owned.summary.QueuedByTier
	if queued == nil {
		queued = []int{}
	}
	return api.TargetStatus{
		ID:            id,
		Owner:         string(owned.owner),
		FailureDomain: optional(t.FailureDomain),
		Window:        owned.summary.Free + running,
		Running:       running,
		Queued:        queued,
		Straggler:     api.NewOptBool(owned.summary.Straggler),
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

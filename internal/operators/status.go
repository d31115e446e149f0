package operators

import (
	"context"
	"sort"
	"time"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// GetStatus returns hosts and targets as this host sees them.
func (h *Handler) GetStatus(context.Context) (*api.Status, error) {
	current := h.Configuration.Current()
	return &api.Status{
		Host:         string(h.Host),
		Version:      int64(current.Version),
		LogReachable: h.Configuration.LogReachable(),
		Hosts:        h.hosts(h.Clock.Now()),
		Targets:      h.targets(current.Document),
	}, nil
}

func (h *Handler) hosts(now time.Time) []api.HostStatus {
	rows := h.Members.Hosts()
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	out := make([]api.HostStatus, 0, len(rows))
	for _, row := range rows {
		s := api.HostStatus{
			ID:            string(row.ID),
			FailureDomain: string(row.Domain),
			State:         h.hostState(now, row),
			Version:       int64(row.ConfigVersion),
		}
		if !row.LastHeard.IsZero() {
			s.HeardMsAgo = api.NewOptInt(int(now.Sub(row.LastHeard).Milliseconds()))
		}
		out = append(out, s)
	}
	return out
}

func (h *Handler) hostState(now time.Time, row tables.Host) api.HostStatusState {
	heard := !row.LastHeard.IsZero() && now.Sub(row.LastHeard) < h.DownAfter
	switch {
	case row.Leaving || row.Listed == tables.HostLeaving:
		return api.HostStatusStateLeaving
	case row.Listed == "":
		return api.HostStatusStateUnlisted
	case heard:
		return api.HostStatusStateLive
	default:
		return api.HostStatusStateDown
	}
}

// targets lists every configured target. One that no dispatcher owns has an
// empty owner; one with several owners has a row for each.
func (h *Handler) targets(d config.Document) []api.TargetStatus {
	pools := make(map[string][]Pool)
	for _, p := range h.Members.Pools() {
		id := string(p.Summary.Target)
		pools[id] = append(pools[id], p)
	}
	out := make([]api.TargetStatus, 0, len(d.Targets))
	for id, t := range d.Targets {
		owners := pools[id]
		if len(owners) == 0 {
			owners = []Pool{{}}
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

func (h *Handler) targetStatus(id string, t config.Target, p Pool) api.TargetStatus {
	running := sum(p.Summary.RunningByTier)
	leaving := h.Members.TargetState(tables.TargetID(id)) == tables.HostLeaving
	queued := p.Summary.QueuedByTier
	if queued == nil {
		queued = []int{}
	}
	return api.TargetStatus{
		ID:            id,
		Owner:         string(p.Owner),
		FailureDomain: optional(t.FailureDomain),
		Window:        p.Summary.Free + running,
		Running:       running,
		Queued:        queued,
		Straggler:     api.NewOptBool(p.Summary.Straggler),
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

package engine

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// loadHistory keeps the load reports that are still needed to show the load of
// some time ago.
type loadHistory struct {
	reports []tables.LoadReport
}

func (h *loadHistory) add(lag time.Duration, r tables.LoadReport) {
	h.reports = append(h.reports, r)
	h.prune(r.At.Add(-lag))
}

// prune drops the reports before the newest one that is not after t.
func (h *loadHistory) prune(t time.Time) {
	for len(h.reports) > 1 && !h.reports[1].At.After(t) {
		h.reports = h.reports[1:]
	}
}

// at returns the newest report that is not after t, or an empty one of time t.
func (h *loadHistory) at(t time.Time) tables.LoadReport {
	h.prune(t)
	if len(h.reports) == 0 || h.reports[0].At.After(t) {
		return tables.LoadReport{At: t}
	}
	return h.reports[0]
}

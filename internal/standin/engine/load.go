package engine

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// loadHistory stores recent load reports, so that the engine can publish its
// load with a lag. It is not safe for concurrent use.
type loadHistory struct {
	reports []tables.LoadReport
}

// add appends r and drops the reports that are no longer needed at this lag.
func (h *loadHistory) add(lag time.Duration, r tables.LoadReport) {
	h.reports = append(h.reports, r)
	h.prune(r.At.Add(-lag))
}

// prune drops all reports older than the one that was current at t.
func (h *loadHistory) prune(t time.Time) {
	for len(h.reports) > 1 && !h.reports[1].At.After(t) {
		h.reports = h.reports[1:]
	}
}

// reportAt returns the report that was current at t. If there is none, it returns an
// empty report with time t. Reports from before t may be dropped, so t must not
// decrease between calls.
func (h *loadHistory) reportAt(t time.Time) tables.LoadReport {
	h.prune(t)
	if len(h.reports) == 0 || h.reports[0].At.After(t) {
		return tables.LoadReport{At: t}
	}
	return h.reports[0]
}

package pool

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// limitReportInterval is the minimum time between two reports of the same limit of a
	// target. A change is reported at once.
	limitReportInterval = 200 * time.Millisecond
	// limitMemory is how long a host remembers what a target said of its limit.
	limitMemory = time.Minute
)

// limitReport reports what an answer of a target said of its own limit and of being
// brittle. AgeMS is the time since then, or since the request was sent if it says neither.
type limitReport struct {
	Target      tables.TargetID `json:"t"`
	TargetStart int64           `json:"b"`
	Limited     bool            `json:"l,omitempty"`
	PerSecond   float64         `json:"n,omitempty"`
	Brittle     bool            `json:"br,omitempty"`
	// MaxRejections is that of allocation.LimitStatement.
	MaxRejections int   `json:"mr,omitempty"`
	AgeMS         int64 `json:"a"`
}

// maxLimit bounds the limits that are reported, in requests a second. Larger ones do not
// bind, and JSON has no infinity.
const maxLimit = 1e6

// namedLimits holds what targets said last of their limits. The zero value is empty.
type namedLimits struct {
	last map[tables.TargetID]namedLimit
}

type namedLimit struct {
	allocation.LimitStatement
	reportedAt time.Time
}

// record keeps a statement. It returns whether to report it and whether it is a change.
// Targets that never named a limit need no report.
func (l *namedLimits) record(now time.Time, s allocation.LimitStatement) (due, changed bool) {
	old, known := l.last[s.Target]
	sameStart := known && old.TargetStart == s.TargetStart
	if !s.Limited && !s.Brittle && !sameStart || sameStart && s.At.Before(old.At) {
		return false, false
	}
	if l.last == nil {
		l.last = make(map[tables.TargetID]namedLimit)
	}
	changed = !sameStart || old.Limited != s.Limited || old.PerSecond != s.PerSecond || old.Brittle != s.Brittle || old.MaxRejections != s.MaxRejections
	due = changed || now.Sub(old.reportedAt) >= limitReportInterval
	entry := namedLimit{s, old.reportedAt}
	if due {
		entry.reportedAt = now
	}
	l.last[s.Target] = entry
	return due, changed
}

// reports returns what is remembered, as reports made now.
func (l *namedLimits) reports(now time.Time) []limitReport {
	maps.DeleteFunc(l.last, func(_ tables.TargetID, e namedLimit) bool { return now.Sub(e.At) > limitMemory })
	var out []limitReport
	for _, id := range slices.Sorted(maps.Keys(l.last)) {
		out = append(out, newLimitReport(now, l.last[id].LimitStatement))
	}
	return out
}

func newLimitReport(now time.Time, s allocation.LimitStatement) limitReport {
	return limitReport{Target: s.Target, TargetStart: s.TargetStart, Limited: s.Limited, PerSecond: s.PerSecond, Brittle: s.Brittle, MaxRejections: s.MaxRejections, AgeMS: now.Sub(s.At).Milliseconds()}
}

// Needs is what an answer of a target says of the requests that it takes.
type Needs struct {
	// Limited is true if the target takes PerSecond requests a second from all hosts
	// together.
	Limited   bool
	PerSecond float64
	// Brittle is true if the target falls over when it has to turn more than MaxRejections
	// requests away in a second.
	Brittle       bool
	MaxRejections int
}

// ReportNeeds reports what an answer of a target to a request that was sent at sentAt said
// of the requests that it takes.
func (c *Client) ReportNeeds(t fleet.Target, n Needs, sentAt time.Time) {
	now := c.clock.Now()
	s := allocation.LimitStatement{
		Target: t.ID, TargetStart: t.StartedAt.UnixMilli(), Limited: n.Limited, PerSecond: min(n.PerSecond, maxLimit),
		Brittle: n.Brittle, MaxRejections: n.MaxRejections, At: now,
	}
	if !n.Limited && !n.Brittle {
		s.At = sentAt
	}
	c.mu.Lock()
	due, changed := c.limits.record(now, s)
	c.mu.Unlock()
	if !due {
		return
	}
	if changed {
		event.TargetLimit.Log(c.logger, zap.String("target", string(t.ID)), zap.Bool("limited", s.Limited), zap.Float64("per_second", s.PerSecond),
			zap.Bool("brittle", s.Brittle), zap.Int("max_rejections", s.MaxRejections))
	}
	report := reportMessage{Limits: []limitReport{newLimitReport(now, s)}}
	c.coordinator.Report(report)
	c.fallback.Report(report)
	for _, live := range c.links.LiveHosts() {
		if live.Conn != nil {
			live.Conn.NotifyAsync(methodReport, report)
		}
	}
}

// stateLimits applies reports of limits. The lock must be held.
func (c *Coordinator) stateLimits(now time.Time, reports []limitReport) {
	for _, r := range reports {
		c.scheduler.StateLimit(now, allocation.LimitStatement{
			Target: r.Target, TargetStart: r.TargetStart, Limited: r.Limited, PerSecond: r.PerSecond,
			Brittle: r.Brittle, MaxRejections: r.MaxRejections,
			At: now.Add(-time.Duration(r.AgeMS) * time.Millisecond),
		}, c.share())
	}
}

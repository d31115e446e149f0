package edge

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/quiet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// quietTargets holds the targets that want no request from this host for a time. It
// is safe for concurrent use.
type quietTargets struct {
	mu    sync.Mutex
	times quiet.Times
}

func (q *quietTargets) set(now time.Time, t fleet.Target, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.times.Set(now, t, d)
}

func (q *quietTargets) remaining(now time.Time, t fleet.Target) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.times.Remaining(now, t)
}

func (q *quietTargets) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.times.Len() == 0
}

// recordNotice records what a target has said about itself.
func (s *Server) recordNotice(t fleet.Target, n TargetNotice) {
	if n.Leaving {
		s.Directory.MarkLeaving(t)
	}
	if n.QuietFor > 0 {
		s.quiet.set(s.Clock.Now(), t, n.QuietFor)
		event.TargetQuiet.Log(s.Logger, zap.String("target", string(t.ID)), zap.Duration("for", n.QuietFor))
	}
	s.recordLimit(t, n)
}

// recordLimit logs a change of the limit that a target names.
func (s *Server) recordLimit(t fleet.Target, n TargetNotice) {
	if n.LimitUnclear {
		return
	}
	if s.limits.changed(t, n) {
		event.TargetLimit.Log(s.Logger, zap.String("target", string(t.ID)), zap.Bool("limited", n.Limited), zap.Float64("per_second", n.Limit))
	}
}

// namedLimits holds the limits that targets named last. It is safe for concurrent use.
type namedLimits struct {
	mu     sync.Mutex
	limits map[limitedStart]float64
}

// limitedStart is one start of a target.
type limitedStart struct {
	target    tables.TargetID
	startedAt time.Time
}

// changed records what an answer of a target says of its limit and reports whether that
// is new.
func (l *namedLimits) changed(t fleet.Target, n TargetNotice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := limitedStart{t.ID, t.StartedAt}
	before, known := l.limits[key]
	if known == n.Limited && before == n.Limit {
		return false
	}
	if !n.Limited {
		delete(l.limits, key)
		return true
	}
	if l.limits == nil || len(l.limits) >= maxNamedLimits {
		l.limits = make(map[limitedStart]float64)
	}
	l.limits[key] = n.Limit
	return true
}

// maxNamedLimits bounds the number of limits that are kept.
const maxNamedLimits = 1024

// quietOf returns the targets of a service that want no request from this host now.
// If that is every target that is not leaving, it also returns the time until the
// first of them accepts requests again; otherwise zero.
func (s *Server) quietOf(service tables.ServiceID) (ids []tables.TargetID, allFor time.Duration) {
	if s.quiet.empty() {
		return nil, 0
	}
	now := s.Clock.Now()
	others := false
	for _, t := range s.Directory.Targets() {
		if t.Service != service || t.Leaving {
			continue
		}
		remaining := s.quiet.remaining(now, t)
		if remaining <= 0 {
			others = true
			continue
		}
		ids = append(ids, t.ID)
		if allFor == 0 || remaining < allFor {
			allFor = remaining
		}
	}
	if others {
		allFor = 0
	}
	return ids, allFor
}

// errAllQuiet returns the refusal of a request whose targets all want no request
// from this host.
func errAllQuiet(service tables.ServiceID, wait time.Duration) error {
	return errkind.NewRetry(errkind.NoTarget, fmt.Sprintf("all targets of service %q want no request from this host", service), wait)
}

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

// QuietFor returns how long a target wants no requests from this host.
func (s *Server) QuietFor(t fleet.Target) time.Duration {
	return s.quiet.remaining(s.Clock.Now(), t)
}

// RecordNotice records what a target has said about itself in its answer to a request
// that was sent at sentAt, by this host for its own callers or for another host.
func (s *Server) RecordNotice(t fleet.Target, n TargetNotice, sentAt time.Time) {
	if n.Leaving {
		s.Directory.MarkLeaving(t)
	}
	if n.QuietFor > 0 {
		s.quiet.set(s.Clock.Now(), t, n.QuietFor)
		event.TargetQuiet.Log(s.Logger, zap.String("target", string(t.ID)), zap.Duration("for", n.QuietFor))
	}
	if !n.NeedsUnclear {
		s.Slots.ReportNeeds(t, n.Needs, sentAt)
	}
}

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

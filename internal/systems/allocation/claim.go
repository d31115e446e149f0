package allocation

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// claimWaitShare is the fraction of its longest wait after which a request that only
	// lacks memory claims a target: nothing else is granted there until the request fits. It
	// leaves three quarters of the wait for requests at the target to end.
	claimWaitShare = 0.25
	// maxClaimedShare is the fraction of the targets of a service that may be claimed at a
	// time. At least one may be.
	maxClaimedShare = 0.25
)

// claims are the targets whose memory is being freed for requests that have waited for it.
type claims struct {
	byRequest map[ID]tables.TargetID
	byTarget  map[tables.TargetID]ID
}

// keepClaims drops the claims of requests that are no longer queued and of targets that are not
// usable any more.
func (s *service) keepClaims(now time.Time) {
	if len(s.claims.byRequest) == 0 {
		return
	}
	queued := make(map[ID]bool, len(s.claims.byRequest))
	for _, r := range s.queue {
		if _, claims := s.claims.byRequest[r.ID]; claims {
			queued[r.ID] = true
		}
	}
	for id, claimed := range s.claims.byRequest {
		if t := s.targets[claimed]; !queued[id] || t == nil || !t.usable(now) {
			s.dropClaim(id)
		}
	}
}

func (s *service) dropClaim(id ID) {
	delete(s.claims.byTarget, s.claims.byRequest[id])
	delete(s.claims.byRequest, id)
}

// mayHave reports whether a request may be granted a target as far as memory goes.
func (s *service) mayHave(t *target, r *SlotRequest) bool {
	if s.memory.Tokens <= 0 {
		return true
	}
	if holder, claimed := s.claims.byTarget[t.ID]; claimed && holder != r.ID {
		return false
	}
	return s.fitsMemory(t, r)
}

// lacksMemory reports whether memory keeps a request from a target that it accepts.
func (s *service) lacksMemory(r *SlotRequest, targets []*target) bool {
	if s.memory.Tokens <= 0 {
		return false
	}
	for _, t := range targets {
		if r.accepts(t) && !s.mayHave(t, r) {
			return true
		}
	}
	return false
}

// claim makes a request that has waited for long claim the target whose requests hold the
// least memory.
func (s *service) claim(now time.Time, r *SlotRequest) {
	if s.memory.Tokens <= 0 || s.claims.byRequest[r.ID] != "" {
		return
	}
	longest := r.QueueDeadline.Sub(r.ArrivedAt)
	if float64(now.Sub(r.ArrivedAt)) < claimWaitShare*float64(longest) {
		return
	}
	if len(s.claims.byTarget) >= max(int(maxClaimedShare*float64(len(s.targets))), 1) {
		return
	}
	var best *target
	for _, t := range s.targets {
		if !t.usable(now) || !r.accepts(t) || !s.allows(now, r, t) || s.claims.byTarget[t.ID] != 0 || s.fitsMemory(t, r) {
			continue
		}
		if best == nil || t.lessHeld(best) {
			best = t
		}
	}
	if best == nil {
		return
	}
	if s.claims.byRequest == nil {
		s.claims = claims{make(map[ID]tables.TargetID), make(map[tables.TargetID]ID)}
	}
	s.claims.byRequest[r.ID], s.claims.byTarget[best.ID] = best.ID, r.ID
}

func (t *target) lessHeld(o *target) bool {
	a, b := t.memory.held.reserved(), o.memory.held.reserved()
	return a < b || a == b && t.ID < o.ID
}

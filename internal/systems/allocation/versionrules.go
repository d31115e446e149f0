package allocation

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// VersionRules says which targets the requests of a service may get, by the software
// version of the targets.
type VersionRules interface {
	// Sets returns the sets of targets that a request may get, the preferred first. The
	// request is refused if there are none.
	Sets(now time.Time, q rollout.Question) []rollout.Set
	// Contains reports whether a target is in a set.
	Contains(set rollout.Set, id tables.TargetID, version tables.SoftwareVersion) bool
	// RecordGrant records that a request was granted a target.
	RecordGrant(now time.Time, q rollout.Question, id tables.TargetID, version tables.SoftwareVersion)
}

// SetRules sets the rules of a service; nil removes them.
func (sched *Scheduler) SetRules(id tables.ServiceID, rules VersionRules) {
	sched.service(id).rules = rules
}

// question returns what the request says about the targets that it may get.
func (r *SlotRequest) question() rollout.Question {
	return rollout.Question{Route: r.Route, Bound: r.VersionBound, Version: r.Version}
}

// unplaceableBySet holds the requests that got no target in a pass, for each set of targets.
type unplaceableBySet [rollout.SetCount]unplaceable

// decideByRules is decide for a service with rules. It tries the sets of targets in their
// order.
func (sched *Scheduler) decideByRules(now time.Time, s *service, r *SlotRequest, free []*target, unplaced *unplaceableBySet) (Decision, bool) {
	if len(s.targets) == 0 {
		return Decision{Request: r, Reason: NoTargets, RetryAfter: noTargetsRetryAfter}, true
	}
	q := r.question()
	sets := s.rules.Sets(now, q)
	if len(sets) == 0 {
		return sched.refuse(now, s, r), true
	}
	for _, set := range sets {
		best, expected := sched.place(now, s, r, s.filterSet(set, free), &unplaced[set])
		if best != nil {
			s.rules.RecordGrant(now, q, best.ID, best.Version)
			return sched.grant(now, s, r, best, expected), true
		}
	}
	if s.refusalDue(now, r) {
		return sched.refuse(now, s, r), true
	}
	return Decision{}, false
}

// filterSet returns the targets in a set.
func (s *service) filterSet(set rollout.Set, targets []*target) []*target {
	var out []*target
	for _, t := range targets {
		if s.rules.Contains(set, t.ID, t.Version) {
			out = append(out, t)
		}
	}
	return out
}

// allows reports whether the rules let a request have a target.
func (s *service) allows(now time.Time, r *SlotRequest, t *target) bool {
	if s.rules == nil {
		return true
	}
	for _, set := range s.rules.Sets(now, r.question()) {
		if s.rules.Contains(set, t.ID, t.Version) {
			return true
		}
	}
	return false
}

// competes reports whether new requests may get a target.
func (s *service) competes(now time.Time, t *target) bool {
	return s.rules == nil || s.allows(now, &SlotRequest{}, t)
}

// GrantInfo describes a grant.
type GrantInfo struct {
	Service   tables.ServiceID
	Route     string
	Target    tables.TargetID
	Version   tables.SoftwareVersion
	GrantedAt time.Time
	// Baseline is the expected time to the first byte at a target of usual speed; zero if
	// another coordinator made the grant. Queued is true if all slots of the target were in
	// use. Answered is true once the first byte has arrived.
	Baseline time.Duration
	Queued   bool
	Answered bool
}

// Grant returns what is known of a grant, and whether there is such a grant.
func (sched *Scheduler) Grant(id ID) (GrantInfo, bool) {
	g := sched.grants[id]
	if g == nil {
		return GrantInfo{}, false
	}
	_, prefilling := g.target.prefilling[id]
	return GrantInfo{
		Service: g.request.Service, Route: g.request.Route, Target: g.target.ID, Version: g.target.Version,
		GrantedAt: g.grantedAt, Baseline: g.baseline, Queued: g.queued, Answered: !prefilling && g.baseline > 0,
	}, true
}

// MeanEventGap returns the mean event gap of a service at a target of usual speed; zero if
// it is unknown.
func (sched *Scheduler) MeanEventGap(id tables.ServiceID) time.Duration {
	gap := sched.service(id).eventGap
	if !gap.Known() {
		return 0
	}
	return gap.Mean()
}

// InUseAt returns the number of slots of a service in use at targets that match.
func (sched *Scheduler) InUseAt(id tables.ServiceID, match func(tables.SoftwareVersion) bool) int {
	n := 0
	for _, t := range sched.service(id).targets {
		if match(t.Version) {
			n += max(t.inUse, 0)
		}
	}
	return n
}

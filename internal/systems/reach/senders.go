// Package reach decides from successes and failures of sends which hosts have lost their
// path to targets. A path is a fact about a host and a target: a host that fails at
// several targets while others succeed says nothing about the targets. The package uses no
// clock and does no I/O: callers pass in the time.
package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// minFailedTargets is the number of targets at which a host must have failed in a row
	// before the host itself is the suspect.
	minFailedTargets = 2
	// suspicionConfirmed is how long a suspicion must have lasted for the failures within it
	// to be discounted for good. When several targets crash at once, hosts are suspects
	// until their next success.
	suspicionConfirmed = 200 * time.Millisecond
	// successLifetime is how long a success shows that a host reaches targets, unless it
	// fails after it. Hosts may get no target to send to for some seconds.
	successLifetime = 10 * time.Second
	// agreementTime is within which another host must fail at a target as well for a
	// failure to connect to count. Such a failure has run nothing, and most often tells of
	// a path.
	agreementTime = time.Second
	// unreachedTime is how long a host gets no slot at a target after neither it nor hosts
	// that it asked could connect there.
	unreachedTime = 300 * time.Millisecond
)

// Senders holds what is known of the sends of each host. It is not safe for concurrent use.
type Senders struct {
	senders map[tables.HostID]*sender
	targets map[tables.TargetID]*recentSends
	// anySucceeded is true once a host was seen to reach a target.
	anySucceeded bool
}

// NewSenders returns an empty Senders.
func NewSenders() *Senders {
	return &Senders{senders: make(map[tables.HostID]*sender), targets: make(map[tables.TargetID]*recentSends)}
}

// sender is what is known of the sends of one host.
type sender struct {
	// failed holds the targets at which the host has failed since its last success.
	failed map[tables.TargetID]bool
	// suspectAt is when the host became a suspect; zero if it is none.
	suspectAt   time.Time
	succeededAt time.Time
	// unreached holds when the requests of the host could last not be sent to a target.
	unreached map[tables.TargetID]time.Time
	// discountedUntil is the end of the last confirmed suspicion.
	discountedUntil time.Time
	// reported is what the host says of its own paths; nil if it said nothing.
	reported *Reported
	// cores is the number of processor cores of the host; zero if unknown. domain is its
	// failure domain.
	cores  float64
	domain tables.DomainID
	// relaying is the number of requests of other hosts that it was named for and that have
	// not ended.
	relaying int
}

// Failure is a send of a host that failed at a target.
type Failure struct {
	Host   tables.HostID
	Target fleet.Target
	// BegunAt is when the host was told to send, and At when it has reported the failure.
	BegunAt, At time.Time
	// Unsent is true if the host could not connect. Agreed is true if another host that it
	// asked to send could not either.
	Unsent, Agreed bool
}

func (s *Senders) of(host tables.HostID) *sender {
	known := s.senders[host]
	if known == nil {
		known = &sender{failed: make(map[tables.TargetID]bool), unreached: make(map[tables.TargetID]time.Time)}
		s.senders[host] = known
	}
	return known
}

// Failed records that a send has failed.
func (s *Senders) Failed(now time.Time, f Failure) {
	known := s.of(f.Host)
	known.failed[f.Target.ID] = true
	if known.suspectAt.IsZero() && len(known.failed) >= minFailedTargets {
		known.suspectAt = now
	}
	s.target(f.Target.ID).recordFailure(now, f.Host)
	if !s.anySucceeded {
		s.RecordUnreached(now, f.Host, f.Target.ID)
	}
}

// Succeeded records that a target has answered a send of a host.
func (s *Senders) Succeeded(now time.Time, host tables.HostID, target tables.TargetID) {
	known := s.of(host)
	if !known.suspectAt.IsZero() && now.Sub(known.suspectAt) >= suspicionConfirmed {
		known.discountedUntil = now
	}
	known.suspectAt = time.Time{}
	known.succeededAt = now
	s.anySucceeded = true
	clear(known.failed)
	s.target(target).recordSuccess(now, host)
}

// RecordUnreached records that a request of a host could not be sent to a target, neither by
// the host nor by others that it asked.
func (s *Senders) RecordUnreached(now time.Time, host tables.HostID, target tables.TargetID) {
	s.of(host).unreached[target] = now
}

// Unreached returns the targets at which a host gets no slot now. Most hosts have none.
func (s *Senders) Unreached(now time.Time, host tables.HostID) []tables.TargetID {
	known := s.senders[host]
	if known == nil || len(known.unreached) == 0 {
		return nil
	}
	maps.DeleteFunc(known.unreached, func(_ tables.TargetID, at time.Time) bool { return now.Sub(at) >= unreachedTime })
	return slices.Collect(maps.Keys(known.unreached))
}

// Remove forgets a host.
func (s *Senders) Remove(host tables.HostID) { delete(s.senders, host) }

// HostReport is what a host says of itself.
type HostReport struct {
	Host  tables.HostID
	Paths Report
	// Domain is the failure domain of the host, and Cores its number of processor cores;
	// empty and zero if it does not name them.
	Domain tables.DomainID
	Cores  float64
}

// RecordHost records what a host says of itself.
func (s *Senders) RecordHost(r HostReport) {
	known := s.of(r.Host)
	known.domain, known.cores = r.Domain, r.Cores
	known.reported = nil
	if !r.Paths.Empty() {
		known.reported = NewReported(r.Paths)
	}
}

// Reaches reports whether a host has not said that its path to the target is lost.
func (s *Senders) Reaches(host tables.HostID, t fleet.Target) bool {
	known := s.senders[host]
	return known == nil || known.reported.Reaches(t)
}

// Discounted reports whether a failure says nothing about its target, since the path of
// the host is the likelier cause.
func (s *Senders) Discounted(now time.Time, f Failure) bool {
	known := s.senders[f.Host]
	contradicted := s.target(f.Target.ID).reachedSince(f.BegunAt, f.Host)
	switch {
	case !s.anySucceeded:
		// Nobody knows whether the targets or the paths of those that fail are down. The hosts
		// leave these targets each for itself.
		return true
	case f.Unsent && (contradicted || !f.Agreed && !s.agreed(f)):
		return true
	case known == nil:
		return false
	case contradicted && !known.reported.Reaches(f.Target):
		return true
	case known.succeededAt.IsZero() && s.target(f.Target.ID).reachedSince(time.Time{}, f.Host):
		// The host was never seen to reach a target, and others have reached this one.
		return true
	case !f.At.After(known.discountedUntil):
		return true
	default:
		return !known.suspectAt.IsZero() && s.anyReaches(now)
	}
}

// agreed reports whether another host has failed at the target about when this one did.
func (s *Senders) agreed(f Failure) bool {
	return s.target(f.Target.ID).failedAround(f.At, f.Host)
}

// anyReaches reports whether there is a host that has succeeded and not failed since.
func (s *Senders) anyReaches(now time.Time) bool {
	for _, other := range s.senders {
		if len(other.failed) == 0 && now.Sub(other.succeededAt) < successLifetime {
			return true
		}
	}
	return false
}

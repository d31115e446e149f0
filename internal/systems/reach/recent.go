package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxRecent bounds the hosts that are kept for a target: the last ones that have
	// reached it, and the last ones that have failed there.
	maxRecent = 8
	// maxRelays is the number of hosts that are named to send a request.
	maxRelays = 2
)

// recentSends holds the latest successes and failures at one target, one for each host,
// the latest last.
type recentSends struct{ successes, failures []recentSend }

type recentSend struct {
	host tables.HostID
	at   time.Time
}

func (s *Senders) target(id tables.TargetID) *recentSends {
	known := s.targets[id]
	if known == nil {
		known = &recentSends{}
		s.targets[id] = known
	}
	return known
}

// KeepTargets forgets all targets that are not listed.
func (s *Senders) KeepTargets(listed map[tables.TargetID]bool) {
	maps.DeleteFunc(s.targets, func(id tables.TargetID, _ *recentSends) bool { return !listed[id] })
}

func (r *recentSends) recordSuccess(now time.Time, host tables.HostID) {
	r.successes = replace(r.successes, host, now)
	r.failures = without(r.failures, host)
}

func (r *recentSends) recordFailure(now time.Time, host tables.HostID) {
	r.failures = replace(r.failures, host, now)
	r.successes = without(r.successes, host)
}

func replace(sends []recentSend, host tables.HostID, at time.Time) []recentSend {
	sends = append(without(sends, host), recentSend{host, at})
	return sends[max(len(sends)-maxRecent, 0):]
}

func without(sends []recentSend, host tables.HostID) []recentSend {
	return slices.DeleteFunc(sends, func(s recentSend) bool { return s.host == host })
}

// reachedSince reports whether a host other than the named one has reached the target after
// a time.
func (r *recentSends) reachedSince(at time.Time, other tables.HostID) bool {
	return slices.ContainsFunc(r.successes, func(s recentSend) bool { return s.host != other && s.at.After(at) })
}

// failedAround reports whether a host other than the named one has failed at the target
// within agreementTime of a time.
func (r *recentSends) failedAround(at time.Time, other tables.HostID) bool {
	return slices.ContainsFunc(r.failures, func(s recentSend) bool { return s.host != other && at.Sub(s.at).Abs() < agreementTime })
}

// anyLost reports whether a host has said that it has lost a path.
func (s *Senders) anyLost() bool {
	for _, known := range s.senders {
		if known.reported != nil {
			return true
		}
	}
	return false
}

// Relays returns up to maxRelays hosts other than self that are likely to reach a target,
// the best first: of those that have reached it last, or else any target, the least
// loaded ones. It returns none while no host has lost a path.
func (s *Senders) Relays(now time.Time, t fleet.Target, self tables.HostID, domain tables.DomainID) []tables.HostID {
	if !s.anyLost() {
		return nil
	}
	hosts := s.reaching(now, t, self)
	slices.SortStableFunc(hosts, func(a, b tables.HostID) int {
		return cmp.Compare(s.relayCost(a, domain), s.relayCost(b, domain))
	})
	return hosts[:min(len(hosts), maxRelays)]
}

// reaching returns hosts that are likely to reach a target, the latest to do so first.
func (s *Senders) reaching(now time.Time, t fleet.Target, self tables.HostID) []tables.HostID {
	var hosts []tables.HostID
	for _, success := range slices.Backward(s.target(t.ID).successes) {
		known := s.senders[success.host]
		if known != nil && success.host != self && now.Sub(success.at) < successLifetime && known.reported.Reaches(t) {
			hosts = append(hosts, success.host)
		}
	}
	if len(hosts) > 0 {
		return hosts
	}
	for host, known := range s.senders {
		if host != self && now.Sub(known.succeededAt) < successLifetime && known.reported.Reaches(t) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// relayCost returns the requests of others that a host sends, per core, with
// crossDomainLoad for one of another failure domain.
func (s *Senders) relayCost(host tables.HostID, domain tables.DomainID) float64 {
	known := s.senders[host]
	cost := float64(known.relaying) / max(known.cores, minCores)
	if known.domain != domain {
		cost += crossDomainLoad
	}
	return cost
}

// BeginRelay records that a host was named to send a request for another one.
func (s *Senders) BeginRelay(host tables.HostID) { s.of(host).relaying++ }

// EndRelay records the end of such a request; host is empty if none was named.
func (s *Senders) EndRelay(host tables.HostID) {
	if known := s.senders[host]; known != nil {
		known.relaying = max(known.relaying-1, 0)
	}
}

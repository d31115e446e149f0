package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// crossDomainLoad is the load at which a host of the own failure domain is no better
	// than an idle one of another, in requests per core.
	crossDomainLoad = 40
	// avoidTime is how long a host is asked for nothing after it was no help.
	avoidTime = time.Second
	// unreachableTime is how long a host is not asked again for a target that it cannot
	// reach: about the time between two probes of its path.
	unreachableTime = 2 * time.Second
	// inDoubtTime is the same for a host that is about to check its path.
	inDoubtTime = 300 * time.Millisecond
	// loadLifetime is how long the load that a host has named counts.
	loadLifetime = time.Second
)

// Refusal is why a host does not send a request for another one.
type Refusal string

// The values of Refusal.
const (
	// Unreachable means that the host cannot reach the target either.
	Unreachable Refusal = "unreachable"
	// CutOff means that the host itself reaches no target.
	CutOff Refusal = "cut_off"
	// InDoubt means that the host has lost other paths and has not checked this one. It says
	// nothing about the target.
	InDoubt Refusal = "in_doubt"
	// Leaving means that the target is leaving or gone, and Quiet that it has asked the host to
	// send no requests for a time.
	Leaving Refusal = "leaving"
	Quiet   Refusal = "quiet"
	// Busy means that the host takes no further requests of others now.
	Busy Refusal = "busy"
	// Foreign means that the hosts are of different fleets.
	Foreign Refusal = "foreign"
)

// Relays chooses the hosts that send requests for a host that has lost its path. The zero
// value is empty. It is not safe for concurrent use.
type Relays struct {
	hosts map[tables.HostID]*relayHost
}

// relayHost is what is known of one host.
type relayHost struct {
	// avoidUntil is until when the host gets no requests.
	avoidUntil time.Time
	// unreachable holds the targets that the host cannot reach, each until a time.
	unreachable map[tables.TargetID]time.Time
	// inFlight is the number of requests that it sends for this host, and load that of all
	// requests that it said to send for others at loadAt.
	inFlight, load int
	loadAt         time.Time
}

// currentLoad returns the number of requests that the host sends for others, as far as
// is known.
func (h *relayHost) currentLoad(now time.Time) int {
	if now.Sub(h.loadAt) >= loadLifetime {
		return h.inFlight
	}
	return max(h.load, h.inFlight)
}

func (r *Relays) of(id tables.HostID) *relayHost {
	if r.hosts == nil {
		r.hosts = make(map[tables.HostID]*relayHost)
	}
	known := r.hosts[id]
	if known == nil {
		known = &relayHost{unreachable: make(map[tables.TargetID]time.Time)}
		r.hosts[id] = known
	}
	return known
}

// Choose returns the host that is to send a request to a target for self: the one with the
// least load, first among those of its own failure domain. random returns numbers in
// [0, 1). It returns false if there is none.
func (r *Relays) Choose(now time.Time, self fleet.Host, target tables.TargetID, hosts []fleet.Host, tried []tables.HostID, random func() float64) (fleet.Host, bool) {
	var best fleet.Host
	var bestCost float64
	found := false
	for _, h := range hosts {
		if h.ID == self.ID || slices.Contains(tried, h.ID) {
			continue
		}
		known := r.of(h.ID)
		if now.Before(known.avoidUntil) || now.Before(known.unreachable[target]) {
			continue
		}
		// The random part spreads the requests of hosts that know the same.
		cost := (float64(known.currentLoad(now)) + random()) / max(h.Cores, minCores)
		if h.Domain != self.Domain {
			cost += crossDomainLoad
		}
		if !found || cost < bestCost {
			best, bestCost, found = h, cost, true
		}
	}
	return best, found
}

// ChooseNamed returns the first host of named that may be asked, or false if there is none.
func (r *Relays) ChooseNamed(now time.Time, target tables.TargetID, hosts []fleet.Host, named, tried []tables.HostID) (fleet.Host, bool) {
	for _, id := range named {
		known := r.of(id)
		if slices.Contains(tried, id) || now.Before(known.avoidUntil) || now.Before(known.unreachable[target]) {
			continue
		}
		if i := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.ID == id }); i >= 0 {
			return hosts[i], true
		}
	}
	return fleet.Host{}, false
}

// minCores bounds the number of cores from below, so that a host that states none has a
// load.
const minCores = 0.05

// Begin records that a host sends a request for this one. The returned function records
// its end.
func (r *Relays) Begin(id tables.HostID) (end func()) {
	known := r.of(id)
	known.inFlight++
	known.load++
	return func() {
		known.inFlight--
		known.load = max(known.load-1, 0)
	}
}

// RecordLoad records how many requests a host said to send for others.
func (r *Relays) RecordLoad(now time.Time, id tables.HostID, load int) {
	known := r.of(id)
	known.load, known.loadAt = load, now
}

// Refused records that a host has refused to send to a target.
func (r *Relays) Refused(now time.Time, id tables.HostID, target tables.TargetID, why Refusal) {
	known := r.of(id)
	switch why {
	case Unreachable, Leaving, Quiet:
		known.avoidFor(now, target, unreachableTime)
	case InDoubt:
		known.avoidFor(now, target, inDoubtTime)
	case CutOff, Busy, Foreign:
		known.avoidUntil = now.Add(avoidTime)
	default:
		known.avoidUntil = now.Add(avoidTime)
	}
}

// avoidFor makes the host get no requests for a target for a time.
func (h *relayHost) avoidFor(now time.Time, target tables.TargetID, d time.Duration) {
	maps.DeleteFunc(h.unreachable, func(_ tables.TargetID, until time.Time) bool { return !now.Before(until) })
	h.unreachable[target] = now.Add(d)
}

// Failed records that a host could not be reached, or was silent for too long.
func (r *Relays) Failed(now time.Time, id tables.HostID) {
	r.of(id).avoidUntil = now.Add(avoidTime)
}

package pool

import (
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// leaveMargin is added to quota.ContactTimeout where a host computes until when a former
	// coordinator counts it. It covers the time that a message is on its way.
	leaveMargin = 100 * time.Millisecond
	// loadsMemory is how long a host relies on the loads of customers that it received with a
	// grant. A customer may become busy meanwhile.
	loadsMemory = 3 * time.Second
)

// localGrants is the key of the local fallback among the coordinators of a host.
const localGrants tables.HostID = ""

// hostUse is what a host tells coordinators so that quotas hold over all of them: which
// coordinator it uses, which one may still count it, and what each has granted to it. It is
// not safe for concurrent use.
type hostUse struct {
	usage *usage
	// epoch rises with each change to another coordinator. It starts at the time of the
	// process start, so that it exceeds those of an earlier process.
	epoch   uint64
	current tables.HostID
	started bool
	// countedUntil holds, by coordinator, until when it may count this host as using it.
	countedUntil map[tables.HostID]time.Time
	// grantors holds the number of the process last seen at each coordinator.
	grantors map[tables.HostID]uint64
	// loads are the loads of customers at loadsAt.
	loads   customerLoads
	loadsAt time.Time
	// localAt is when the local fallback was last told of the use.
	localAt time.Time
}

// coordinatorUse identifies a host's use of a coordinator in messages. Builds before it send none.
type coordinatorUse struct {
	// Epoch rises with each change of the host to another coordinator.
	Epoch uint64 `json:"ep,omitempty"`
	// HeldMS is how long another coordinator may still count the host.
	HeldMS int64 `json:"hd,omitempty"`
}

// leaveMessage tells a coordinator that a host has changed to another one.
type leaveMessage struct {
	Host  tables.HostID `json:"h"`
	Epoch uint64        `json:"ep"`
}

// grantedUse is the use of quotas that one coordinator has granted to a host. Tokens are
// those of quota.HostUse, rounded.
type grantedUse struct {
	Grantor uint64                      `json:"g,omitempty"`
	Tokens  map[tables.CustomerID][]int `json:"t"`
}

// useReport is the use of quotas through a host.
type useReport struct {
	// Except is the coordinator whose grants the report omits; zero if it omits none.
	Except uint64       `json:"x,omitempty"`
	Grants []grantedUse `json:"g,omitempty"`
}

func newHostUse(started time.Time, window time.Duration) *hostUse {
	return &hostUse{
		usage: newUsage(window), epoch: uint64(max(started.UnixMilli(), 1)),
		countedUntil: make(map[tables.HostID]time.Time), grantors: make(map[tables.HostID]uint64),
	}
}

// change records that the host now uses a coordinator. It returns the one it used before, and
// whether that was another one.
func (u *hostUse) change(to tables.HostID) (former tables.HostID, changed bool) {
	former, changed = u.current, !u.started || u.current != to
	if changed {
		u.epoch++
		u.current, u.started = to, true
		// The coordinator may be another process than the last time.
		delete(u.grantors, to)
	}
	return former, changed
}

// address returns what a message to the current coordinator says.
func (u *hostUse) address(now time.Time) coordinatorUse {
	var held time.Duration
	for id, until := range u.countedUntil {
		if id != u.current {
			held = max(held, until.Sub(now))
		}
	}
	if u.current != localGrants {
		u.countedUntil[u.current] = now.Add(quota.ContactTimeout + leaveMargin)
	}
	return coordinatorUse{Epoch: u.epoch, HeldMS: held.Milliseconds()}
}

// left records that a former coordinator has confirmed the message with the given epoch.
func (u *hostUse) left(former tables.HostID, epoch uint64) {
	if u.current != former && epoch == u.epoch {
		delete(u.countedUntil, former)
	}
}

// granted records what a grant says of its coordinator.
func (u *hostUse) granted(now time.Time, from tables.HostID, g grantMessage) {
	if g.Grantor == 0 {
		return
	}
	if from == u.current {
		u.grantors[from] = g.Grantor
	}
	if from != localGrants && g.Loads != nil {
		u.loads, u.loadsAt = *g.Loads, now
	}
}

// load returns the load of a customer as last heard from a coordinator, or the highest one
// if that is too long ago.
func (u *hostUse) load(now time.Time, id tables.CustomerID) quota.Load {
	switch {
	case u.loadsAt.IsZero() || now.Sub(u.loadsAt) > loadsMemory || slices.Contains(u.loads.Busy, id):
		return quota.Busy
	case slices.Contains(u.loads.Active, id):
		return quota.Active
	default:
		return quota.Idle
	}
}

// report returns the use for the current coordinator.
func (u *hostUse) report(now time.Time) *useReport {
	if u.current == localGrants {
		u.localAt = now
	}
	r := &useReport{Except: u.grantors[u.current]}
	byGrantor := make(map[uint64]map[tables.CustomerID][]int)
	for id := range u.usage.byCustomer {
		for _, entry := range u.usage.trim(now, id) {
			if entry.grantor != 0 && entry.grantor == r.Except {
				continue
			}
			tokens := byGrantor[entry.grantor]
			if tokens == nil {
				tokens = make(map[tables.CustomerID][]int)
				byGrantor[entry.grantor] = tokens
				r.Grants = append(r.Grants, grantedUse{Grantor: entry.grantor, Tokens: tokens})
			}
			bin := min(int(now.Sub(entry.at)*quota.UseReportBins/max(u.usage.window, 1)), quota.UseReportBins-1)
			for len(tokens[id]) <= bin {
				tokens[id] = append(tokens[id], 0)
			}
			tokens[id][bin] += entry.tokens
		}
	}
	return r
}

// elsewhere returns the use that other coordinators than the given one have granted, or
// false if the report omits the grants of another one.
func (r *useReport) elsewhere(grantor uint64) (map[tables.CustomerID][]float64, bool) {
	if r.Except != 0 && r.Except != grantor {
		return nil, false
	}
	out := make(map[tables.CustomerID][]float64)
	for _, g := range r.Grants {
		if g.Grantor == grantor {
			continue
		}
		for id, bins := range g.Tokens {
			for len(out[id]) < len(bins) {
				out[id] = append(out[id], 0)
			}
			for i, tokens := range bins {
				out[id][i] += float64(tokens)
			}
		}
	}
	return out, true
}

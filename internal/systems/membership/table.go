// Package membership merges the platform's host list with the contacts and
// reports of peers into one table of hosts. Its state depends only on its
// inputs and on the time passed in.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// unlistedGrace is how long a host that is not down still counts as listed
	// after it was removed from the list.
	unlistedGrace = 30 * time.Second
	// removeAfter is how long the record of an unlisted host is kept after the host
	// was added, removed from the list or last in contact.
	removeAfter = 10 * time.Minute
	// olderListingDelay is how long the platform must return listings with a lower
	// version before one is accepted. The versions may begin again at a low number
	// when the service that provides the list restarts.
	olderListingDelay = 30 * time.Second
)

// State is the membership state of a host.
type State string

// Membership states.
const (
	// Live hosts own targets and claim shards.
	Live State = "live"
	// Leaving hosts finish their work and receive no new work.
	Leaving State = "leaving"
	// Down hosts are unreachable.
	Down State = "down"
	// Unlisted hosts were never in the platform's list, or were removed from it
	// at least unlistedGrace ago.
	Unlisted State = "unlisted"
)

// Contact is the state that a host reports of itself.
type Contact struct {
	Host          tables.HostID
	Incarnation   int64
	Sequence      uint32
	Leaving       bool
	Reach         tables.Reach
	ConfigVersion uint64
}

// Change is a change of a host's state, or, if From and To are equal, of its reach.
type Change struct {
	Host tables.HostID
	From State
	To   State
}

// Table is the membership table of one process. It is not safe for concurrent
// use.
type Table struct {
	self     tables.HostID
	observer bool
	records  map[tables.HostID]*record
	targets  map[tables.TargetID]tables.HostState
	// listingVersion is the version of the last accepted listing. hasListing is
	// false before the first one.
	listingVersion int64
	hasListing     bool
	// olderSince is when the list began to return a lower version than
	// listingVersion; zero if it does not.
	olderSince  time.Time
	updates     map[updateKey]*update
	totalQueued int
}

type record struct {
	tables.Host
	sequence uint32
	// votes maps each host that could not reach this one to the time of its
	// report.
	votes map[tables.HostID]time.Time
	// down is set when quorum hosts failed to reach this one, or this process
	// failed maxOwnFailures times. A newer incarnation or sequence number of
	// the host clears it.
	down bool
	// outdatedDownReport is set when an outdated report says that the host is
	// down. It is cleared by the next contact with the host, including one that
	// another process of this host reports, and by the next failed attempt of this
	// process to contact it.
	outdatedDownReport bool
	// failures is the number of consecutive failed attempts of this process to
	// contact the host.
	failures int
	// delistedAt is when the host was removed from the list; zero if it never
	// was or is listed again.
	delistedAt time.Time
	addedAt    time.Time
	// lastState is the state at the last Tick.
	lastState State
	// lastReach is the reach at the last Tick.
	lastReach tables.Reach
}

// New returns the table of a process on host self. An observer does not
// represent a host: it treats its own host like any other.
func New(now time.Time, self tables.Host, observer bool) *Table {
	t := &Table{
		self:     self.ID,
		observer: observer,
		records:  make(map[tables.HostID]*record),
		targets:  make(map[tables.TargetID]tables.HostState),
		updates:  make(map[updateKey]*update),
	}
	self.Listed = ""
	t.records[self.ID] = &record{Host: self, votes: make(map[tables.HostID]time.Time), addedAt: now, lastState: Unlisted}
	return t
}

func (t *Table) recordOf(now time.Time, id tables.HostID) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{votes: make(map[tables.HostID]time.Time), addedAt: now, lastState: Unlisted}
		r.ID = id
		t.records[id] = r
	}
	return r
}

// ApplyListing applies a listing. A listing with a lower version than the
// current one is accepted only after olderListingDelay. ApplyListing returns
// true if the listing was accepted and its version differs from the current one.
func (t *Table) ApplyListing(now time.Time, l ports.Listing) bool {
	if t.hasListing && l.Version < t.listingVersion {
		if t.olderSince.IsZero() {
			t.olderSince = now
		}
		if now.Sub(t.olderSince) < olderListingDelay {
			return false
		}
	}
	t.olderSince = time.Time{}
	if t.hasListing && l.Version == t.listingVersion {
		return false
	}
	t.hasListing = true
	t.listingVersion = l.Version
	t.targets = maps.Clone(l.Targets)
	t.applyHosts(now, l.Hosts)
	return true
}

func (t *Table) applyHosts(now time.Time, hosts []tables.Host) {
	listed := make(map[tables.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		r := t.recordOf(now, h.ID)
		r.Domain = h.Domain
		r.PeerAddress = h.PeerAddress
		r.Listed = h.Listed
		r.delistedAt = time.Time{}
	}
	for id, r := range t.records {
		if !listed[id] && r.Listed != "" {
			r.Listed = ""
			r.delistedAt = now
		}
	}
}

// TargetState returns the listed state of a target; empty if it is not listed.
func (t *Table) TargetState(id tables.TargetID) tables.HostState { return t.targets[id] }

// TargetStates returns the states of the listed targets. The map must not be
// modified.
func (t *Table) TargetStates() map[tables.TargetID]tables.HostState { return t.targets }

// Ready reports whether the table has a listing, its own or one from a peer.
func (t *Table) Ready() bool {
	if t.hasListing {
		return true
	}
	for _, r := range t.records {
		if r.Listed != "" {
			return true
		}
	}
	return false
}

// State returns the state of a host.
func (t *Table) State(now time.Time, id tables.HostID) State {
	r, ok := t.records[id]
	if !ok {
		return Unlisted
	}
	return r.state(now)
}

func (r *record) state(now time.Time) State {
	listed := r.Listed != "" || (!r.delistedAt.IsZero() && now.Sub(r.delistedAt) < unlistedGrace)
	switch {
	case r.down:
		return Down
	case !listed:
		return Unlisted
	case r.Listed == tables.HostLeaving || r.Leaving:
		return Leaving
	default:
		return Live
	}
}

// Hosts returns all hosts, ordered by ID.
func (t *Table) Hosts() []tables.Host {
	return t.hosts(func(*record) bool { return true })
}

// Live returns the hosts that are live at now, ordered by ID.
func (t *Table) Live(now time.Time) []tables.Host {
	return t.hosts(func(r *record) bool { return r.state(now) == Live })
}

func (t *Table) hosts(want func(*record) bool) []tables.Host {
	var out []tables.Host
	for _, r := range t.records {
		if want(r) {
			out = append(out, r.Host)
		}
	}
	slices.SortFunc(out, func(a, b tables.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Tick expires old votes and records and returns the hosts whose state changed
// since the last Tick, ordered by ID.
func (t *Table) Tick(now time.Time) []Change {
	var out []Change
	for id, r := range t.records {
		r.expireVotes(now)
		state := r.state(now)
		if state != r.lastState || r.Reach.None != r.lastReach.None {
			out = append(out, Change{Host: id, From: r.lastState, To: state})
			r.lastState, r.lastReach = state, r.Reach
		}
		if id != t.self && r.expired(now) {
			delete(t.records, id)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (r *record) expired(now time.Time) bool {
	if r.Listed != "" {
		return false
	}
	latest := slices.MaxFunc([]time.Time{r.addedAt, r.delistedAt, r.LastContact}, time.Time.Compare)
	return now.Sub(latest) >= removeAfter
}

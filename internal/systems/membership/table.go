// Package membership joins the platform's host list with what peers answer
// and report into one table of hosts. It is a function of its inputs and the
// time it is given.
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
	// unlistedGrace is how long a host that has left the list and still
	// answers counts as listed.
	unlistedGrace = 30 * time.Second
	// forgetAfter is when the row of an unlisted, silent host is deleted.
	forgetAfter = 10 * time.Minute
	// olderListingAfter is how long a listing with a lower version must stand
	// before it is believed, for a list that was restarted.
	olderListingAfter = 30 * time.Second
)

// State is what the joined table says of a host.
type State string

// The states of a host.
const (
	// Live hosts own targets and claim shards.
	Live State = "live"
	// Leaving hosts finish what they have and get nothing new.
	Leaving State = "leaving"
	// Down hosts answer nobody.
	Down State = "down"
	// Unlisted hosts are not, or not yet, in the platform's list.
	Unlisted State = "unlisted"
)

// Contact is what a host said of itself.
type Contact struct {
	Host          tables.HostID
	Incarnation   int64
	Sequence      uint32
	Leaving       bool
	ConfigVersion uint64
}

// Change is a host whose state became another.
type Change struct {
	Host tables.HostID
	From State
	To   State
}

// Table is the membership table of one process. One goroutine owns it.
type Table struct {
	self     tables.HostID
	observer bool
	rows     map[tables.HostID]*row
	targets  map[tables.TargetID]tables.HostState
	// listing is the version of the listing taken; hasListing is false before
	// the first one.
	listing    int64
	hasListing bool
	olderSince time.Time
	news       map[newsKey]*news
	told       int
}

type row struct {
	tables.Host
	sequence uint32
	// votes maps the hosts that got no answer to the time of their report.
	votes map[tables.HostID]time.Time
	// down is set once the votes suffice, until the host refutes them.
	down bool
	// doubted is set while an old report says that the host is down.
	doubted bool
	// failures counts this process's own tries in a row without an answer.
	failures int
	// delisted is when the host left the list; zero if it never did.
	delisted time.Time
	added    time.Time
	reported State
}

// New returns the table of a process on host self. An observer speaks for no
// host: its own host is a row like any other.
func New(now time.Time, self tables.Host, observer bool) *Table {
	t := &Table{
		self:     self.ID,
		observer: observer,
		rows:     make(map[tables.HostID]*row),
		targets:  make(map[tables.TargetID]tables.HostState),
		news:     make(map[newsKey]*news),
	}
	self.Listed = ""
	t.rows[self.ID] = &row{Host: self, votes: make(map[tables.HostID]time.Time), added: now, reported: Unlisted}
	return t
}

func (t *Table) row(now time.Time, id tables.HostID) *row {
	r, ok := t.rows[id]
	if !ok {
		r = &row{votes: make(map[tables.HostID]time.Time), added: now, reported: Unlisted}
		r.ID = id
		t.rows[id] = r
	}
	return r
}

// List takes a listing. A listing with a version below the one taken is
// believed only after it has stood for a while. It returns true when the
// listing is taken and differs from the last one.
func (t *Table) List(now time.Time, l ports.Listing) bool {
	if t.hasListing && l.Version < t.listing {
		if t.olderSince.IsZero() {
			t.olderSince = now
		}
		if now.Sub(t.olderSince) < olderListingAfter {
			return false
		}
	}
	t.olderSince = time.Time{}
	if t.hasListing && l.Version == t.listing {
		return false
	}
	t.hasListing = true
	t.listing = l.Version
	t.targets = maps.Clone(l.Targets)
	t.listHosts(now, l.Hosts)
	return true
}

func (t *Table) listHosts(now time.Time, hosts []tables.Host) {
	listed := make(map[tables.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		r := t.row(now, h.ID)
		r.Domain = h.Domain
		r.PeerAddress = h.PeerAddress
		r.Listed = h.Listed
		r.delisted = time.Time{}
	}
	for id, r := range t.rows {
		if !listed[id] && r.Listed != "" {
			r.Listed = ""
			r.delisted = now
		}
	}
}

// Target returns the state that the list gives a target; empty when it is not
// listed.
func (t *Table) Target(id tables.TargetID) tables.HostState { return t.targets[id] }

// Targets returns the listed targets; the map must not be changed.
func (t *Table) Targets() map[tables.TargetID]tables.HostState { return t.targets }

// Ready reports whether the table has a listing, its own or a peer's.
func (t *Table) Ready() bool {
	if t.hasListing {
		return true
	}
	for _, r := range t.rows {
		if r.Listed != "" {
			return true
		}
	}
	return false
}

// State returns the state of a host.
func (t *Table) State(now time.Time, id tables.HostID) State {
	r, ok := t.rows[id]
	if !ok {
		return Unlisted
	}
	return r.state(now)
}

func (r *row) state(now time.Time) State {
	listed := r.Listed != "" || (!r.delisted.IsZero() && now.Sub(r.delisted) < unlistedGrace)
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

// Hosts returns every host by ID.
func (t *Table) Hosts() []tables.Host {
	return t.hosts(func(*row) bool { return true })
}

// Live returns the hosts that are live at now, by ID.
func (t *Table) Live(now time.Time) []tables.Host {
	return t.hosts(func(r *row) bool { return r.state(now) == Live })
}

func (t *Table) hosts(want func(*row) bool) []tables.Host {
	var out []tables.Host
	for _, r := range t.rows {
		if want(r) {
			out = append(out, r.Host)
		}
	}
	slices.SortFunc(out, func(a, b tables.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Tick lets old votes and rows lapse and returns the hosts whose state changed
// since the last Tick, by ID.
func (t *Table) Tick(now time.Time) []Change {
	var out []Change
	for id, r := range t.rows {
		r.expireVotes(now)
		state := r.state(now)
		if state != r.reported {
			out = append(out, Change{Host: id, From: r.reported, To: state})
			r.reported = state
		}
		if id != t.self && r.forgotten(now) {
			delete(t.rows, id)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (r *row) forgotten(now time.Time) bool {
	if r.Listed != "" {
		return false
	}
	latest := slices.MaxFunc([]time.Time{r.added, r.delisted, r.LastHeard}, time.Time.Compare)
	return now.Sub(latest) >= forgetAfter
}

package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/logread"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// pendingAppend is a record that this process has begun to append and has not
// read back yet.
type pendingAppend struct {
	record    lease.Record
	startedAt time.Time
}

// wantedLease is a lease that this process wants to hold.
type wantedLease struct {
	name string
	// preferred is set if this host is the preferred holder.
	preferred bool
}

// leaseManager reads one lease stream and acquires, renews and releases leases
// in it. It is safe for concurrent use.
type leaseManager struct {
	opts   Options
	stream logread.Stream

	mu sync.Mutex
	// table is nil until reading of the stream has started.
	table *lease.Table
	// warmUpEnd is when the warm-up period ends. Until then maintain appends no
	// records, because records of current leases may have been truncated. It is
	// zero before the first read.
	warmUpEnd time.Time
	// caughtUp is set if the latest read reached the end of the stream.
	caughtUp bool
	// everCaughtUp is set once a read has reached the end of the stream, and stays
	// set until reset.
	everCaughtUp bool
	// holds, renewedAt and pending are keyed by the name of the lease. renewedAt
	// is when the append of the latest acquisition or renewal began.
	holds     map[string]lease.Hold
	renewedAt map[string]time.Time
	pending   map[string]pendingAppend
	// freeSince maps the name of a wanted lease that is free to the time when this
	// process first found it free.
	freeSince map[string]time.Time
}

func newLeaseManager(opts Options, stream string) *leaseManager {
	return &leaseManager{
		opts:      opts,
		stream:    logread.Stream{Log: opts.Log, Clock: opts.Clock, Name: stream},
		holds:     make(map[string]lease.Hold),
		renewedAt: make(map[string]time.Time),
		pending:   make(map[string]pendingAppend),
		freeSince: make(map[string]time.Time),
	}
}

// usableHold returns the hold of a lease. The second result is false if this
// process may not send orders under the lease now.
func (m *leaseManager) usableHold(name string) (lease.Hold, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.holds[name]
	return h, ok && h.MayOrder(m.opts.Clock.Now())
}

// available reports whether a lease is free or held by this process. It returns
// false until reading of the stream has started.
func (m *leaseManager) available(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == nil {
		return false
	}
	free := m.table.Free(m.opts.Clock.Now(), name)
	_, held := m.holds[name]
	return free || held
}

func (m *leaseManager) heldNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, h := range m.holds {
		if h.Held(m.opts.Clock.Now()) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// reportedDemand returns the total demand in the stream's reports. known is false
// if there are no reports. ready is false until the stream has been read to its
// end.
func (m *leaseManager) reportedDemand() (rates demand.Rates, known, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.everCaughtUp {
		return nil, false, false
	}
	rates, known = m.table.Demand()
	return rates, known, true
}

package dispatcher

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// minFailures is the number of attempts to connect that must have failed since a target
	// last answered. A target that refused is not tried again for downDuration.
	minFailures = 2
	// minGiveUpTime is how long a host that could not connect gives its targets
	// up. It doubles each time that it still cannot, up to maxGiveUpTime.
	minGiveUpTime = 2 * time.Second
	maxGiveUpTime = 16 * time.Second
)

// targetReach tells whether this host reaches targets. It is safe for concurrent use.
type targetReach struct {
	mu       sync.Mutex
	failures int
	state    tables.Reach
	// claimAt is when the host claims targets again, and giveUpTime the latest time for
	// which it gave them up; zero once a target has answered.
	claimAt    time.Time
	giveUpTime time.Duration
}

// recordFailure records that the host could not connect to a target.
func (r *targetReach) recordFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
	if r.state.None || r.failures < minFailures {
		return
	}
	r.giveUpTime = min(max(2*r.giveUpTime, minGiveUpTime), maxGiveUpTime)
	r.claimAt = now.Add(r.giveUpTime)
	r.set(now, true)
}

// recordAnswer records that a target has answered.
func (r *targetReach) recordAnswer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures, r.giveUpTime = 0, 0
	r.set(now, false)
}

func (r *targetReach) set(now time.Time, none bool) {
	if r.state.None != none {
		r.state = tables.Reach{None: none, ChangedAt: now.UnixNano()}
	}
}

// current returns what the host says of itself.
func (r *targetReach) current(now time.Time) tables.Reach {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.claimAt) {
		r.set(now, false)
	}
	return r.state
}

// Reach returns whether this host reaches targets.
func (d *Dispatcher) Reach() tables.Reach { return d.reach.current(d.Clock.Now()) }

// isDialError reports whether err means that no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

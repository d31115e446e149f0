package quota

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// busyShare is the fraction of a burst below which a customer counts as Busy.
	busyShare = 0.5
	// idleShare is the fraction of the tokens of a window up to which a customer counts as
	// Idle. Hosts are used unevenly: with seven requests of a customer a host and window, its
	// hosts rarely use twice the mean.
	idleShare = 0.5
)

// Load says how much of a quota a customer uses over all hosts.
type Load uint8

// Loads of a customer.
const (
	// Busy customers may have used a burst shortly before.
	Busy Load = iota
	// Active customers may use a burst.
	Active
	// Idle customers use at most half of what they may.
	Idle
)

// Loads returns the customers that are Busy and those that are Active. All others are Idle.
func (b *Buckets) Loads(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64) (busy, active []tables.CustomerID) {
	for id := range b.buckets {
		q := quotas[id]
		if q.TokensPerSecond <= 0 {
			continue
		}
		bucket := b.refill(now, id, q, share)
		used := bucket.used.total + bucket.elsewhere.total + b.assumed(now, q)
		room := (b.windowLimit(q) - used) * share
		switch {
		case min(bucket.level, room) < busyShare*b.burst(q, share):
			busy = append(busy, id)
		case used > idleShare*b.windowLimit(q):
			active = append(active, id)
		}
	}
	return busy, active
}

// StartLocal sets how much of its share of a quota each customer may use at once when a host
// begins to grant to itself. For a busy customer, the coordinator may have granted a burst
// shortly before. For an idle one, the limit of a window is enough: the shares of all hosts
// and what was used before stay within it.
func (b *Buckets) StartLocal(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64, load func(tables.CustomerID) Load) {
	for id, q := range quotas {
		if q.TokensPerSecond <= 0 {
			continue
		}
		bucket := b.refill(now, id, q, share)
		bucket.idleCredit = 0
		switch load(id) {
		case Busy:
			bucket.level = b.initialLevel(q, share)
		case Active:
			bucket.level = b.burst(q, share)
		case Idle:
			bucket.level = b.burst(q, share)
			bucket.idleCredit = b.windowLimit(q) / float64(max(b.hostCount, 1))
		}
	}
}

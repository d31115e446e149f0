package quota

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// ContactTimeout is the time from the last message of a host until it no longer counts
	// as using a coordinator. Each host sends a message at least once a second.
	ContactTimeout = 1500 * time.Millisecond
	// heldShare is the fraction of a host's share that is granted while another coordinator
	// may still grant it, too. It serves customers that use little of their quotas, and the
	// margin covers it: 0.2 of the rate of half the hosts for the 1.1 s that ContactTimeout
	// exceeds the time in which hosts notice a silent coordinator.
	heldShare = 0.2
	// forgetAfterWindows is the number of windows after which the record of a silent host is
	// removed. Its use of all of the window is unknown by then.
	forgetAfterWindows = 2
)

// Contact is a message by which a host uses a coordinator.
type Contact struct {
	Host tables.HostID
	// Epoch rises whenever the host changes to another coordinator. It is zero if the host
	// does not tell it.
	Epoch uint64
	// Held is how long another coordinator that the host used before may still count it.
	Held time.Duration
}

// hostState is what a coordinator knows of the use of quotas through one host.
type hostState struct {
	epoch uint64
	// using is true while the host uses this coordinator.
	using       bool
	lastContact time.Time
	// heldUntil is when no other coordinator counts the host any more.
	heldUntil time.Time
	// unknown is true if it is not known what other coordinators granted to the host
	// between unknownFrom and unknownTo. For a host that does not use this coordinator, the
	// period has no end.
	unknown                bool
	unknownFrom, unknownTo time.Time
	// reported is true once the host has reported its use since the last call of Forget.
	reported bool
	// elsewhere is the use through this host that other coordinators granted.
	elsewhere []use
}

// use is the tokens of a customer used in an interval.
type use struct {
	customer tables.CustomerID
	interval int64
	tokens   float64
}

// SetHostCount sets the number of hosts of the deployment. Before the first call, hosts are not
// tracked. While the number is not known, there may be fleet.MaxHosts of them.
func (b *Buckets) SetHostCount(c fleet.HostCount) {
	_, known := c.Known()
	b.hostCountUnknown = !known
	if b.hostCount != c.Most() {
		b.hostCount = c.Most()
		b.unknownUse.valid = false
	}
}

// Contact records that a host uses this coordinator. What other coordinators granted to the
// host since its last contact is unknown until its next report. A message that the host sent
// before it changed to another coordinator is ignored.
func (b *Buckets) Contact(now time.Time, c Contact) {
	h := b.hosts[c.Host]
	if h == nil {
		h = &hostState{unknown: true, unknownFrom: now.Add(-b.window()), epoch: c.Epoch}
		b.hosts[c.Host] = h
	}
	if c.Epoch != 0 && c.Epoch < h.epoch {
		return
	}
	if !h.using || now.Sub(h.lastContact) > ContactTimeout || c.Epoch != h.epoch {
		h.loseTrack()
		h.unknownTo = now
		h.using = true
		b.joinedAt = now
		b.unknownUse.valid = false
	}
	held := now.Add(c.Held)
	if now.Before(h.heldUntil) != now.Before(held) {
		b.unknownUse.valid = false
	}
	h.epoch, h.lastContact, h.heldUntil = c.Epoch, now, held
}

// loseTrack records that the use of the host is unknown from its last contact on.
func (h *hostState) loseTrack() {
	if !h.unknown {
		h.unknown, h.unknownFrom = true, h.lastContact
	}
	h.using = false
}

// Leave records that a host has changed to another coordinator. epoch is that after the
// change.
func (b *Buckets) Leave(now time.Time, host tables.HostID, epoch uint64) {
	h := b.hosts[host]
	if h == nil || epoch <= h.epoch {
		return
	}
	if h.using {
		h.lastContact = now
	}
	h.epoch = epoch
	h.loseTrack()
	b.unknownUse.valid = false
}

// Forget records that other coordinators may have granted any part of the quotas, because
// this host takes over as the coordinator. What it granted itself stays recorded.
func (b *Buckets) Forget(now time.Time) {
	b.countingSince = now
	b.knownShare = 0
	for _, h := range b.hosts {
		h.loseTrack()
		h.reported = false
	}
	for _, bucket := range b.buckets {
		bucket.restart, bucket.idleCredit = true, 0
	}
	b.unknownUse.valid = false
}

// Share returns the fraction of the quotas that this coordinator may grant: that of the
// hosts that use it.
func (b *Buckets) Share(now time.Time) float64 {
	if b.hostCount == 0 {
		return 1
	}
	return b.currentUnknown(now).shareUsing
}

// Settling reports whether hosts that the coordinator lacks may still change to it: there are
// such hosts, and another one has changed in the given time.
func (b *Buckets) Settling(now time.Time, within time.Duration) bool {
	return b.hostCount > 0 && now.Sub(b.joinedAt) < within && b.Share(now) < 1
}

// HostUse is a host's report of the use that other coordinators have granted to it.
type HostUse struct {
	Host tables.HostID
	// Tokens are the tokens of each customer by age. The element at index i covers the ages
	// from i to i+1 times the window divided by UseReportBins.
	Tokens map[tables.CustomerID][]float64
	// Period is the period that the report covers, up to now.
	Period time.Duration
}

// UseReportBins is the number of periods into which a HostUse divides the window. With 16 of
// them, use counts for at most half a second too long in a window of 8 s, and a report of a
// host with 15 customers stays below a kilobyte.
const UseReportBins = 16

// ReplaceHostUse replaces what is known of the use through a host that other coordinators
// granted. It has no effect for a host without contact. quotas and share are those of
// ApplyReport.
func (b *Buckets) ReplaceHostUse(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64, r HostUse) {
	h := b.hosts[r.Host]
	if h == nil {
		return
	}
	for _, u := range h.elsewhere {
		b.addElsewhere(now, u, -u.tokens)
	}
	h.elsewhere = h.elsewhere[:0]
	newest := b.intervalAt(now)
	for id, bins := range r.Tokens {
		q := quotas[id]
		if q.TokensPerSecond <= 0 {
			continue
		}
		b.refill(now, id, q, share)
		for i, tokens := range bins[:min(len(bins), UseReportBins)] {
			u := use{id, newest - int64(i*windowIntervals/UseReportBins), tokens}
			if tokens > 0 {
				b.addElsewhere(now, u, tokens)
				h.elsewhere = append(h.elsewhere, u)
			}
		}
	}
	b.markReported(now, quotas, share, h, r.Period)
}

func (b *Buckets) addElsewhere(now time.Time, u use, tokens float64) {
	if bucket := b.buckets[u.customer]; bucket != nil {
		bucket.elsewhere.advance(b.intervalAt(now))
		bucket.elsewhere.add(u.interval, tokens)
	}
}

// markReported records that the use of a host in the last period is known.
func (b *Buckets) markReported(now time.Time, quotas map[tables.CustomerID]fleet.Quota, share float64, h *hostState, period time.Duration) {
	b.unknownUse.valid = false
	if period < b.window() {
		if knownFrom := now.Add(-period); h.unknown && knownFrom.Before(h.unknownTo) {
			h.unknownTo = knownFrom
		}
		return
	}
	h.unknown = false
	if !h.reported {
		h.reported = true
		b.raiseLevels(now, quotas, share, 1/float64(max(b.hostCount, 1)))
	}
}

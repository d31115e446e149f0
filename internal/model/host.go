package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	pumpInterval = 20 * time.Millisecond
	readRetry    = 200 * time.Millisecond
)

// host is one machine: home of keys, gate and dispatcher in one.
type host struct {
	w           *world
	name        tables.HostID
	offset      time.Duration
	up          bool
	incarnation int64
	pausedUntil time.Time

	shard   *claim.Shard
	replies map[claim.Ticket]func(claim.Result)
	from    int64
	started bool
	target  int64
	ready   bool
	pumping bool

	flights map[tables.RequestID]*flight
	jobs    map[tables.RequestID]*job
}

// start begins a new process with empty memory.
func (h *host) start() {
	h.up = true
	h.incarnation++
	h.shard = claim.NewShard(claim.Settings{
		Limits:       claim.Limits{Window: window, Skew: clockSkew},
		Host:         h.name,
		Incarnation:  h.incarnation,
		AppendGrace:  300 * time.Millisecond,
		MaxBackoff:   time.Second,
		StallTimeout: acquireTimeout,
		OutcomeDelay: 50 * time.Millisecond,
	}, &claim.Sequences{})
	h.replies = make(map[claim.Ticket]func(claim.Result))
	h.flights = make(map[tables.RequestID]*flight)
	h.jobs = make(map[tables.RequestID]*job)
	h.from, h.started, h.ready, h.pumping = 0, false, false, false
	h.readSoon(h.w.sim.delay())
}

func (h *host) crash() {
	h.w.count.Crashes++
	h.up = false
	for _, f := range h.flights {
		f.gateLost(h.w.sim.time)
	}
	h.w.sim.after(h.w.sim.between(100*time.Millisecond, 5*time.Second), func() { h.start() })
}

func (h *host) pause(d time.Duration) {
	h.w.count.Pauses++
	h.pausedUntil = h.w.sim.time.Add(d)
}

// now is the host's clock.
func (h *host) now() time.Time { return h.w.sim.time.Add(h.offset) }

// post runs f on the host, after its pause, unless its process has died.
func (h *host) post(f func()) {
	if !h.up {
		return
	}
	if wait := h.pausedUntil.Sub(h.w.sim.time); wait > 0 {
		incarnation := h.incarnation
		h.w.sim.after(wait, func() {
			if h.up && h.incarnation == incarnation {
				h.post(f)
			}
		})
		return
	}
	f()
}

// later posts f after d, if the process still lives then.
func (h *host) later(d time.Duration, f func()) {
	incarnation := h.incarnation
	h.w.sim.after(d, func() {
		if h.up && h.incarnation == incarnation {
			h.post(f)
		}
	})
}

// call sends a message to another host; it may get lost.
func (h *host) call(to *host, f func()) {
	if h.w.sim.chance(h.w.faults.lostMessage) {
		h.w.count.LostMessages++
		return
	}
	h.w.sim.after(h.w.sim.delay(), func() { to.post(f) })
}

// pump lets the claim system go on and comes back while it has work.
func (h *host) pump() {
	now := h.now()
	h.shard.Tick(now)
	h.shard.Table().Tick(now)
	if b, ok := h.shard.NextBatch(now); ok {
		incarnation := h.incarnation
		h.w.log.append(b, func(r claim.AppendResult) {
			if h.up && h.incarnation == incarnation {
				h.post(func() { h.appended(b.Number, r) })
			}
		})
	}
	h.deliver()
	if !h.pumping && !h.shard.Idle() {
		h.pumping = true
		h.later(pumpInterval, func() {
			h.pumping = false
			h.pump()
		})
	}
}

func (h *host) appended(number uint64, r claim.AppendResult) {
	h.shard.AppendDone(h.now(), number, r)
	h.pump()
}

func (h *host) deliver() {
	for _, s := range h.shard.TakeCompleted() {
		if reply := h.replies[s.Ticket]; reply != nil {
			delete(h.replies, s.Ticket)
			reply(s.Result)
		}
	}
}

// readSoon fetches the new part of the stream after d.
func (h *host) readSoon(d time.Duration) {
	h.later(d, func() {
		p := h.w.log.read(h.from)
		if h.w.sim.chance(h.w.faults.pause) {
			h.pause(h.w.sim.between(time.Millisecond, 10*time.Second))
		}
		h.post(func() { h.fold(p) })
	})
}

func (h *host) fold(p page) {
	now := h.now()
	switch {
	case p.from != h.from:
		if p.next > h.from {
			h.readSoon(0)
		}
		return
	case p.failed:
		h.shard.MarkLogDown(now)
		h.readSoon(readRetry)
		h.pump()
		return
	case p.truncated:
		h.shard.Reset()
		h.from, h.started, h.ready = p.first, false, false
		h.readSoon(0)
		return
	}
	if !h.started {
		h.started = true
		h.target = p.next
		if p.from > 0 {
			h.shard.Table().MarkTruncated(oldest(p, now))
		}
	}
	for _, r := range p.records {
		b, err := claim.Decode(r.data)
		if err != nil {
			h.w.fail("record %d does not decode: %v", r.offset, err)
			continue
		}
		h.shard.ReadRecord(now, r.offset, r.at, b)
	}
	h.shard.Decide(now)
	h.from += int64(len(p.records))
	h.ready = h.ready || h.from >= h.target
	h.pump()
}

func oldest(p page, now time.Time) time.Time {
	if len(p.records) > 0 {
		return p.records[0].at
	}
	return now
}

// acquire is the home's side of an Acquire.
func (h *host) acquire(ask claim.AcquireRequest, reply func(claim.Result)) {
	if !h.ready {
		reply(claim.Result{Err: errkind.New(errkind.ClaimsUnavailable, "not read yet")})
		return
	}
	now := h.now()
	ask.Deadline = now.Add(acquireTimeout)
	h.replies[h.shard.Acquire(now, ask)] = reply
	h.pump()
}

// record is the home's side of a Record.
func (h *host) record(o claim.Outcome) {
	h.shard.Record(h.now(), o)
	h.pump()
}

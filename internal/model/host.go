package model

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	pumpInterval   = 20 * time.Millisecond
	readRetryDelay = 200 * time.Millisecond
)

// host is a simulated machine. It serves acquire calls for claims, and it is gate and
// dispatcher for requests.
type host struct {
	w    *world
	name tables.HostID
	// clockOffset is the difference between the host's clock and virtual time.
	clockOffset time.Duration
	up          bool
	incarnation int64
	pausedUntil time.Time

	shard *claim.Shard
	// acquireCallbacks holds the callbacks of acquire calls without a result.
	acquireCallbacks map[claim.Ticket]func(claim.Result)
	// nextOffset is the offset of the first log record that the host has not read.
	nextOffset  int64
	readStarted bool
	// readyOffset is the end of the log at the first read after a start or a reset. The host
	// is ready, and serves acquire calls, once it has read the log up to there.
	readyOffset   int64
	ready         bool
	pumpScheduled bool

	gateRequests map[tables.RequestID]*gateRequest
	jobs         map[tables.RequestID]*job
}

// start starts a new process, which has no state of the previous one.
func (h *host) start() {
	h.up = true
	h.incarnation++
	h.shard = claim.NewShard(claim.Settings{
		Limits:       claim.Limits{Window: keyWindow, Skew: clockSkew},
		Host:         h.name,
		Incarnation:  h.incarnation,
		AppendGrace:  300 * time.Millisecond,
		MaxBackoff:   time.Second,
		StallTimeout: acquireTimeout,
		OutcomeDelay: 50 * time.Millisecond,
	}, &claim.Sequences{})
	h.acquireCallbacks = make(map[claim.Ticket]func(claim.Result))
	h.gateRequests = make(map[tables.RequestID]*gateRequest)
	h.jobs = make(map[tables.RequestID]*job)
	h.nextOffset, h.readStarted, h.ready, h.pumpScheduled = 0, false, false, false
	h.scheduleRead(h.w.sim.messageDelay())
}

// crash stops the process of the host. A new process starts 0.1 to 5 s later.
func (h *host) crash() {
	h.w.count.Crashes++
	h.up = false
	for _, req := range h.gateRequests {
		req.markContactLost(h.w.sim.now)
	}
	h.w.sim.after(h.w.sim.between(100*time.Millisecond, 5*time.Second), func() { h.start() })
}

// pause stops the host from running events for d.
func (h *host) pause(d time.Duration) {
	h.w.count.Pauses++
	h.pausedUntil = h.w.sim.now.Add(d)
}

// now returns the time of the host's clock.
func (h *host) now() time.Time { return h.w.sim.now.Add(h.clockOffset) }

// post runs f on the host. If the host is paused, f runs after the pause, unless the
// process has crashed by then. If the host is down, f does not run.
func (h *host) post(f func()) {
	if !h.up {
		return
	}
	if wait := h.pausedUntil.Sub(h.w.sim.now); wait > 0 {
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

// postAfter posts f after d, unless the process has crashed by then.
func (h *host) postAfter(d time.Duration, f func()) {
	incarnation := h.incarnation
	h.w.sim.after(d, func() {
		if h.up && h.incarnation == incarnation {
			h.post(f)
		}
	})
}

// sendTo sends a message to another host, which runs f when it arrives. The message may
// be lost.
func (h *host) sendTo(to *host, f func()) {
	if h.w.sim.chance(h.w.faults.lostMessage) {
		h.w.count.LostMessages++
		return
	}
	h.w.sim.after(h.w.sim.messageDelay(), func() { to.post(f) })
}

// pump starts the next append of the claim shard if one is due, and delivers results.
// It runs again every pumpInterval until the shard is idle.
func (h *host) pump() {
	now := h.now()
	h.shard.Tick(now)
	h.shard.Table().Tick(now)
	if b, ok := h.shard.NextBatch(now); ok {
		incarnation := h.incarnation
		h.w.log.append(b, func(r claim.AppendResult) {
			if h.up && h.incarnation == incarnation {
				h.post(func() { h.onAppendDone(b.Number, r) })
			}
		})
	}
	h.deliverResults()
	if !h.pumpScheduled && !h.shard.Idle() {
		h.pumpScheduled = true
		h.postAfter(pumpInterval, func() {
			h.pumpScheduled = false
			h.pump()
		})
	}
}

// onAppendDone passes the result of an append to the claim shard.
func (h *host) onAppendDone(number uint64, r claim.AppendResult) {
	h.shard.AppendDone(h.now(), number, r)
	h.pump()
}

// deliverResults calls the callbacks of the completed acquire calls.
func (h *host) deliverResults() {
	for _, completed := range h.shard.TakeCompleted() {
		if reply := h.acquireCallbacks[completed.Ticket]; reply != nil {
			delete(h.acquireCallbacks, completed.Ticket)
			reply(completed.Result)
		}
	}
}

// scheduleRead reads the log from nextOffset on, after d.
func (h *host) scheduleRead(d time.Duration) {
	h.postAfter(d, func() {
		p := h.w.log.read(h.nextOffset)
		if h.w.sim.chance(h.w.faults.pause) {
			h.pause(h.w.sim.between(time.Millisecond, 10*time.Second))
		}
		h.post(func() { h.applyPage(p) })
	})
}

// applyPage applies a page of the log to the claim shard. A page that was requested
// with an offset other than the present nextOffset is dropped.
func (h *host) applyPage(p page) {
	now := h.now()
	switch {
	case p.requestedOffset != h.nextOffset:
		if p.endOffset > h.nextOffset {
			h.scheduleRead(0)
		}
		return
	case p.failed:
		h.shard.MarkLogDown(now)
		h.scheduleRead(readRetryDelay)
		h.pump()
		return
	case p.truncated:
		h.shard.Reset()
		h.nextOffset, h.readStarted, h.ready = p.firstOffset, false, false
		h.scheduleRead(0)
		return
	}
	if !h.readStarted {
		h.readStarted = true
		h.readyOffset = p.endOffset
		if p.requestedOffset > 0 {
			h.shard.Table().MarkTruncated(oldestTime(p, now))
		}
	}
	for _, r := range p.records {
		b, err := claim.Decode(r.data)
		if err != nil {
			h.w.addViolation("record %d does not decode: %v", r.offset, err)
			continue
		}
		h.shard.ReadRecord(now, r.offset, r.at, b)
	}
	h.shard.Decide(now)
	h.nextOffset += int64(len(p.records))
	h.ready = h.ready || h.nextOffset >= h.readyOffset
	h.pump()
}

// oldestTime returns the time of the first record of the page, or now if it has none.
func oldestTime(p page, now time.Time) time.Time {
	if len(p.records) > 0 {
		return p.records[0].at
	}
	return now
}

// handleAcquire handles an acquire call. It refuses the call until the host is ready.
func (h *host) handleAcquire(acquire claim.AcquireRequest, reply func(claim.Result)) {
	if !h.ready {
		reply(claim.Result{Err: errkind.New(errkind.ClaimsUnavailable, "not read yet")})
		return
	}
	now := h.now()
	acquire.Deadline = now.Add(acquireTimeout)
	h.acquireCallbacks[h.shard.Acquire(now, acquire)] = reply
	h.pump()
}

// handleRecord passes an outcome to the claim shard, which records it in the log.
func (h *host) handleRecord(o claim.Outcome) {
	h.shard.Record(h.now(), o)
	h.pump()
}

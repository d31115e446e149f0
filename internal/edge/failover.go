package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/allocation"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// errIdleTimeout is the cancellation cause of a call whose target sent nothing
// for too long, once another target has a slot for the request.
var errIdleTimeout = errors.New("the target fell silent")

const (
	// minIdleTimeout is the shortest idle timeout. A sound target may be silent for a
	// second.
	minIdleTimeout = 1200 * time.Millisecond
	// firstByteIdleFactor and eventGapIdleFactor set the idle timeout as
	// multiples of the expected time to the first byte and of the event-gap
	// SLO.
	firstByteIdleFactor = 6
	eventGapIdleFactor  = 3
	// callerIdleShare bounds the idle timeout of a stream, as a fraction of the time
	// after which its caller leaves, so that another target can continue it before.
	callerIdleShare = 0.6
)

// eventIdleTimeout returns how long a target may take for its next event. longestGap
// is the longest gap between two events of the stream so far: a slow target that
// keeps its pace is not left. callerTimeout is zero if callers do not leave.
func eventIdleTimeout(gapSLO, longestGap, callerTimeout time.Duration) time.Duration {
	timeout := max(eventGapIdleFactor*max(gapSLO, longestGap), minIdleTimeout)
	if callerTimeout > 0 {
		timeout = min(timeout, max(time.Duration(callerIdleShare*float64(callerTimeout)), minIdleTimeout))
	}
	return timeout
}

// heldSlot is a slot at a target that this host knows.
type heldSlot struct {
	grant  *pool.Grant
	target fleet.Target
	// waited is the time from the request for the slot to its grant.
	waited time.Duration
}

// release gives back the slot, to which nothing was sent.
func (s *heldSlot) release() {
	if s != nil {
		s.grant.Release(allocation.Unused, 0)
	}
}

// failover seeks a slot at another target while the target of a call sends nothing
// for too long. The call goes on until there is one: a sound target may fall silent
// for a while, and its late answer is better than none. It is used only for requests
// that may be retried. For others a late answer is always better than a retry, which
// could run the request twice. It is safe for concurrent use.
type failover struct {
	clock clockwork.Clock
	seek  seekSlot
	// cancelCall ends the call.
	cancelCall context.CancelCauseFunc

	mu      sync.Mutex
	timer   clockwork.Timer
	timeout time.Duration
	// lastByteAt is when the target last sent something; zero if it has sent nothing.
	lastByteAt time.Time
	// search is the search in progress; nil if there is none.
	search *slotSearch
	// slot is the slot that was found.
	slot *heldSlot
	// paused is true while the caller takes up what the target has sent.
	paused  bool
	stopped bool
}

// seekSlot requests a slot at another target. lastByteAt is when the target of the call
// last sent something; zero if it has sent nothing.
type seekSlot func(ctx context.Context, lastByteAt time.Time) (*heldSlot, error)

// slotSearch is one search for a slot. withdraw ends it.
type slotSearch struct{ withdraw context.CancelFunc }

// startFailover starts a failover whose first idle timeout is d. Searches end with ctx.
func startFailover(ctx context.Context, clock clockwork.Clock, d time.Duration, seek seekSlot, cancelCall context.CancelCauseFunc) *failover {
	f := &failover{clock: clock, seek: seek, cancelCall: cancelCall, timeout: d}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = clock.AfterFunc(d, func() { f.onSilence(ctx) })
	return f
}

// onSilence searches for a slot. If it finds none, it searches again after another
// idle timeout.
func (f *failover) onSilence(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	current := &slotSearch{withdraw: cancel}
	lastByteAt, began := f.begin(current)
	if !began {
		return
	}
	slot, err := f.seek(ctx, lastByteAt)
	if !f.conclude(current, slot, err) {
		slot.release()
	}
}

func (f *failover) begin(s *slotSearch) (lastByteAt time.Time, began bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || f.paused || f.search != nil || f.slot != nil {
		return time.Time{}, false
	}
	f.search = s
	return f.lastByteAt, true
}

// conclude ends a search. It returns false if the slot is not needed.
func (f *failover) conclude(s *slotSearch, slot *heldSlot, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.search != s {
		return false
	}
	f.search = nil
	if err != nil {
		f.timer.Reset(f.timeout)
		return true
	}
	f.slot = slot
	f.cancelCall(errIdleTimeout)
	return true
}

// reset records that the target has sent something. Its next idle timeout is d.
func (f *failover) reset(d time.Duration) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.paused = false
	f.timeout = d
	f.lastByteAt = f.clock.Now()
	f.withdrawLocked()
	f.timer.Reset(d)
}

// pause records that the target has sent something. Until reset is called the target
// does not count as silent: the caller may be slow to take up what was sent.
func (f *failover) pause() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused = true
	f.withdrawLocked()
	f.timer.Stop()
}

// stop ends the failover. It returns the slot at another target that was found; nil
// if there is none.
func (f *failover) stop() *heldSlot {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.withdrawLocked()
	f.timer.Stop()
	found := f.slot
	f.slot = nil
	return found
}

// withdrawLocked ends the search in progress. The lock must be held.
func (f *failover) withdrawLocked() {
	if f.search != nil {
		f.search.withdraw()
		f.search = nil
	}
}

// newFailover starts the failover of a call to current. It returns nil if the request
// may not be sent to another target.
func (ex *exchange) newFailover(ctx context.Context, current *heldSlot, cancelCall context.CancelCauseFunc) *failover {
	if !ex.mayFailOver(current.target.ID) || ex.relay.started && !ex.relay.resumable() {
		return nil
	}
	// The search runs beside the call, which changes the state of the exchange.
	need := ex.need()
	need.retry, need.avoid = true, slices.Concat(ex.tried, ex.restarted, []tables.TargetID{current.target.ID})
	seek := func(ctx context.Context, lastByteAt time.Time) (*heldSlot, error) {
		need := need
		if !lastByteAt.IsZero() {
			need.continueStream(lastByteAt, current.target.Version)
		}
		slot, err := ex.acquireSlot(ctx, need)
		if ctx.Err() == nil {
			ex.logSilence(current.target, slot, err)
		}
		return slot, err
	}
	timeout := max(firstByteIdleFactor*current.grant.ExpectedFirstByte, minIdleTimeout)
	return startFailover(ctx, ex.server.Clock, timeout, seek, cancelCall)
}

func (ex *exchange) logSilence(silent fleet.Target, slot *heldSlot, err error) {
	fields := []zap.Field{zap.String("request", ex.request.ID), zap.String("target", string(silent.ID))}
	if slot != nil {
		fields = append(fields, zap.String("next", string(slot.target.ID)))
	}
	event.TargetSilent.Log(ex.server.Logger, append(fields, zap.Error(err))...)
}

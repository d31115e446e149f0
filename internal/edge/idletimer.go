package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// errIdleTimeout is the cancellation cause of a call whose target sent nothing
// for too long.
var errIdleTimeout = errors.New("the target fell silent")

const (
	// minIdleTimeout is the shortest idle timeout.
	minIdleTimeout = time.Second
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
// keeps its pace is not cut off. callerTimeout is zero if callers do not leave.
func eventIdleTimeout(gapSLO, longestGap, callerTimeout time.Duration) time.Duration {
	timeout := max(eventGapIdleFactor*max(gapSLO, longestGap), minIdleTimeout)
	if callerTimeout > 0 {
		timeout = min(timeout, max(time.Duration(callerIdleShare*float64(callerTimeout)), minIdleTimeout))
	}
	return timeout
}

// idleTimer cancels a call whose target sends nothing for too long. It is used
// only for requests that may be retried. For others a late response is better
// than a retry, which could run the request twice.
type idleTimer struct {
	mu     sync.Mutex
	timer  clockwork.Timer
	cancel context.CancelCauseFunc
}

// startIdleTimer starts a timer that cancels the call after d.
func startIdleTimer(clock clockwork.Clock, d time.Duration, cancel context.CancelCauseFunc) *idleTimer {
	t := &idleTimer{cancel: cancel}
	t.timer = clock.AfterFunc(d, func() { cancel(errIdleTimeout) })
	return t
}

// reset restarts the timer with d.
func (t *idleTimer) reset(d time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Reset(d)
}

// stop stops the timer.
func (t *idleTimer) stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

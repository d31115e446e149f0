package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// shutdownRetryAfter is when a caller that is refused because of a planned stop may try another
// host, which it may do at once.
const shutdownRetryAfter = 100 * time.Millisecond

// errEndsBefore is the cause of a wait that was ended because the process is likely to end before
// the request could have been served.
var errEndsBefore = errors.New("the host is stopping and is likely to end before the request")

// Shutdown announces the planned end of the process to its requests. It is safe for concurrent
// use. A nil Shutdown never begins.
type Shutdown struct {
	begun context.Context
	begin context.CancelFunc
	once  sync.Once
	// endsAt is valid once begun has ended.
	endsAt time.Time
	// closed is true once no new connections arrive.
	closed atomic.Bool
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown {
	s := &Shutdown{}
	s.begun, s.begin = context.WithCancel(context.Background())
	return s
}

// Begin announces that the process ends the requests that are still in progress at a time. Only
// the first call has an effect.
func (s *Shutdown) Begin(endsAt time.Time) {
	s.once.Do(func() {
		s.endsAt = endsAt
		s.begin()
	})
}

// RecordClosed records that no new connections arrive any more.
func (s *Shutdown) RecordClosed() { s.closed.Store(true) }

// end returns when the process ends its requests, and whether that is known yet.
func (s *Shutdown) end() (at time.Time, begun bool) {
	if s == nil || s.begun.Err() == nil {
		return time.Time{}, false
	}
	return s.endsAt, true
}

// isClosed reports whether no new connections arrive any more.
func (s *Shutdown) isClosed() bool { return s != nil && s.closed.Load() }

// onBegin calls f in a goroutine of its own once the shutdown has begun, unless stop was called
// before.
func (s *Shutdown) onBegin(f func()) (stop func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.begun, f)
}

// endOfProcess returns when the process ends the request, and whether it does: a request whose
// deadline is before is not concerned.
func (ex *exchange) endOfProcess() (at time.Time, ends bool) {
	at, begun := ex.server.Shutdown.end()
	if !begun || !ex.deadline.IsZero() && !ex.deadline.After(at) {
		return time.Time{}, false
	}
	return at, true
}

// checkStopping returns an error if the process may end before the request does, and no new
// connections arrive any more. The caller reached it on a connection that was kept open by an
// answer begun before the stop.
func (ex *exchange) checkStopping() error {
	if _, ends := ex.endOfProcess(); ends && ex.server.Shutdown.isClosed() {
		return ex.shuttingDownError()
	}
	return nil
}

// checkBegin returns an error if the process is likely to end before the request could be
// completed that begins now.
func (ex *exchange) checkBegin() error {
	endsAt, ends := ex.endOfProcess()
	now := ex.server.Clock.Now()
	if ends && now.After(ex.server.history.outlook(ex, 0).LatestBegin(endsAt)) {
		return ex.shuttingDownError()
	}
	return nil
}

func (ex *exchange) shuttingDownError() error {
	waited := ex.server.Clock.Now().Sub(ex.request.Arrived)
	return errkind.NewRetry(errkind.ShuttingDown, fmt.Sprintf("%v, which has waited %v", errEndsBefore, waited.Round(time.Millisecond)), shutdownRetryAfter)
}

// whileServable returns a context for the wait for a slot. It ends with ctx, or with errEndsBefore
// once the caller is better off at another host since this one is stopping. The caller of
// whileServable must call done at the end of the wait.
func (ex *exchange) whileServable(ctx context.Context) (waiting context.Context, done func()) {
	begunAt := ex.server.Clock.Now()
	return ex.untilEnd(ctx, func(now, endsAt time.Time) time.Time {
		return ex.server.history.outlook(ex, now.Sub(begunAt)).WaitUntil(now, endsAt)
	})
}

// untilEnd returns a context that ends with ctx, or with errEndsBefore at a time that latest returns
// once the process is to end its requests at endsAt.
func (ex *exchange) untilEnd(ctx context.Context, latest func(now, endsAt time.Time) time.Time) (bounded context.Context, done func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	stop := ex.server.Shutdown.onBegin(func() {
		endsAt, ends := ex.endOfProcess()
		if !ends {
			return
		}
		now := ex.server.Clock.Now()
		if ex.sleep(bounded, latest(now, endsAt).Sub(now)) {
			cancel(errEndsBefore)
		}
	})
	return bounded, func() {
		stop()
		cancel(nil)
	}
}

// sleep waits for d. It returns false if ctx has ended before.
func (ex *exchange) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := ex.server.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// endedByShutdown reports whether a wait that began with ctx was ended by the shutdown.
func endedByShutdown(ctx, waiting context.Context) bool {
	return ctx.Err() == nil && errors.Is(context.Cause(waiting), errEndsBefore)
}

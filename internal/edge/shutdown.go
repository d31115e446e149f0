package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/shutdown"
)

// shutdownRetryAfter is when a caller that is refused because of a planned stop may try another
// host, which it may do at once.
const shutdownRetryAfter = 100 * time.Millisecond

// usualRunShare is the part of the time until its deadline that a request is expected to run if
// too little is known of its route.
const usualRunShare = 0.5

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

// AtTargets returns the number of requests that are at a target now.
func (s *Server) AtTargets() int { return int(s.atTargets.Load()) }

// runHistory holds how long the requests of this host have waited and run. It is safe for
// concurrent use. The zero value holds nothing.
type runHistory struct {
	mu    sync.Mutex
	known *shutdown.History
}

func (h *runHistory) record(ex *exchange, waited, ran time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		h.known = shutdown.NewHistory()
	}
	h.known.Record(ex.route.Name, ex.request.MaxOutputTokens, waited, ran)
}

// outlook returns what is expected of a request that has waited for a slot for a time.
func (h *runHistory) outlook(ex *exchange, waited time.Duration) shutdown.Outlook {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		return shutdown.Outlook{Run: ex.usualRun()}
	}
	return h.known.Outlook(ex.route.Name, ex.request.MaxOutputTokens, waited, ex.usualRun())
}

// recordRun records a request that was answered as a whole by the target of a slot.
func (ex *exchange) recordRun(slot *heldSlot, startedAt time.Time) {
	if ex.call.status < http.StatusMultipleChoices {
		ex.server.history.record(ex, slot.waited, ex.server.Clock.Now().Sub(startedAt))
	}
}

// usualRun returns how long the request is expected to run if too little is known of its route.
func (ex *exchange) usualRun() time.Duration {
	if ex.deadline.IsZero() {
		return ex.firstByteSLO()
	}
	total := ex.deadline.Sub(ex.request.Arrived)
	return max(ex.firstByteSLO(), time.Duration(usualRunShare*float64(total)))
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
		return ex.shuttingDownError(errEndsBefore)
	}
	return nil
}

// checkBegin returns an error if the process is likely to end before the request could be
// completed that begins now.
func (ex *exchange) checkBegin() error {
	endsAt, ends := ex.endOfProcess()
	now := ex.server.Clock.Now()
	if ends && now.After(ex.server.history.outlook(ex, 0).LatestBegin(endsAt)) {
		return ex.shuttingDownError(errEndsBefore)
	}
	return nil
}

func (ex *exchange) shuttingDownError(cause error) error {
	waited := ex.server.Clock.Now().Sub(ex.request.Arrived)
	return errkind.NewRetry(errkind.ShuttingDown, fmt.Sprintf("%v; it was not sent in %v", cause, waited), shutdownRetryAfter)
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

// AllowUpload returns a context for reading the body of a request. It ends with ctx, or earlier if
// the process is to end and could not serve the request any more. Of the request the host, the path,
// the arrival, the timeout and the token counts must be set. done must be called once the body was
// read.
func (s *Server) AllowUpload(ctx context.Context, r *Request) (uploading context.Context, done func()) {
	ex := s.uploadOf(r)
	if ex.route == nil {
		return ctx, func() {}
	}
	ex.deadline = ex.computeDeadline()
	return ex.untilEnd(ctx, func(_, endsAt time.Time) time.Time {
		return s.history.outlook(ex, 0).LatestBegin(endsAt)
	})
}

// UploadError returns the error, of the kind ShuttingDown, of a request whose body was not read
// because a context of AllowUpload has ended; nil if it has not ended for the end of the process.
func (s *Server) UploadError(uploading context.Context, r *Request) error {
	if !errors.Is(context.Cause(uploading), errEndsBefore) {
		return nil
	}
	return s.uploadOf(r).shuttingDownError(errEndsBefore)
}

// uploadOf returns the state of a request whose body is still arriving. Its route is nil if there
// is none.
func (s *Server) uploadOf(r *Request) *exchange {
	ex := &exchange{server: s, request: r, config: s.Directory.Config()}
	if ex.config != nil {
		ex.route = ex.config.Route(r.Host, r.Path)
	}
	return ex
}

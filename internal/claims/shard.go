package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// shard is an open claim stream. Only the goroutine of run accesses system and the
// fields below it. Other goroutines use post to run functions in that goroutine.
type shard struct {
	home   *Home
	number int
	stream string
	// loaded is closed when ready is set for the first time.
	loaded chan struct{}
	// closed is closed when run has returned.
	closed        chan struct{}
	tasks         chan func()
	pages         chan readResult
	appendResults chan appendResult

	system       *claim.Shard
	waiters      map[claim.Ticket]chan claim.Result
	flushWaiters []chan struct{}
	// nextOffset is the offset of the next record to apply.
	nextOffset ports.Offset
	// readyOffset was the end of the stream at the first read since the last reset
	// of the table.
	readyOffset ports.Offset
	// started is set once a page has been applied since the last reset of the
	// table.
	started bool
	// ready is set once all records before readyOffset have been applied.
	ready      bool
	lastUsed   time.Time
	lastExpiry time.Time
	// appendAllowedAt is when the rate limit allows the next append; zero if none
	// is reserved.
	appendAllowedAt time.Time
}

type readResult struct {
	from ports.Offset
	page ports.Page
	err  error
}

type appendResult struct {
	number uint64
	err    error
}

func newShard(h *Home, number int) *shard {
	return &shard{
		home:          h,
		number:        number,
		stream:        streamOf(number),
		loaded:        make(chan struct{}),
		closed:        make(chan struct{}),
		tasks:         make(chan func()),
		pages:         make(chan readResult),
		appendResults: make(chan appendResult),
		system:        claim.NewShard(h.opts.shardSettings(), &h.sequences),
		waiters:       make(map[claim.Ticket]chan claim.Result),
		lastUsed:      h.opts.Clock.Now(),
	}
}

// acquire starts the acquisition of a key and waits for its result.
func (s *shard) acquire(ctx context.Context, req claim.AcquireRequest) (claim.Result, error) {
	reply := make(chan claim.Result, 1)
	var ticket claim.Ticket
	posted := s.post(ctx, func() {
		if !s.ready {
			reply <- claim.Result{Err: s.notLoadedError()}
			return
		}
		now := s.now()
		req.Deadline = now.Add(s.home.opts.AcquireTimeout)
		ticket = s.system.Acquire(now, req)
		s.waiters[ticket] = reply
	})
	if !posted {
		return claim.Result{Err: s.notLoadedError()}, ctx.Err()
	}
	select {
	case a := <-reply:
		return a, nil
	case <-s.closed:
		return claim.Result{Err: s.notLoadedError()}, nil
	case <-ctx.Done():
		s.post(s.home.ctx, func() { s.abandon(ticket) })
		return claim.Result{}, fmt.Errorf("claim of key %s: %w", req.Key.ID, ctx.Err())
	}
}

// abandon cancels a pending acquisition whose caller no longer waits, so that the
// key is not granted to it.
func (s *shard) abandon(t claim.Ticket) {
	delete(s.waiters, t)
	s.system.Abandon(s.now(), t)
}

// record queues an outcome and waits until it has been read back from the log.
func (s *shard) record(ctx context.Context, o claim.Outcome) error {
	reply := make(chan claim.Result, 1)
	posted := s.post(ctx, func() {
		s.waiters[s.system.Record(s.now(), o)] = reply
	})
	if !posted {
		return s.notLoadedError()
	}
	select {
	case a := <-reply:
		return a.Err
	case <-s.closed:
		return errkind.New(errkind.ClaimsUnavailable, "the host stops before the outcome is written")
	case <-ctx.Done():
		return fmt.Errorf("outcome of request %q waits for the log: %w", o.Request, ctx.Err())
	}
}

func (s *shard) flush(ctx context.Context) error {
	done := make(chan struct{})
	if !s.post(ctx, func() { s.flushWaiters = append(s.flushWaiters, done) }) {
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-s.closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// notLoadedError returns the refusal for a shard that has not been loaded or has
// been closed.
func (s *shard) notLoadedError() error {
	return errkind.New(errkind.ClaimsUnavailable, fmt.Sprintf("claim shard %d is not read yet", s.number))
}

// post passes f to the shard's goroutine. It returns false if the shard is closed
// or ctx ends first.
func (s *shard) post(ctx context.Context, f func()) bool {
	select {
	case s.tasks <- f:
		return true
	case <-s.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *shard) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

func (s *shard) now() time.Time { return s.home.opts.Clock.Now() }

// run serves the shard until ctx ends or the shard is idle for IdleTimeout.
func (s *shard) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.closed)
	s.home.running.Add(1)
	go func() {
		defer s.home.running.Done()
		s.readStream(ctx)
	}()
	timer := s.home.opts.Clock.NewTimer(maxTickInterval)
	defer timer.Stop()
	for !s.removeIfIdle() {
		select {
		case f := <-s.tasks:
			s.lastUsed = s.now()
			f()
		case r := <-s.pages:
			s.applyRead(r)
		case r := <-s.appendResults:
			s.system.AppendDone(s.now(), r.number, appendResultOf(r.err))
		case <-timer.Chan():
		case <-ctx.Done():
			return
		}
		s.doDueWork(ctx)
		timer.Reset(s.tickDelay())
	}
}

// removeIfIdle removes the shard from its home if it is idle and reports whether
// it did.
func (s *shard) removeIfIdle() bool {
	if s.now().Sub(s.lastUsed) < s.home.opts.IdleTimeout || !s.system.Idle() || len(s.waiters) > 0 {
		return false
	}
	s.home.remove(s)
	return true
}

// doDueWork performs the work that is due after a message or a timer tick:
// expiry, the next append, and the delivery of results.
func (s *shard) doDueWork(ctx context.Context) {
	now := s.now()
	s.system.Tick(now)
	if now.Sub(s.lastExpiry) >= expiryInterval {
		s.lastExpiry = now
		s.system.Table().Tick(now)
	}
	s.startDueAppend(ctx, now)
	s.deliverResults()
	if s.system.Idle() {
		for _, done := range s.flushWaiters {
			close(done)
		}
		s.flushWaiters = nil
	}
}

func (s *shard) deliverResults() {
	for _, completed := range s.system.TakeCompleted() {
		reply, ok := s.waiters[completed.Ticket]
		if !ok {
			continue
		}
		delete(s.waiters, completed.Ticket)
		reply <- completed.Result
	}
}

// startDueAppend starts the append of the next batch if one is due and the rate
// limit allows it. The batch is built only then, so that it contains everything
// queued up to that time.
func (s *shard) startDueAppend(ctx context.Context, now time.Time) {
	if !s.system.Due(now) {
		return
	}
	if s.appendAllowedAt.IsZero() {
		s.appendAllowedAt = now.Add(s.home.appendLimiter.ReserveN(now, 1).DelayFrom(now))
	}
	if now.Before(s.appendAllowedAt) {
		return
	}
	batch, ok := s.system.NextBatch(now)
	if !ok {
		return
	}
	s.appendAllowedAt = time.Time{}
	s.home.running.Add(1)
	go func() {
		defer s.home.running.Done()
		r := appendResult{number: batch.Number, err: s.append(ctx, batch)}
		select {
		case s.appendResults <- r:
		case <-ctx.Done():
		}
	}()
}

func (s *shard) append(ctx context.Context, b claim.Batch) error {
	data, err := b.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.home.opts.Log.Append(ctx, s.stream, data)
	return err
}

// tickDelay returns the time until the next timer tick.
func (s *shard) tickDelay() time.Duration {
	now := s.now()
	next := now.Add(maxTickInterval)
	if at, ok := s.system.NextDue(); ok && at.Before(next) {
		next = at
	}
	if s.appendAllowedAt.After(next) {
		next = s.appendAllowedAt
	}
	return min(max(next.Sub(now), minTickInterval), maxTickInterval)
}

func appendResultOf(err error) claim.AppendResult {
	switch {
	case err == nil:
		return claim.Appended
	case errors.Is(err, ports.ErrUnavailable):
		return claim.Refused
	default:
		return claim.Unknown
	}
}

func (s *shard) logUnreachable(err error) {
	event.LogUnreachable.Log(s.home.opts.Logger, zap.String("stream", s.stream), zap.Error(err))
}

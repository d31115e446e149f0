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

// shard is one open claim stream. Its goroutine alone touches the claim
// system; others post functions to it.
type shard struct {
	home   *Home
	number int
	stream string
	// opened is closed when the stream has been read up to its end once.
	opened chan struct{}
	// closed is closed when the goroutine has ended.
	closed   chan struct{}
	posts    chan func()
	pages    chan readResult
	appended chan appendResult

	system   *claim.Shard
	waiters  map[claim.Ticket]chan claim.Result
	flushing []chan struct{}
	// from is the next offset to fold; ready states that the table covers
	// the stream up to what was its end when reading began.
	from     ports.Offset
	target   ports.Offset
	started  bool
	ready    bool
	lastUsed time.Time
	expired  time.Time
	// permit is when the next append may start; zero when none is due.
	permit time.Time
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
		home:     h,
		number:   number,
		stream:   streamOf(number),
		opened:   make(chan struct{}),
		closed:   make(chan struct{}),
		posts:    make(chan func()),
		pages:    make(chan readResult),
		appended: make(chan appendResult),
		system:   claim.NewShard(h.opts.shardSettings(), &h.sequences),
		waiters:  make(map[claim.Ticket]chan claim.Result),
		lastUsed: h.opts.Clock.Now(),
	}
}

// acquire posts an ask and waits for its answer.
func (s *shard) acquire(ctx context.Context, ask claim.AcquireRequest) (claim.Result, error) {
	reply := make(chan claim.Result, 1)
	var ticket claim.Ticket
	posted := s.post(ctx, func() {
		if !s.ready {
			reply <- claim.Result{Err: s.unopened()}
			return
		}
		now := s.now()
		ask.Deadline = now.Add(s.home.opts.AcquireTimeout)
		ticket = s.system.Acquire(now, ask)
		s.waiters[ticket] = reply
	})
	if !posted {
		return claim.Result{Err: s.unopened()}, ctx.Err()
	}
	select {
	case a := <-reply:
		return a, nil
	case <-s.closed:
		return claim.Result{Err: s.unopened()}, nil
	case <-ctx.Done():
		s.post(s.home.ctx, func() { s.abandon(ticket) })
		return claim.Result{}, fmt.Errorf("claim of key %s: %w", ask.Key.ID, ctx.Err())
	}
}

// abandon makes sure that nobody holds the key by a ticket whose asker left.
func (s *shard) abandon(t claim.Ticket) {
	delete(s.waiters, t)
	s.system.Abandon(s.now(), t)
}

// record posts an outcome and waits until it has been read back.
func (s *shard) record(ctx context.Context, o claim.Outcome) error {
	reply := make(chan claim.Result, 1)
	posted := s.post(ctx, func() {
		s.waiters[s.system.Record(s.now(), o)] = reply
	})
	if !posted {
		return s.unopened()
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
	if !s.post(ctx, func() { s.flushing = append(s.flushing, done) }) {
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

// unopened is the refusal while the stream is not read up to its end.
func (s *shard) unopened() error {
	return errkind.New(errkind.ClaimsUnavailable, fmt.Sprintf("claim shard %d is not read yet", s.number))
}

// post runs f on the shard's goroutine; false when it has ended.
func (s *shard) post(ctx context.Context, f func()) bool {
	select {
	case s.posts <- f:
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

// run owns the shard until ctx ends or the shard is out of use.
func (s *shard) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.closed)
	s.home.running.Add(1)
	go func() {
		defer s.home.running.Done()
		s.read(ctx)
	}()
	timer := s.home.opts.Clock.NewTimer(maxTickInterval)
	defer timer.Stop()
	for !s.unused() {
		select {
		case f := <-s.posts:
			s.lastUsed = s.now()
			f()
		case r := <-s.pages:
			s.fold(r)
		case r := <-s.appended:
			s.system.AppendDone(s.now(), r.number, resultOf(r.err))
		case <-timer.Chan():
		case <-ctx.Done():
			return
		}
		s.step(ctx)
		timer.Reset(s.untilNext())
	}
}

// unused reports whether the shard may close, and takes it out of its home.
func (s *shard) unused() bool {
	if s.now().Sub(s.lastUsed) < s.home.opts.Idle || !s.system.Idle() || len(s.waiters) > 0 {
		return false
	}
	s.home.remove(s)
	return true
}

// step does what time and the last message have made due.
func (s *shard) step(ctx context.Context) {
	now := s.now()
	s.system.Tick(now)
	if now.Sub(s.expired) >= expiryInterval {
		s.expired = now
		s.system.Table().Tick(now)
	}
	s.appendDue(ctx, now)
	s.deliver()
	if s.system.Idle() {
		for _, done := range s.flushing {
			close(done)
		}
		s.flushing = nil
	}
}

func (s *shard) deliver() {
	for _, settled := range s.system.TakeCompleted() {
		reply, ok := s.waiters[settled.Ticket]
		if !ok {
			continue
		}
		delete(s.waiters, settled.Ticket)
		reply <- settled.Result
	}
}

// appendDue sends the next batch when the append budget of the host permits.
// The batch is made at that moment, so that it takes all that waits by then.
func (s *shard) appendDue(ctx context.Context, now time.Time) {
	if !s.system.Due(now) {
		return
	}
	if s.permit.IsZero() {
		s.permit = now.Add(s.home.limiter.ReserveN(now, 1).DelayFrom(now))
	}
	if now.Before(s.permit) {
		return
	}
	batch, ok := s.system.NextBatch(now)
	if !ok {
		return
	}
	s.permit = time.Time{}
	s.home.running.Add(1)
	go func() {
		defer s.home.running.Done()
		r := appendResult{number: batch.Number, err: s.append(ctx, batch)}
		select {
		case s.appended <- r:
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

// untilNext is the time until the shard has something to do by itself.
func (s *shard) untilNext() time.Duration {
	now := s.now()
	next := now.Add(maxTickInterval)
	if at, ok := s.system.NextDue(); ok && at.Before(next) {
		next = at
	}
	if s.permit.After(next) {
		next = s.permit
	}
	return min(max(next.Sub(now), minTickInterval), maxTickInterval)
}

func resultOf(err error) claim.AppendResult {
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

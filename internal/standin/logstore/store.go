package logstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// Store is the log service. Its methods may be called concurrently.
type Store struct {
	clock   clockwork.Clock
	opts    Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	appends int
}

var _ ports.Log = (*Store)(nil)

// New returns an empty store.
func New(clock clockwork.Clock, opts Options) *Store {
	s := &Store{clock: clock, opts: opts, streams: make(map[string]*stream)}
	if opts.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), int(opts.AppendsPerSecond)+1)
	}
	return s
}

// Append adds one record and returns its offset. Once the call is admitted the
// record takes effect even if ctx ends first. Errors wrap
// ports.ErrUnavailable or ports.ErrUnknown.
func (s *Store) Append(ctx context.Context, name string, data []byte) (ports.Offset, error) {
	plan, err := s.admit(name, data)
	if err != nil {
		return 0, err
	}
	if plan.delay == 0 {
		return s.finish(name, data, plan)
	}
	type result struct {
		offset ports.Offset
		err    error
	}
	done := make(chan result, 1)
	go func() {
		<-s.clock.After(plan.delay / 2)
		offset, err := s.finish(name, data, plan)
		<-s.clock.After(plan.delay - plan.delay/2)
		done <- result{offset, err}
	}()
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("append to %q: %w: %w", name, ports.ErrUnknown, ctx.Err())
	}
}

func (s *Store) admit(name string, data []byte) (plan, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return plan{}, fmt.Errorf("append to %q: %w: outage", name, ports.ErrUnavailable)
	}
	if len(data) > s.opts.maxRecordBytes() {
		return plan{}, fmt.Errorf("append to %q: %w: record of %d bytes exceeds %d", name, ports.ErrUnavailable, len(data), s.opts.maxRecordBytes())
	}
	if s.limiter != nil && !s.limiter.AllowN(s.clock.Now(), 1) {
		return plan{}, fmt.Errorf("append to %q: %w: rate limit of %g appends per second", name, ports.ErrUnavailable, s.opts.AppendsPerSecond)
	}
	return s.faults.nextAppend(), nil
}

func (s *Store) finish(name string, data []byte, p plan) (ports.Offset, error) {
	if p.loseRequest {
		return 0, fmt.Errorf("append to %q: %w: request lost", name, ports.ErrUnknown)
	}
	offset := s.add(name, data)
	if p.loseAnswer {
		return 0, fmt.Errorf("append to %q: %w: answer lost", name, ports.ErrUnknown)
	}
	return offset, nil
}

func (s *Store) add(name string, data []byte) ports.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	return s.stream(name).add(s.clock.Now(), data)
}

// Read returns records from offset on, waiting up to wait for the first one.
// Errors wrap ports.ErrTruncated, with First and Next of the page set, or
// ports.ErrUnavailable.
func (s *Store) Read(ctx context.Context, name string, from ports.Offset, wait time.Duration) (ports.Page, error) {
	if from < 0 {
		return ports.Page{}, fmt.Errorf("read of %q: %w: offset %d is negative", name, ports.ErrUnavailable, from)
	}
	if err := s.delayRead(ctx, name); err != nil {
		return ports.Page{}, err
	}
	timeout := s.clock.After(max(wait, 0))
	for {
		page, changed, err := s.tryRead(name, from)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return ports.Page{}, fmt.Errorf("read of %q: %w: %w", name, ports.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) delayRead(ctx context.Context, name string) error {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-s.clock.After(delay):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("read of %q: %w: %w", name, ports.ErrUnavailable, ctx.Err())
	}
}

func (s *Store) tryRead(name string, from ports.Offset) (ports.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return ports.Page{}, nil, fmt.Errorf("read of %q: %w: outage", name, ports.ErrUnavailable)
	}
	st := s.stream(name)
	st.expire(s.clock.Now(), s.opts.Retention)
	page := ports.Page{First: st.first, Next: st.next()}
	if from < st.first {
		return page, nil, fmt.Errorf("read of %q from %d: %w: oldest is %d", name, from, ports.ErrTruncated, st.first)
	}
	page.Records = st.from(from)
	return page, st.changed, nil
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// Appends counts the records that took effect.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Truncate drops the records of a stream before offset, as retention does.
func (s *Store) Truncate(name string, before ports.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).truncate(before)
}

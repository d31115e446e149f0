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

// Store simulates the log service. Its methods may be called concurrently.
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

// Append appends one record to the named stream and returns its offset. An
// admitted append completes even if ctx ends first. Errors wrap
// ports.ErrUnavailable if the append was not admitted, and ports.ErrUnknown if
// it may have taken effect.
func (s *Store) Append(ctx context.Context, name string, data []byte) (ports.Offset, error) {
	fault, err := s.admit(name, data)
	if err != nil {
		return 0, err
	}
	if fault.delay == 0 {
		return s.applyAppend(name, data, fault)
	}
	type result struct {
		offset ports.Offset
		err    error
	}
	done := make(chan result, 1)
	go func() {
		<-s.clock.After(fault.delay / 2)
		offset, err := s.applyAppend(name, data, fault)
		<-s.clock.After(fault.delay - fault.delay/2)
		done <- result{offset, err}
	}()
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("append to %q: %w: %w", name, ports.ErrUnknown, ctx.Err())
	}
}

// admit checks the outage and the limits, and returns the faults of the append.
func (s *Store) admit(name string, data []byte) (appendFault, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return appendFault{}, fmt.Errorf("append to %q: %w: outage", name, ports.ErrUnavailable)
	}
	if len(data) > s.opts.maxRecordBytes() {
		return appendFault{}, fmt.Errorf("append to %q: %w: record of %d bytes exceeds %d", name, ports.ErrUnavailable, len(data), s.opts.maxRecordBytes())
	}
	if s.limiter != nil && !s.limiter.AllowN(s.clock.Now(), 1) {
		return appendFault{}, fmt.Errorf("append to %q: %w: rate limit of %g appends per second", name, ports.ErrUnavailable, s.opts.AppendsPerSecond)
	}
	return s.faults.takeAppendFault(), nil
}

func (s *Store) applyAppend(name string, data []byte, fault appendFault) (ports.Offset, error) {
	if fault.loseRequest {
		return 0, fmt.Errorf("append to %q: %w: request lost", name, ports.ErrUnknown)
	}
	offset := s.addRecord(name, data)
	if fault.loseAnswer {
		return 0, fmt.Errorf("append to %q: %w: answer lost", name, ports.ErrUnknown)
	}
	return offset, nil
}

func (s *Store) addRecord(name string, data []byte) ports.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	return s.streamFor(name).add(s.clock.Now(), data)
}

// Read returns the records of the named stream, starting at offset from. If there
// are none, it waits for the first one for at most the duration wait, and returns an
// empty page if none is appended in that time. Errors wrap ports.ErrUnavailable, or
// ports.ErrTruncated if the record at from has been dropped; in that case First and
// Next of the page are set.
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

// tryRead reads without waiting. The returned channel is closed when a record is
// appended to the stream or an outage starts or ends.
func (s *Store) tryRead(name string, from ports.Offset) (ports.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return ports.Page{}, nil, fmt.Errorf("read of %q: %w: outage", name, ports.ErrUnavailable)
	}
	st := s.streamFor(name)
	st.expire(s.clock.Now(), s.opts.Retention)
	page := ports.Page{First: st.first, Next: st.nextOffset()}
	if from < st.first {
		return page, nil, fmt.Errorf("read of %q from %d: %w: oldest is %d", name, from, ports.ErrTruncated, st.first)
	}
	page.Records = st.recordsFrom(from)
	return page, st.changed, nil
}

// streamFor returns the named stream, creating it if necessary.
func (s *Store) streamFor(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// Appends returns the number of appends that have taken effect.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Truncate drops the records of the named stream before the given offset, as if their
// retention time had passed.
func (s *Store) Truncate(name string, before ports.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamFor(name).truncate(before)
}

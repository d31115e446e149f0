// Package logread follows one stream of the platform's log: it bounds each
// read, waits longer after each failure, and notices when records are missing.
package logread

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

const (
	// Wait is how long the log holds a read open for the next record.
	Wait = 5 * time.Second
	// timeout bounds one read, so that a silent connection is dropped.
	timeout = Wait + 3*time.Second
	// retryFirst and retryMax bound the wait after a failed step.
	retryFirst = 100 * time.Millisecond
	retryMax   = 2 * time.Second
)

// Stream is one stream of a log.
type Stream struct {
	Log   ports.Log
	Clock clockwork.Clock
	Name  string
}

// Handlers are what a follower does. Truncated and Reached may be nil.
type Handlers struct {
	// Step reads once and applies what came. Errors wrap
	// ports.ErrTruncated or tell that the log was not reached.
	Step func(ctx context.Context) error
	// Truncated gives up the place in the stream after an error of Step that
	// wraps ports.ErrTruncated. The next step follows at once, and after a
	// wait when the step before ended so too.
	Truncated func(err error)
	// Reached is told of every other end of a step: nil, or why the log was
	// not reached.
	Reached func(err error)
}

// Follow calls Step until ctx ends, and returns its error. It waits after each
// failed step.
func (s Stream) Follow(ctx context.Context, h Handlers) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryMax
	again := false
	for ctx.Err() == nil {
		err := h.Step(ctx)
		if ctx.Err() != nil {
			break
		}
		truncated := errors.Is(err, ports.ErrTruncated)
		if truncated {
			h.truncated(err)
		} else {
			h.reached(err)
		}
		switch {
		case err == nil:
			retry.Reset()
		case !truncated || again:
			s.sleep(ctx, retry.NextBackOff())
		}
		again = truncated
	}
	return ctx.Err()
}

func (h Handlers) truncated(err error) {
	if h.Truncated != nil {
		h.Truncated(err)
	}
}

func (h Handlers) reached(err error) {
	if h.Reached != nil {
		h.Reached(err)
	}
}

func (s Stream) sleep(ctx context.Context, d time.Duration) {
	timer := s.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// Read returns records from an offset on, waiting up to wait for the first one.
// Errors are those of the log, or of ctx.
func (s Stream) Read(ctx context.Context, from ports.Offset, wait time.Duration) (ports.Page, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, timeout)
	defer cancel()
	return s.Log.Read(ctx, s.Name, from, wait)
}

// First returns the oldest offset that the stream keeps. Errors wrap
// ports.ErrUnavailable.
func (s Stream) First(ctx context.Context) (ports.Offset, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, timeout)
	defer cancel()
	return ports.FirstOffset(ctx, s.Log, s.Name)
}

// Apply calls fold for the records of a page from next on, each following the
// one before. It reports whether they reach the end of the stream. The error
// wraps ports.ErrTruncated when records between next and the page, or within
// it, are missing.
func Apply(page ports.Page, next ports.Offset, fold func(ports.Record)) (caughtUp bool, err error) {
	if page.First > next || page.Next < next {
		return false, fmt.Errorf("offset %d is outside of %d to %d: %w", next, page.First, page.Next, ports.ErrTruncated)
	}
	for _, rec := range page.Records {
		if rec.Offset < next {
			continue
		}
		if rec.Offset > next {
			return false, fmt.Errorf("record %d follows offset %d: %w", rec.Offset, next-1, ports.ErrTruncated)
		}
		fold(rec)
		next++
	}
	return next >= page.Next, nil
}

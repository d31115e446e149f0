// Package logread reads a stream of the log continuously. It limits the duration
// of each read, retries with backoff after failures, and detects missing records.
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
	// LongPollWait is how long the log waits for the next record before it responds
	// to a read.
	LongPollWait = 5 * time.Second
	// timeout limits one read, so that a connection that stopped responding is
	// dropped.
	timeout = LongPollWait + 3*time.Second
	// minBackoff and maxBackoff limit the wait after a failed step.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Stream identifies one stream of a log.
type Stream struct {
	Log   ports.Log
	Clock clockwork.Clock
	Name  string
}

// Handlers are the callbacks of Stream.Follow. All but Step may be nil.
type Handlers struct {
	// Step reads once and applies the records. If records are missing, it returns
	// an error that wraps ports.ErrTruncated. Any other error means that the log
	// was not reached.
	Step func(ctx context.Context) error
	// OnTruncated is called after Step returned an error that wraps
	// ports.ErrTruncated, and must discard the position in the stream. Step is
	// then called again: immediately, or after a backoff if the step before also
	// found missing records.
	OnTruncated func(err error)
	// OnRead is called after each step that found no missing records, with the
	// error of the step. The error is nil if the step succeeded; otherwise the log
	// was not reached.
	OnRead func(err error)
}

// Follow calls Step until ctx ends, and returns the error of ctx. It backs off
// after failed steps.
func (s Stream) Follow(ctx context.Context, h Handlers) error {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = minBackoff
	backOff.MaxInterval = maxBackoff
	wasTruncated := false
	for ctx.Err() == nil {
		err := h.Step(ctx)
		if ctx.Err() != nil {
			break
		}
		truncated := errors.Is(err, ports.ErrTruncated)
		if truncated {
			h.onTruncated(err)
		} else {
			h.onRead(err)
		}
		switch {
		case err == nil:
			backOff.Reset()
		case !truncated || wasTruncated:
			s.sleep(ctx, backOff.NextBackOff())
		}
		wasTruncated = truncated
	}
	return ctx.Err()
}

func (h Handlers) onTruncated(err error) {
	if h.OnTruncated != nil {
		h.OnTruncated(err)
	}
}

func (h Handlers) onRead(err error) {
	if h.OnRead != nil {
		h.OnRead(err)
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

// Read returns the records from an offset on. If there is none yet, it waits for
// the first one for up to wait. Errors are those of the log or of ctx.
func (s Stream) Read(ctx context.Context, from ports.Offset, wait time.Duration) (ports.Page, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, timeout)
	defer cancel()
	return s.Log.Read(ctx, s.Name, from, wait)
}

// First returns the oldest offset that the stream retains. Errors wrap
// ports.ErrUnavailable.
func (s Stream) First(ctx context.Context) (ports.Offset, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, timeout)
	defer cancel()
	return ports.FirstOffset(ctx, s.Log, s.Name)
}

// Apply calls apply for the records of a page from offset next on, which must
// have consecutive offsets. It reports whether the end of the stream was reached.
// The error wraps ports.ErrTruncated if records between next and the page or
// within the page are missing, or if the stream ends before next.
func Apply(page ports.Page, next ports.Offset, apply func(ports.Record)) (caughtUp bool, err error) {
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
		apply(rec)
		next++
	}
	return next >= page.Next, nil
}

package claims

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/claim"
)

// read fetches pages of the stream and hands them to the shard's goroutine. It
// waits for new records only once it has reached the end of the stream.
func (s *shard) read(ctx context.Context) {
	from := s.findStart(ctx)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := s.home.opts.Log.Read(ctx, s.stream, from, wait)
		wait = 0
		if !s.hand(ctx, readResult{from: from, page: page, err: err}) {
			return
		}
		switch {
		case errors.Is(err, ports.ErrTruncated):
			from = page.First
		case err != nil:
			s.sleep(ctx, readRetry)
		default:
			from += ports.Offset(len(page.Records))
			if from >= page.Next {
				wait = readWait
			}
		}
	}
}

// findStart returns an offset before which no record matters: all of them are
// older than any key that can be claimed. It searches by the log's times, which
// may go back by the skew at most. A log that cannot be read is read from its
// beginning later.
func (s *shard) findStart(ctx context.Context) ports.Offset {
	opts := s.home.opts
	oldest := s.now().Add(-opts.Window - searchMargin*opts.Skew)
	page, err := opts.Log.Read(ctx, s.stream, 0, 0)
	if err != nil && !errors.Is(err, ports.ErrTruncated) {
		return 0
	}
	low, high := page.First, page.Next
	for high-low > searchStop {
		middle := low + (high-low)/2
		page, err := opts.Log.Read(ctx, s.stream, middle, 0)
		if err != nil {
			return low
		}
		if len(page.Records) > 0 && page.Records[0].Time.Before(oldest) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (s *shard) hand(ctx context.Context, r readResult) bool {
	select {
	case s.pages <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *shard) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-s.home.opts.Clock.After(d):
	case <-ctx.Done():
	}
}

// fold takes the result of one read into the table.
func (s *shard) fold(r readResult) {
	now := s.now()
	switch {
	case errors.Is(r.err, ports.ErrTruncated):
		s.truncated(r.page)
		return
	case r.err != nil:
		if !s.system.BackingOff(now) {
			s.logUnreachable(r.err)
		}
		s.system.MarkLogDown(now)
		return
	}
	if r.from > 0 && !s.started {
		s.system.Table().MarkTruncated(oldestTime(r.page, now))
	}
	if !s.started {
		s.started = true
		s.target = r.page.Next
	}
	for _, record := range r.page.Records {
		s.foldRecord(now, record)
	}
	s.system.Decide(now)
	s.from = r.from + ports.Offset(len(r.page.Records))
	if !s.ready && s.from >= s.target {
		s.ready = true
		s.markOpened()
	}
}

func (s *shard) foldRecord(now time.Time, record ports.Record) {
	batch, err := claim.Decode(record.Data)
	if err != nil {
		event.RecordIgnored.Log(s.home.opts.Logger, zap.String("stream", s.stream),
			zap.Int64("offset", int64(record.Offset)), zap.Error(err))
		return
	}
	s.system.ReadRecord(now, int64(record.Offset), record.Time, batch)
}

// truncated starts the table anew from the oldest record that is kept.
func (s *shard) truncated(page ports.Page) {
	if s.started {
		event.LogTruncated.Log(s.home.opts.Logger, zap.String("stream", s.stream), zap.Int64("first", int64(page.First)))
	}
	s.system.Reset()
	s.started, s.ready = false, false
}

// oldestTime bounds the time of the records that are gone.
func oldestTime(page ports.Page, now time.Time) time.Time {
	if len(page.Records) > 0 {
		return page.Records[0].Time
	}
	return now
}

func (s *shard) markOpened() {
	select {
	case <-s.opened:
	default:
		close(s.opened)
	}
}

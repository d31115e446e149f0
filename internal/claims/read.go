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

// readStream reads the pages of the stream and passes them to the shard's
// goroutine. It waits for new records only after it has reached the end of the
// stream.
func (s *shard) readStream(ctx context.Context) {
	from := s.findStart(ctx)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := s.home.opts.Log.Read(ctx, s.stream, from, wait)
		wait = 0
		if !s.sendPage(ctx, readResult{from: from, page: page, err: err}) {
			return
		}
		switch {
		case errors.Is(err, ports.ErrTruncated):
			from = page.First
		case err != nil:
			s.sleep(ctx, readRetryDelay)
		default:
			from += ports.Offset(len(page.Records))
			if from >= page.Next {
				wait = readPollTimeout
			}
		}
	}
}

// findStart returns an offset before which all records are older than any key
// that can be claimed. It does a binary search by log time. The log time of a
// record may be lower than that of an earlier record, but by no more than the skew.
// If the log cannot be read, findStart returns the highest such offset found so
// far, which may be 0.
func (s *shard) findStart(ctx context.Context) ports.Offset {
	opts := s.home.opts
	oldest := s.now().Add(-opts.Window - searchMarginSkews*opts.Skew)
	page, err := opts.Log.Read(ctx, s.stream, 0, 0)
	if err != nil && !errors.Is(err, ports.ErrTruncated) {
		return 0
	}
	low, high := page.First, page.Next
	for high-low > maxScanRecords {
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

func (s *shard) sendPage(ctx context.Context, r readResult) bool {
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

// applyRead applies the result of one read to the table.
func (s *shard) applyRead(r readResult) {
	now := s.now()
	switch {
	case errors.Is(r.err, ports.ErrTruncated):
		s.resetTruncated(r.page)
		return
	case r.err != nil:
		if !s.system.BackingOff(now) {
			s.logUnreachable(r.err)
		}
		s.system.MarkLogDown(now)
		return
	}
	if r.from > 0 && !s.started {
		s.system.Table().MarkTruncated(newestRemovedTime(r.page, now))
	}
	if !s.started {
		s.started = true
		s.readyOffset = r.page.Next
	}
	for _, record := range r.page.Records {
		s.applyRecord(now, record)
	}
	s.system.Decide(now)
	s.nextOffset = r.from + ports.Offset(len(r.page.Records))
	if !s.ready && s.nextOffset >= s.readyOffset {
		s.ready = true
		s.markLoaded()
	}
}

func (s *shard) applyRecord(now time.Time, record ports.Record) {
	batch, err := claim.Decode(record.Data)
	if err != nil {
		event.RecordIgnored.Log(s.home.opts.Logger, zap.String("stream", s.stream),
			zap.Int64("offset", int64(record.Offset)), zap.Error(err))
		return
	}
	s.system.ReadRecord(now, int64(record.Offset), record.Time, batch)
}

// resetTruncated clears the table, because the log has removed records that were
// not read. Reading continues with the oldest retained record.
func (s *shard) resetTruncated(page ports.Page) {
	if s.started {
		event.LogTruncated.Log(s.home.opts.Logger, zap.String("stream", s.stream), zap.Int64("first", int64(page.First)))
	}
	s.system.Reset()
	s.started, s.ready = false, false
}

// newestRemovedTime estimates the log time of the newest record before page: the
// time of page's first record, or now if page has none. The log time of a removed
// record may be later than the estimate, but by no more than the skew.
func newestRemovedTime(page ports.Page, now time.Time) time.Time {
	if len(page.Records) > 0 {
		return page.Records[0].Time
	}
	return now
}

func (s *shard) markLoaded() {
	select {
	case <-s.loaded:
	default:
		close(s.loaded)
	}
}

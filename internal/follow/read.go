package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/platform"
)

const (
	// readWait is how long the log holds a read open for the next record.
	readWait = 5 * time.Second
	// readTimeout bounds one read, so that a silent connection is dropped.
	readTimeout = readWait + 3*time.Second
	// retryFirst and retryMax bound the wait after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMax   = 2 * time.Second
	// searchPause is the wait between searches for a snapshot.
	searchPause = 1 * time.Second
)

// errNoSnapshot means that the log keeps no point to start from.
var errNoSnapshot = errors.New("log keeps no usable configuration snapshot")

func (f *Follower) readLoop(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryMax
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		pause := time.Duration(0)
		switch {
		case err == nil:
			retry.Reset()
			f.setReachable(true, nil)
		case errors.Is(err, platform.ErrTruncated):
			f.detach(err)
		case errors.Is(err, errNoSnapshot):
			f.setReachable(true, nil)
			f.signal()
			pause = searchPause
		default:
			f.setReachable(false, err)
			pause = retry.NextBackOff()
		}
		if pause > 0 {
			_ = f.sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	attached, from := f.attached, f.fold.Next
	f.mu.Unlock()
	if !attached {
		return f.attach(ctx)
	}
	page, err := f.read(ctx, from, readWait)
	if err != nil {
		return err
	}
	return f.foldPage(page)
}

func (f *Follower) read(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Page, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.opts.Clock, readTimeout)
	defer cancel()
	return f.opts.Log.Read(ctx, platform.ConfigStream, from, wait)
}

// foldPage applies a page to the state. It returns an error that wraps
// platform.ErrTruncated when records before the page are missing.
func (f *Follower) foldPage(page platform.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.First > f.fold.Next || page.Next < f.fold.Next {
		return fmt.Errorf("offset %d is outside of %d to %d: %w", f.fold.Next, page.First, page.Next, platform.ErrTruncated)
	}
	for _, rec := range page.Records {
		if rec.Offset < f.fold.Next {
			continue
		}
		if rec.Offset > f.fold.Next {
			return fmt.Errorf("record %d follows offset %d: %w", rec.Offset, f.fold.Next-1, platform.ErrTruncated)
		}
		f.foldRecord(rec)
	}
	f.caughtUp = f.fold.Next >= page.Next
	if len(page.Records) > 0 {
		f.announceFold()
	}
	return nil
}

// foldRecord applies one record; f.mu is held.
func (f *Follower) foldRecord(rec platform.Record) {
	next, step := f.fold.Fold(rec)
	f.fold = next
	f.snapshots.folded(rec, step)
	switch {
	case step.Err != nil:
		event.RecordIgnored.Log(f.opts.Logger, zap.Int64("offset", int64(rec.Offset)), zap.Error(step.Err))
	case step.Result != nil && !step.Result.Accepted && !step.Repeated:
		event.PatchRejected.Log(f.opts.Logger,
			zap.String("patch_id", step.Result.PatchID),
			zap.String("operator", step.Result.Operator),
			zap.String("reason", step.Result.Reason))
	}
}

// announceFold enforces the fold and wakes waiting publishers; f.mu is held.
func (f *Follower) announceFold() {
	f.enforce(f.fold, "log")
	close(f.decided)
	f.decided = make(chan struct{})
}

// detach gives up the place in the log, so that the next read searches a
// snapshot. The version in force stays.
func (f *Follower) detach(cause error) {
	f.mu.Lock()
	f.attached = false
	f.caughtUp = false
	next := f.fold.Next
	f.mu.Unlock()
	event.LogTruncated.Log(f.opts.Logger, zap.Int64("offset", int64(next)), zap.Error(cause))
}

func (f *Follower) firstOffset(ctx context.Context) (platform.Offset, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.opts.Clock, readTimeout)
	defer cancel()
	return platform.FirstOffset(ctx, f.opts.Log, platform.ConfigStream)
}

// attach finds the state to start from.
func (f *Follower) attach(ctx context.Context) error {
	first, err := f.firstOffset(ctx)
	if err != nil {
		return err
	}
	scan := config.NewScan(first)
	for {
		page, err := f.read(ctx, scan.Next(), 0)
		if err != nil {
			return err
		}
		scan.Add(page.Records)
		if len(page.Records) == 0 || scan.Next() >= page.Next {
			break
		}
	}
	start, ok := scan.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scanned = scan.Next()
	if !ok {
		return errNoSnapshot
	}
	f.fold = start
	f.attached = true
	f.snapshots.reset()
	f.announceFold()
	return nil
}

package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/logread"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// searchPause is the wait between searches for a snapshot.
const searchPause = 1 * time.Second

// errNoSnapshot means that the log keeps no point to start from.
var errNoSnapshot = errors.New("log keeps no usable configuration snapshot")

func (f *Follower) readLoop(ctx context.Context) error {
	return f.stream().Follow(ctx, logread.Handlers{Step: f.step, Truncated: f.detach, Reached: f.reached})
}

func (f *Follower) stream() logread.Stream {
	return logread.Stream{Log: f.opts.Log, Clock: f.opts.Clock, Name: ports.ConfigStream}
}

// step reads once. A log without a snapshot was reached; peers are asked.
func (f *Follower) step(ctx context.Context) error {
	err := f.readOnce(ctx)
	if !errors.Is(err, errNoSnapshot) {
		return err
	}
	f.setReachable(true, nil)
	f.signal()
	_ = f.sleep(ctx, searchPause)
	return nil
}

func (f *Follower) reached(err error) { f.setReachable(err == nil, err) }

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	attached, from := f.attached, f.fold.Next
	f.mu.Unlock()
	if !attached {
		return f.attach(ctx)
	}
	page, err := f.stream().Read(ctx, from, logread.Wait)
	if err != nil {
		return err
	}
	return f.foldPage(page)
}

// foldPage applies a page to the state. It returns an error that wraps
// ports.ErrTruncated when records before the page are missing.
func (f *Follower) foldPage(page ports.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	caughtUp, err := logread.Apply(page, f.fold.Next, f.foldRecord)
	if err != nil {
		return err
	}
	f.caughtUp = caughtUp
	if len(page.Records) > 0 {
		f.announceFold()
	}
	return nil
}

// foldRecord applies one record; f.mu is held.
func (f *Follower) foldRecord(rec ports.Record) {
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

// attach finds the state to start from.
func (f *Follower) attach(ctx context.Context) error {
	first, err := f.stream().First(ctx)
	if err != nil {
		return err
	}
	scan := config.NewScan(first)
	for {
		page, err := f.stream().Read(ctx, scan.Next(), 0)
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

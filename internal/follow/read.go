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

// snapshotSearchInterval is the wait between searches for a snapshot.
const snapshotSearchInterval = 1 * time.Second

// errNoSnapshot is returned if the log contains no state to start from.
var errNoSnapshot = errors.New("log keeps no usable configuration snapshot")

func (f *Follower) readLoop(ctx context.Context) error {
	return f.stream().Follow(ctx, logread.Handlers{Step: f.step, OnTruncated: f.detach, OnRead: f.recordRead})
}

func (f *Follower) stream() logread.Stream {
	return logread.Stream{Log: f.opts.Log, Clock: f.opts.Clock, Name: ports.ConfigStream}
}

// step reads the log once. If the log contains no state to start from, step marks
// the log as reachable, requests a fetch from a peer and waits
// snapshotSearchInterval.
func (f *Follower) step(ctx context.Context) error {
	err := f.readOnce(ctx)
	if !errors.Is(err, errNoSnapshot) {
		return err
	}
	f.setReachable(true, nil)
	f.wakeFetchLoop()
	_ = f.sleep(ctx, snapshotSearchInterval)
	return nil
}

func (f *Follower) recordRead(err error) { f.setReachable(err == nil, err) }

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	valid, from := f.logStateValid, f.logState.Next
	f.mu.Unlock()
	if !valid {
		return f.attach(ctx)
	}
	page, err := f.stream().Read(ctx, from, logread.LongPollWait)
	if err != nil {
		return err
	}
	return f.applyPage(page)
}

// applyPage applies the records of a page. It returns an error that wraps
// ports.ErrTruncated if records before the page are missing.
func (f *Follower) applyPage(page ports.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	caughtUp, err := logread.Apply(page, f.logState.Next, f.applyRecord)
	if err != nil {
		return err
	}
	f.caughtUp = caughtUp
	if len(page.Records) > 0 {
		f.enforceLogState()
	}
	return nil
}

// applyRecord applies one record. The caller must hold f.mu.
func (f *Follower) applyRecord(rec ports.Record) {
	next, step := f.logState.Apply(rec)
	f.logState = next
	f.snapshots.recordApplied(rec, step)
	switch {
	case step.Err != nil:
		event.RecordIgnored.Log(f.opts.Logger, zap.Int64("offset", int64(rec.Offset)), zap.Error(step.Err))
	case step.Result != nil && !step.Result.Accepted && !step.Duplicate:
		event.PatchRejected.Log(f.opts.Logger,
			zap.String("patch_id", step.Result.PatchID),
			zap.String("operator", step.Result.Operator),
			zap.String("reason", step.Result.Reason))
	}
}

// enforceLogState puts the state read from the log in force and wakes waiting
// calls of Publish. The caller must hold f.mu.
func (f *Follower) enforceLogState() {
	f.enforce(f.logState, "log")
	close(f.recordsApplied)
	f.recordsApplied = make(chan struct{})
}

// detach discards the position in the log, so that the next read searches for a
// snapshot. The version in force is kept.
func (f *Follower) detach(cause error) {
	f.mu.Lock()
	f.logStateValid = false
	f.caughtUp = false
	next := f.logState.Next
	f.mu.Unlock()
	event.LogTruncated.Log(f.opts.Logger, zap.Int64("offset", int64(next)), zap.Error(cause))
}

// attach scans the stream for a state to start from, such as a snapshot.
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
	start, ok := scan.StartState()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scanEnd = scan.Next()
	if !ok {
		return errNoSnapshot
	}
	f.logState = start
	f.logStateValid = true
	f.snapshots.reset()
	f.enforceLogState()
	return nil
}

package follow

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

const (
	// snapshotRecords is the longest tail of records after a snapshot.
	snapshotRecords = 256
	// snapshotParts is the retention over the greatest age of a snapshot.
	snapshotParts = 4
	// spreadParts is the retention over the random wait before a snapshot, in
	// which another host's snapshot makes this one needless.
	spreadParts = 16
	// maxSpread bounds the random wait.
	maxSpread = time.Minute
	// snapshotCheck is the time between checks.
	snapshotCheck = 1 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// recoverAfter is how long the log must lack the version in force before
	// a recovery snapshot is written.
	recoverAfter = 15 * time.Second
)

// snapshotClock tells when the next snapshot is due.
type snapshotClock struct {
	// base is the time of the latest snapshot record, or of the first record
	// while there is no snapshot; zero before any record.
	base time.Time
	// records counts the records since then.
	records int
	// due is when this host writes one; zero while none is needed.
	due time.Time
}

func (c *snapshotClock) reset() { *c = snapshotClock{} }

func (c *snapshotClock) folded(rec ports.Record, step config.Step) {
	if step.Snapshot != nil && step.Err == nil {
		*c = snapshotClock{base: rec.Time}
		return
	}
	c.records++
	if c.base.IsZero() {
		c.base = rec.Time
	}
}

// needed reports whether a snapshot should be written soon.
func (c *snapshotClock) needed(now time.Time, retention time.Duration) bool {
	if c.base.IsZero() {
		return false
	}
	return c.records >= snapshotRecords || now.Sub(c.base) >= retention/snapshotParts
}

func (f *Follower) snapshotLoop(ctx context.Context) error {
	for {
		if err := f.sleep(ctx, snapshotCheck); err != nil {
			return err
		}
		if f.opts.SkipSnapshots {
			continue
		}
		if snap, ok := f.dueSnapshot(); ok {
			f.appendSnapshot(ctx, snap)
		}
	}
}

// dueSnapshot returns the snapshot that this host should write now, if any.
func (f *Follower) dueSnapshot() (config.Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	if f.recoveryDue(now) {
		f.behind = time.Time{}
		return f.recovery(), true
	}
	c := &f.snapshots
	if !f.attached || !f.caughtUp || !c.needed(now, f.opts.Retention) {
		c.due = time.Time{}
		return config.Snapshot{}, false
	}
	if c.due.IsZero() {
		spread := min(f.opts.Retention/spreadParts, maxSpread)
		c.due = now.Add(time.Duration(f.rand.Int64N(int64(spread) + 1)))
	}
	if now.Before(c.due) {
		return config.Snapshot{}, false
	}
	c.due = time.Time{}
	return f.fold.Snapshot(), true
}

// recoveryDue reports whether the readable log has lacked the version in force
// for recoverAfter; f.mu is held.
func (f *Follower) recoveryDue(now time.Time) bool {
	lacks := f.reachable && f.inForce.Version > 0 &&
		(!f.attached || (f.caughtUp && f.fold.Version < f.inForce.Version))
	if !lacks {
		f.behind = time.Time{}
		return false
	}
	if f.behind.IsZero() {
		f.behind = now.Add(time.Duration(f.rand.Int64N(int64(recoverAfter))))
	}
	return now.Sub(f.behind) >= recoverAfter
}

// recovery returns the version in force as a new start of the log; f.mu is held.
func (f *Follower) recovery() config.Snapshot {
	snap := f.inForce.Snapshot()
	snap.Recovery = true
	snap.Next = f.scanned
	if f.attached {
		snap.Next = f.fold.Next
	}
	return snap
}

func (f *Follower) appendSnapshot(ctx context.Context, snap config.Snapshot) {
	data, err := config.LogRecord{Snapshot: &snap}.Encode()
	if err != nil {
		event.InvariantFailed.Log(f.opts.Logger, zap.Error(err))
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, f.opts.Clock, appendTimeout)
	defer cancel()
	if _, err := f.opts.Log.Append(ctx, ports.ConfigStream, data); err != nil {
		f.opts.Logger.Debug("snapshot not appended", zap.Error(err))
		return
	}
	event.SnapshotAppended.Log(f.opts.Logger, zap.Uint64("version", uint64(snap.Version)), zap.Bool("recovery", snap.Recovery))
}

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
	// snapshotRecords is the number of records since the last snapshot at which a
	// new snapshot is due.
	snapshotRecords = 256
	// snapshotAgeDivisor is the ratio of the retention to the maximum age of the
	// latest snapshot.
	snapshotAgeDivisor = 4
	// jitterDivisor is the ratio of the retention to the maximum random delay
	// before a snapshot. A snapshot that another host writes during the delay makes
	// this host's unnecessary.
	jitterDivisor = 16
	// maxJitter limits the random delay.
	maxJitter = time.Minute
	// snapshotCheckInterval is the time between two checks whether a snapshot is
	// due.
	snapshotCheckInterval = 1 * time.Second
	// appendTimeout limits one append.
	appendTimeout = 5 * time.Second
	// recoveryDelay is how long the log must lack the version in force before a
	// recovery snapshot is written. A random delay of up to the same length is
	// added.
	recoveryDelay = 15 * time.Second
)

// snapshotSchedule determines when the next snapshot is due.
type snapshotSchedule struct {
	// countedFrom is the log time of the latest snapshot record that was applied.
	// If there is none, countedFrom is the log time of the first record that was
	// applied, or zero if no record was applied.
	countedFrom time.Time
	// records is the number of records applied after the latest snapshot record.
	records int
	// due is when this host writes a snapshot; zero if none is needed.
	due time.Time
}

func (s *snapshotSchedule) reset() { *s = snapshotSchedule{} }

func (s *snapshotSchedule) recordApplied(rec ports.Record, step config.Step) {
	if step.Snapshot != nil && step.Err == nil {
		*s = snapshotSchedule{countedFrom: rec.Time}
		return
	}
	s.records++
	if s.countedFrom.IsZero() {
		s.countedFrom = rec.Time
	}
}

// needed reports whether a snapshot is needed.
func (s *snapshotSchedule) needed(now time.Time, retention time.Duration) bool {
	if s.countedFrom.IsZero() {
		return false
	}
	return s.records >= snapshotRecords || now.Sub(s.countedFrom) >= retention/snapshotAgeDivisor
}

func (f *Follower) snapshotLoop(ctx context.Context) error {
	for {
		if err := f.sleep(ctx, snapshotCheckInterval); err != nil {
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

// dueSnapshot returns the snapshot that this host must write now, if any.
func (f *Follower) dueSnapshot() (config.Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	if f.recoveryDue(now) {
		f.recoveryWaitStart = time.Time{}
		return f.recoverySnapshot(), true
	}
	s := &f.snapshots
	if !f.logStateValid || !f.caughtUp || !s.needed(now, f.opts.Retention) {
		s.due = time.Time{}
		return config.Snapshot{}, false
	}
	if s.due.IsZero() {
		maxDelay := min(f.opts.Retention/jitterDivisor, maxJitter)
		s.due = now.Add(time.Duration(f.rand.Int64N(int64(maxDelay) + 1)))
	}
	if now.Before(s.due) {
		return config.Snapshot{}, false
	}
	s.due = time.Time{}
	return f.logState.Snapshot(), true
}

// recoveryDue reports whether, for recoveryDelay plus a random delay, the log has
// been reachable but has lacked the version in force. The caller must hold f.mu.
func (f *Follower) recoveryDue(now time.Time) bool {
	logBehind := f.logReachable && f.inForce.Version > 0 &&
		(!f.logStateValid || (f.caughtUp && f.logState.Version < f.inForce.Version))
	if !logBehind {
		f.recoveryWaitStart = time.Time{}
		return false
	}
	if f.recoveryWaitStart.IsZero() {
		f.recoveryWaitStart = now.Add(time.Duration(f.rand.Int64N(int64(recoveryDelay))))
	}
	return now.Sub(f.recoveryWaitStart) >= recoveryDelay
}

// recoverySnapshot returns a snapshot with the version in force, from which
// readers of the log can start. The caller must hold f.mu.
func (f *Follower) recoverySnapshot() config.Snapshot {
	snap := f.inForce.Snapshot()
	snap.Recovery = true
	snap.Next = f.scanEnd
	if f.logStateValid {
		snap.Next = f.logState.Next
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

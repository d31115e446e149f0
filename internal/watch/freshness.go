package watch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

// Age returns the time since the configuration and the targets were last known to
// be up to date.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.confirmOwnReads(now)
	return now.Sub(w.lastConfirmed)
}

// confirmOwnReads applies to lastConfirmed what the reads of this host show. A stream
// of which a long poll is open counts as up to date. The lock must be held.
func (w *Watcher) confirmOwnReads(now time.Time) {
	oldest := now
	for _, name := range []Stream{Configs, Targets} {
		if !w.polling[name] && w.confirmedAt[name].Before(oldest) {
			oldest = w.confirmedAt[name]
		}
	}
	if oldest.After(w.lastConfirmed) {
		w.lastConfirmed = oldest
	}
}

// recordRead records that this host has read a stream from the store; at is when
// the read began. The state of the stream counts as up to date at that time.
func (w *Watcher) recordRead(name Stream, at time.Time) {
	w.mu.Lock()
	recovered := w.storeDown
	w.storeDown = false
	age := at.Sub(w.lastConfirmed)
	if at.After(w.confirmedAt[name]) {
		w.confirmedAt[name] = at
	}
	w.lastRead = w.clock.Now()
	w.confirmOwnReads(w.lastRead)
	w.mu.Unlock()
	if recovered {
		event.StoreReachable.Log(w.logger, zap.Duration("age", age))
	}
}

// recordListing records that this host has listed a stream anew; at is when the call began.
func (w *Watcher) recordListing(name Stream, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if name == Targets {
		w.targetsListedAt = at
	}
}

// recordConfirmed records that a read of the store by another host showed the
// configuration and the targets to be up to date at the given time.
func (w *Watcher) recordConfirmed(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updatedAt, w.heard = w.clock.Now(), true
	if at.After(w.lastConfirmed) {
		w.lastConfirmed = at
	}
}

// UpdatedSince reports whether the configuration and the targets have been confirmed at the
// given time or later: by another host, or by reads of both streams that began no earlier. The
// answer to an earlier read may have arrived while the process was stalled.
func (w *Watcher) UpdatedSince(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.updatedAt.Before(at) || !w.confirmedAt[Configs].Before(at) && !w.confirmedAt[Targets].Before(at)
}

// VersionsReadSince reports whether this host itself has read the list of targets since a time, and
// so has seen all software versions that were listed before it. Where it has listed the targets anew,
// targets that have left meanwhile are not among them: it must have read the store's record of
// versions after that.
func (w *Watcher) VersionsReadSince(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.confirmedAt[Targets].Before(at) && w.confirmedAt[Hosts].After(w.targetsListedAt)
}

// versionsReadTimeout bounds the reads of one ReadVersions.
const versionsReadTimeout = 300 * time.Millisecond

// errGivenUp is the cause of the end of a read that has taken versionsReadTimeout. The store may be
// slow, and does not count as unreachable for that.
var errGivenUp = errors.New("the read has taken too long for the request that waits for it")

// ReadVersions reads the store until VersionsReadSince holds for a time. Calls at the same time share
// their reads, which go on if ctx ends. Errors wrap ErrUnavailable or are those of ctx.
func (w *Watcher) ReadVersions(ctx context.Context, since time.Time) error {
	select {
	case w.readingVersions <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-w.readingVersions }()
	if w.VersionsReadSince(since) {
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(context.WithoutCancel(ctx), versionsReadTimeout, errGivenUp)
	defer cancel()
	if err := w.read(ctx, Targets, 0); err != nil {
		return err
	}
	if w.VersionsReadSince(since) {
		return nil
	}
	return w.read(ctx, Hosts, 0)
}

// readSinceStall reports whether a read of a stream has succeeded that began after the process
// last resumed after a stall.
func (w *Watcher) readSinceStall(name Stream) bool {
	resumedAt := w.resumedAt()
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.confirmedAt[name].Before(resumedAt)
}

// holdRemovalsAfterOutage holds the removal of targets for removalGrace if the
// state was last known to be up to date more than outageThreshold before the given
// time. It must be called before the records of that time are applied, since
// removals may be among them.
func (w *Watcher) holdRemovalsAfterOutage(at time.Time) {
	w.mu.Lock()
	outage := !w.lastConfirmed.IsZero() && at.Sub(w.lastConfirmed) > outageThreshold
	w.mu.Unlock()
	if outage {
		w.State.HoldRemovalsUntil(w.clock.Now().Add(removalGrace))
	}
}

// recordFailure records that a call to the store failed. The stream no longer counts
// as polled.
func (w *Watcher) recordFailure(name Stream, err error) {
	w.mu.Lock()
	w.polling[name] = false
	wasDown := w.storeDown
	w.storeDown = true
	age := w.clock.Now().Sub(w.lastConfirmed)
	w.mu.Unlock()
	if !wasDown {
		event.StoreUnreachable.Log(w.logger, zap.Duration("age", age), zap.Error(err))
	}
}

// readWithin reports whether this host has read any stream from the store within d.
func (w *Watcher) readWithin(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.lastRead) <= d
}

// streamReadWithin reports whether this host has read a stream from the store within d.
func (w *Watcher) streamReadWithin(name Stream, d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.confirmedAt[name]) < d
}

// heardFromPeer reports whether another host has ever confirmed the state.
func (w *Watcher) heardFromPeer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heard
}

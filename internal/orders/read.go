package orders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/logread"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

func (k *leaseManager) readLoop(ctx context.Context) error {
	return k.stream.Follow(ctx, logread.Handlers{Step: k.readOnce, OnTruncated: k.reset})
}

// reset discards what was read from the stream after records have been
// truncated. It ends all holds, because the records that replaced or released
// them may be among the missing ones.
func (k *leaseManager) reset(cause error) {
	event.LogTruncated.Log(k.opts.Logger, zap.String("stream", k.stream.Name), zap.Error(cause))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = nil
	k.caughtUp = false
	k.reachedEnd = false
	clear(k.holds)
	clear(k.pending)
	clear(k.freeSince)
}

func (k *leaseManager) readOnce(ctx context.Context) error {
	k.mu.Lock()
	started, next := k.table != nil, ports.Offset(0)
	if started {
		next = k.table.Next()
	}
	k.mu.Unlock()
	if !started {
		return k.startReading(ctx)
	}
	page, err := k.stream.Read(ctx, next, logread.LongPollWait)
	if err != nil {
		return err
	}
	return k.applyPage(page)
}

// startReading creates the table and reads from the oldest retained record. If
// earlier records were truncated, the table is not acted on before the end of
// the warm-up period.
func (k *leaseManager) startReading(ctx context.Context) error {
	first, err := k.stream.First(ctx)
	if err != nil {
		return err
	}
	page, err := k.stream.Read(ctx, first, 0)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.table = lease.NewTable(first)
	now := k.opts.Clock.Now()
	k.warmUpEnd = now
	if first > 0 && len(page.Records) > 0 {
		k.warmUpEnd = page.Records[0].Time.Add(lease.WarmUpPeriod)
	}
	k.mu.Unlock()
	return k.applyPage(page)
}

func (k *leaseManager) applyPage(page ports.Page) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	caughtUp, err := logread.Apply(page, k.table.Next(), func(rec ports.Record) { k.applyRecord(now, rec) })
	k.caughtUp = caughtUp
	k.reachedEnd = k.reachedEnd || caughtUp
	return err
}

// applyRecord applies one record to the table and updates the holds of this
// process. The caller must hold k.mu.
func (k *leaseManager) applyRecord(now time.Time, rec ports.Record) {
	step := k.table.Apply(now, rec)
	if step.Err != nil {
		event.RecordIgnored.Log(k.opts.Logger, zap.Int64("offset", int64(rec.Offset)), zap.Error(step.Err))
		return
	}
	name := step.Record.Name
	pending, isOwn := k.pending[name]
	isOwn = isOwn && pending.record.ID == step.Record.ID
	if isOwn {
		delete(k.pending, name)
	}
	if !step.Accepted {
		return
	}
	delete(k.freeSince, name)
	switch {
	case isOwn && step.Record.Kind == lease.Acquire:
		k.holds[name] = lease.NewHold(now, pending.startedAt, fenceBase(k.stream.Name)+rec.Offset, step)
		k.renewedAt[name] = pending.startedAt
		event.LeaseAcquired.Log(k.opts.Logger, zap.String("lease", name), zap.Int64("fence", int64(k.holds[name].Fence)))
	case isOwn && step.Record.Kind == lease.Renew:
		k.holds[name] = k.holds[name].Renewed(pending.startedAt)
	default:
		k.dropHold(name)
	}
}

// dropHold ends the hold of a lease, if there is one. The caller must hold k.mu.
func (k *leaseManager) dropHold(name string) {
	h, held := k.holds[name]
	if !held {
		return
	}
	delete(k.holds, name)
	event.LeaseLost.Log(k.opts.Logger, zap.String("lease", name), zap.Int64("fence", int64(h.Fence)))
}

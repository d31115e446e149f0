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

func (m *leaseManager) readLoop(ctx context.Context) error {
	return m.stream.Follow(ctx, logread.Handlers{Step: m.readOnce, OnTruncated: m.reset})
}

// reset discards the state that was read from the stream. It is called when
// records that were not yet read have been truncated. It ends all holds, because
// the missing records may have replaced or released them.
func (m *leaseManager) reset(cause error) {
	event.LogTruncated.Log(m.opts.Logger, zap.String("stream", m.stream.Name), zap.Error(cause))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table = nil
	m.caughtUp = false
	m.everCaughtUp = false
	clear(m.holds)
	clear(m.pending)
	clear(m.freeSince)
}

func (m *leaseManager) readOnce(ctx context.Context) error {
	m.mu.Lock()
	started, next := m.table != nil, ports.Offset(0)
	if started {
		next = m.table.Next()
	}
	m.mu.Unlock()
	if !started {
		return m.startReading(ctx)
	}
	page, err := m.stream.Read(ctx, next, logread.LongPollWait)
	if err != nil {
		return err
	}
	return m.applyPage(page)
}

// startReading creates the table and reads from the oldest retained record. If
// earlier records were truncated, the table is not acted on before the end of
// the warm-up period.
func (m *leaseManager) startReading(ctx context.Context) error {
	first, err := m.stream.First(ctx)
	if err != nil {
		return err
	}
	page, err := m.stream.Read(ctx, first, 0)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.table = lease.NewTable(first)
	now := m.opts.Clock.Now()
	m.warmUpEnd = now
	if first > 0 && len(page.Records) > 0 {
		m.warmUpEnd = page.Records[0].Time.Add(lease.WarmUpPeriod)
	}
	m.mu.Unlock()
	return m.applyPage(page)
}

func (m *leaseManager) applyPage(page ports.Page) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	caughtUp, err := logread.Apply(page, m.table.Next(), func(rec ports.Record) { m.applyRecord(now, rec) })
	m.caughtUp = caughtUp
	m.everCaughtUp = m.everCaughtUp || caughtUp
	return err
}

// applyRecord applies one record to the table and updates the holds of this
// process. The caller must hold m.mu.
func (m *leaseManager) applyRecord(now time.Time, rec ports.Record) {
	step := m.table.Apply(now, rec)
	if step.Err != nil {
		event.RecordIgnored.Log(m.opts.Logger, zap.Int64("offset", int64(rec.Offset)), zap.Error(step.Err))
		return
	}
	name := step.Record.Name
	pending, isOwn := m.pending[name]
	isOwn = isOwn && pending.record.ID == step.Record.ID
	if isOwn {
		delete(m.pending, name)
	}
	if !step.Accepted {
		return
	}
	delete(m.freeSince, name)
	switch {
	case isOwn && step.Record.Kind == lease.Acquire:
		m.holds[name] = lease.NewHold(now, pending.startedAt, fenceBase(m.stream.Name)+rec.Offset, step)
		m.renewedAt[name] = pending.startedAt
		event.LeaseAcquired.Log(m.opts.Logger, zap.String("lease", name), zap.Int64("fence", int64(m.holds[name].Fence)))
	case isOwn && step.Record.Kind == lease.Renew:
		m.holds[name] = m.holds[name].Renewed(pending.startedAt)
	default:
		m.dropHold(name)
	}
}

// dropHold ends the hold of a lease, if there is one. The caller must hold m.mu.
func (m *leaseManager) dropHold(name string) {
	h, held := m.holds[name]
	if !held {
		return
	}
	delete(m.holds, name)
	event.LeaseLost.Log(m.opts.Logger, zap.String("lease", name), zap.Int64("fence", int64(h.Fence)))
}

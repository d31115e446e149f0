package orders

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

const (
	// appendTimeout is the timeout of one append.
	appendTimeout = 2 * time.Second
	// pendingTimeout is how long an append that has not been read back prevents
	// another append for the same lease.
	pendingTimeout = 5 * time.Second
	// nonPreferredDelay is how long a lease must have been free before a host that
	// is not the preferred holder acquires it.
	nonPreferredDelay = 10 * time.Second
)

// maintain renews the wanted leases that are held, acquires the wanted leases
// that are free, and releases held leases that are no longer wanted.
func (m *leaseManager) maintain(ctx context.Context, wanted []wantedLease) {
	var g errgroup.Group
	for _, p := range m.nextRecords(wanted) {
		g.Go(func() error {
			m.appendRecord(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

// appendRecord appends the record of p. If the append had no effect, it removes p
// from the pending appends.
func (m *leaseManager) appendRecord(ctx context.Context, p pendingAppend) {
	data, err := p.record.Encode()
	if err != nil {
		event.InvariantFailed.Log(m.opts.Logger, zap.Error(err))
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, appendTimeout)
	defer cancel()
	_, err = m.opts.Log.Append(ctx, m.stream.Name, data)
	if err == nil || !errors.Is(err, ports.ErrUnavailable) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending[p.record.Name].record.ID == p.record.ID {
		delete(m.pending, p.record.Name)
	}
}

// nextRecords returns the records to append now, and adds them to the pending
// appends.
func (m *leaseManager) nextRecords(wanted []wantedLease) []pendingAppend {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	m.expireHolds(now)
	if m.table == nil || now.Before(m.warmUpEnd) {
		return nil
	}
	var out []pendingAppend
	isWanted := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		isWanted[w.name] = true
		if p, ok := m.nextRecord(now, w); ok {
			out = append(out, p)
		}
	}
	for name := range m.holds {
		if _, busy := m.pending[name]; !isWanted[name] && !busy {
			out = append(out, m.startRelease(now, name))
		}
	}
	return out
}

// expireHolds ends the holds that have expired, and removes pending appends after
// pendingTimeout. Holds may have expired while the process was suspended. The
// caller must hold m.mu.
func (m *leaseManager) expireHolds(now time.Time) {
	for name, h := range m.holds {
		if !h.Held(now) {
			m.dropHold(name)
		}
	}
	for name, p := range m.pending {
		if now.Sub(p.startedAt) >= pendingTimeout {
			delete(m.pending, name)
		}
	}
}

// nextRecord returns the record to append for a wanted lease, or false if there is
// none. The caller must hold m.mu.
func (m *leaseManager) nextRecord(now time.Time, w wantedLease) (pendingAppend, bool) {
	if _, busy := m.pending[w.name]; busy {
		return pendingAppend{}, false
	}
	if h, held := m.holds[w.name]; held {
		if now.Sub(m.renewedAt[w.name]) < lease.RenewInterval {
			return pendingAppend{}, false
		}
		m.renewedAt[w.name] = now
		return m.addPending(now, lease.Renew, w.name, m.acquireOffset(h)), true
	}
	free := m.table.Free(now, w.name)
	if !free || !m.caughtUp {
		delete(m.freeSince, w.name)
		return pendingAppend{}, false
	}
	if _, seen := m.freeSince[w.name]; !seen {
		m.freeSince[w.name] = now
	}
	if !w.preferred && now.Sub(m.freeSince[w.name]) < nonPreferredDelay {
		return pendingAppend{}, false
	}
	return m.addPending(now, lease.Acquire, w.name, lease.None), true
}

// acquireOffset returns the offset of the record that acquired a lease.
func (m *leaseManager) acquireOffset(h lease.Hold) ports.Offset {
	return h.Fence - fenceBase(m.stream.Name)
}

// addPending creates a record and adds it to the pending appends. fence is the
// offset of the record that acquired the lease, or lease.None for an acquisition.
// The caller must hold m.mu.
func (m *leaseManager) addPending(now time.Time, kind lease.Kind, name string, fence ports.Offset) pendingAppend {
	predecessor, predecessorTime := m.table.Predecessor(name)
	p := pendingAppend{startedAt: now, record: lease.Record{
		Kind:            kind,
		Name:            name,
		ID:              uuid.NewString(),
		Holder:          m.opts.Self.ID,
		Incarnation:     m.opts.Self.Incarnation,
		Predecessor:     predecessor,
		PredecessorTime: predecessorTime,
		Fence:           fence,
	}}
	m.pending[name] = p
	return p
}

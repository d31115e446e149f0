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
func (k *leaseManager) maintain(ctx context.Context, wanted []wantedLease) {
	var g errgroup.Group
	for _, p := range k.nextRecords(wanted) {
		g.Go(func() error {
			k.appendRecord(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

func (k *leaseManager) appendRecord(ctx context.Context, p pendingAppend) {
	data, err := p.record.Encode()
	if err != nil {
		event.InvariantFailed.Log(k.opts.Logger, zap.Error(err))
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.opts.Clock, appendTimeout)
	defer cancel()
	_, err = k.opts.Log.Append(ctx, k.stream.Name, data)
	if err == nil || !errors.Is(err, ports.ErrUnavailable) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[p.record.Name].record.ID == p.record.ID {
		delete(k.pending, p.record.Name)
	}
}

// nextRecords returns the records to append now, and adds them to the pending
// appends.
func (k *leaseManager) nextRecords(wanted []wantedLease) []pendingAppend {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	k.expireHolds(now)
	if k.table == nil || now.Before(k.warmUpEnd) {
		return nil
	}
	var out []pendingAppend
	isWanted := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		isWanted[w.name] = true
		if p, ok := k.nextRecord(now, w); ok {
			out = append(out, p)
		}
	}
	for name := range k.holds {
		if _, busy := k.pending[name]; !isWanted[name] && !busy {
			out = append(out, k.startRelease(now, name))
		}
	}
	return out
}

// expireHolds ends the holds that have expired, and removes pending appends after
// pendingTimeout. Holds may have expired while the process was suspended. The
// caller must hold k.mu.
func (k *leaseManager) expireHolds(now time.Time) {
	for name, h := range k.holds {
		if !h.Held(now) {
			k.dropHold(name)
		}
	}
	for name, p := range k.pending {
		if now.Sub(p.startedAt) >= pendingTimeout {
			delete(k.pending, name)
		}
	}
}

// nextRecord returns the record to append for a wanted lease, or false if there is
// none. The caller must hold k.mu.
func (k *leaseManager) nextRecord(now time.Time, w wantedLease) (pendingAppend, bool) {
	if _, busy := k.pending[w.name]; busy {
		return pendingAppend{}, false
	}
	if h, held := k.holds[w.name]; held {
		if now.Sub(k.renewedAt[w.name]) < lease.RenewInterval {
			return pendingAppend{}, false
		}
		k.renewedAt[w.name] = now
		return k.addPending(now, lease.Renew, w.name, k.acquireOffset(h)), true
	}
	free := k.table.Free(now, w.name)
	if !free || !k.caughtUp {
		delete(k.freeSince, w.name)
		return pendingAppend{}, false
	}
	if _, seen := k.freeSince[w.name]; !seen {
		k.freeSince[w.name] = now
	}
	if !w.preferred && now.Sub(k.freeSince[w.name]) < nonPreferredDelay {
		return pendingAppend{}, false
	}
	return k.addPending(now, lease.Acquire, w.name, lease.None), true
}

// acquireOffset returns the offset of the record that acquired a lease.
func (k *leaseManager) acquireOffset(h lease.Hold) ports.Offset {
	return h.Fence - fenceBase(k.stream.Name)
}

// addPending creates a record and adds it to the pending appends. The caller must
// hold k.mu.
func (k *leaseManager) addPending(now time.Time, kind lease.Kind, name string, fence ports.Offset) pendingAppend {
	after, afterTime := k.table.Predecessor(name)
	p := pendingAppend{startedAt: now, record: lease.Record{
		Kind:            kind,
		Name:            name,
		ID:              uuid.NewString(),
		Holder:          k.opts.Self.ID,
		Incarnation:     k.opts.Self.Incarnation,
		Predecessor:     after,
		PredecessorTime: afterTime,
		Fence:           fence,
	}}
	k.pending[name] = p
	return p
}

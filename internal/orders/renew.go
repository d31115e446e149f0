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
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// pendingFor is how long an unread append keeps its lease from another.
	pendingFor = 5 * time.Second
	// patience is how much longer a lease must be free before a host takes it
	// that is not its first choice.
	patience = 10 * time.Second
)

// keep renews the wanted leases that are held, acquires those that are free,
// and releases those that are no longer wanted.
func (k *keeper) keep(ctx context.Context, wanted []wish) {
	var g errgroup.Group
	for _, p := range k.nextRecords(wanted) {
		g.Go(func() error {
			k.append(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

func (k *keeper) append(ctx context.Context, p pending) {
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

// nextRecords returns the records to append now.
func (k *keeper) nextRecords(wanted []wish) []pending {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	k.expire(now)
	if k.table == nil || now.Before(k.settled) {
		return nil
	}
	var out []pending
	names := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		names[w.name] = true
		if p, ok := k.next(now, w); ok {
			out = append(out, p)
		}
	}
	for name := range k.holds {
		if _, busy := k.pending[name]; !names[name] && !busy {
			out = append(out, k.release(now, name))
		}
	}
	return out
}

// expire ends holds whose time is over, also after a pause of the process.
func (k *keeper) expire(now time.Time) {
	for name, h := range k.holds {
		if !h.Held(now) {
			k.drop(name)
		}
	}
	for name, p := range k.pending {
		if now.Sub(p.began) >= pendingFor {
			delete(k.pending, name)
		}
	}
}

func (k *keeper) next(now time.Time, w wish) (pending, bool) {
	if _, busy := k.pending[w.name]; busy {
		return pending{}, false
	}
	if h, held := k.holds[w.name]; held {
		if now.Sub(k.renewed[w.name]) < lease.RenewInterval {
			return pending{}, false
		}
		k.renewed[w.name] = now
		return k.begin(now, lease.Renew, w.name, k.offset(h)), true
	}
	free := k.table.Free(now, w.name)
	if !free || !k.caughtUp {
		delete(k.freeSince, w.name)
		return pending{}, false
	}
	if _, seen := k.freeSince[w.name]; !seen {
		k.freeSince[w.name] = now
	}
	if !w.preferred && now.Sub(k.freeSince[w.name]) < patience {
		return pending{}, false
	}
	return k.begin(now, lease.Acquire, w.name, lease.None), true
}

// offset returns the offset of the record that acquired a hold.
func (k *keeper) offset(h lease.Hold) ports.Offset {
	return h.Fence - fenceBase(k.stream.Name)
}

// begin notes a record that is about to be appended; k.mu is held.
func (k *keeper) begin(now time.Time, kind lease.Kind, name string, fence ports.Offset) pending {
	after, afterTime := k.table.After(name)
	p := pending{began: now, record: lease.Record{
		Kind:        kind,
		Name:        name,
		ID:          uuid.NewString(),
		Holder:      k.opts.Self.ID,
		Incarnation: k.opts.Self.Incarnation,
		After:       after,
		AfterTime:   afterTime,
		Fence:       fence,
	}}
	k.pending[name] = p
	return p
}

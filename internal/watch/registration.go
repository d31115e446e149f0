package watch

import (
	"context"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

// keepRegistered writes the record of this host whenever the store does not hold
// it: after the start, and after a restoration of the store.
func (w *Watcher) keepRegistered(ctx context.Context) {
	value, err := encodeHost(w.self)
	if err != nil {
		event.EntryIgnored.Log(w.logger, zap.String("key", string(w.self.ID)), zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		wait := registrationInterval
		if !w.State.Registered(w.self) && !w.isLeaving() && !w.register(ctx, value) {
			wait = longRetryDelay
		}
		w.sleep(ctx, wait)
	}
}

// register writes the record of this host and reports whether the store has
// accepted it.
func (w *Watcher) register(ctx context.Context, value []byte) bool {
	position, err := w.store.Put(ctx, Hosts, string(w.self.ID), value)
	if err != nil {
		w.recordFailure(Hosts, err)
		return false
	}
	w.recordRegistered()
	w.applyOwnRecord(value, position)
	return true
}

// readHosts reads the hosts regularly while this host is the first live one. The
// others receive them in updates.
func (w *Watcher) readHosts(ctx context.Context) {
	for wait := firstHostsReadDelay; ctx.Err() == nil; wait = hostsReadInterval {
		w.sleep(ctx, wait)
		if w.rank() == 0 {
			// A failure has been recorded; the next read follows anyway.
			_ = w.read(ctx, Hosts, 0)
		}
	}
}

// ReadHosts reads the hosts, and the records that they share, from the store. Errors wrap
// ErrUnavailable.
func (w *Watcher) ReadHosts(ctx context.Context) error { return w.read(ctx, Hosts, 0) }

// Deregister removes the record of this host. Errors wrap ErrUnavailable.
func (w *Watcher) Deregister(ctx context.Context) error {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	position, err := w.store.Put(ctx, Hosts, string(w.self.ID), nil)
	if err != nil {
		return err
	}
	w.applyOwnRecord(nil, position)
	return nil
}

func (w *Watcher) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// applyOwnRecord applies the record of this host that the store has accepted.
func (w *Watcher) applyOwnRecord(value []byte, p Position) {
	w.State.ApplyOwn(w.clock.Now(), Hosts, Record{Key: string(w.self.ID), Value: value, Offset: p.Offset, Incarnation: p.Incarnation})
}

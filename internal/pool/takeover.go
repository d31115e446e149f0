package pool

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/systems/quota"
)

// Adopt brings the places of a host in line with what it has in use, and takes
// over the use of tokens from the home before.
func (h *Home) Adopt(a adoptMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	held := make([]place.Held, 0, len(a.Open))
	for _, g := range a.Open {
		ask := &place.Ask{ID: g.ID, Host: a.Host, Service: g.Service, Customer: g.Customer, Came: now}
		held = append(held, place.Held{Ask: ask, Target: g.Target})
	}
	h.table.Reconcile(now, a.Host, held)
	h.dropEnded(now)
	h.hear(now)
	if config := h.view.Config(); config != nil && !h.told[a.Host] {
		h.told[a.Host] = true
		told := quota.Told{Tokens: a.Tokens, Over: fromMS(float64(a.OverMS)), Part: 1 / float64(max(a.Hosts, 1))}
		h.buckets.Told(now, config.Quotas(), h.share(), told)
	}
}

// dropEvery is the time between two looks for charges whose end was not heard.
const dropEvery = time.Second

// dropEnded forgets the charges of asks that neither wait nor hold a place: the
// home has freed them without hearing of their end. Their tokens stay counted.
// The lock is held.
func (h *Home) dropEnded(now time.Time) {
	if now.Sub(h.dropped) < dropEvery {
		return
	}
	h.dropped = now
	for id := range h.charged {
		if h.waiting[id] == nil && h.table.TargetOf(id) == "" {
			delete(h.charged, id)
		}
	}
}

// takeOverAfter is the time without a host that takes this one for the home,
// after which another one has decided. Hosts list their places more often.
const takeOverAfter = 2500 * time.Millisecond

// hear notes that a host takes this one for the home. The lock is held.
func (h *Home) hear(now time.Time) {
	if now.Sub(h.heard) > takeOverAfter {
		h.tookOver = now
		h.buckets.TakeOver(now)
		clear(h.told)
	}
	h.heard = now
}

const (
	// settleTime is the time after a take-over in which a quota that seems used
	// up may only not be known yet.
	settleTime = time.Second
	// settlePause is the time between two looks at such a quota.
	settlePause = 20 * time.Millisecond
)

// settling reports whether err is a refusal by quota that may not stand, since
// this host has just become the home.
func (h *Home) settling(err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return errkind.Of(err) == errkind.CustomerLimit && h.clock.Now().Sub(h.tookOver) < settleTime
}

// pause waits for settlePause and takes it off the times of m. It reports false
// when the caller has left.
func (h *Home) pause(ctx context.Context, m *askMessage) bool {
	select {
	case <-h.clock.After(settlePause):
	case <-ctx.Done():
		return false
	}
	m.AimMS -= settlePause.Milliseconds()
	m.HoldMS -= settlePause.Milliseconds()
	return true
}

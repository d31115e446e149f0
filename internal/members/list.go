package members

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// listInterval is the interval between two reads of the host list.
	listInterval = 1 * time.Second
	// listTimeout is the timeout of one read of the host list.
	listTimeout = 1 * time.Second
)

// listLoop reads the host list every listInterval and when the feed requests it,
// until ctx ends.
func (m *Members) listLoop(ctx context.Context) error {
	ticker := m.opts.Clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		m.readList(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.opts.Feed.Changed():
		case <-ticker.Chan():
		}
	}
}

// readList reads the platform's host list and applies it. If the read fails, the
// last listing remains in force.
func (m *Members) readList(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, listTimeout)
	defer cancel()
	listing, err := m.opts.List.List(ctx)
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.refresh(now, false)
		return
	}
	before := m.leavingTargets()
	changed := m.table.ApplyListing(now, listing)
	m.refresh(now, changed)
	for id := range m.leavingTargets() {
		if !before[id] {
			event.TargetLeaving.Log(m.opts.Logger, zap.String("target", string(id)))
		}
	}
}

// leavingTargets returns the targets that the listing in force marks as leaving.
// The caller must hold m.mu.
func (m *Members) leavingTargets() map[tables.TargetID]bool {
	out := make(map[tables.TargetID]bool)
	for id, state := range m.table.TargetStates() {
		if state == tables.HostLeaving {
			out[id] = true
		}
	}
	return out
}

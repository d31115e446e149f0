package orders

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

const (
	// maxReleaseAttempts is the maximum number of release records per lease at
	// shutdown.
	maxReleaseAttempts = 3
	// releaseTimeout is the timeout for releasing all leases of one stream at
	// shutdown. Leases that are not released by then expire.
	releaseTimeout = 4 * time.Second
)

// startRelease ends the hold of a lease that is no longer wanted and returns the
// release record to append. The caller must hold m.mu.
func (m *leaseManager) startRelease(now time.Time, name string) pendingAppend {
	h := m.holds[name]
	m.dropHold(name)
	return m.addPending(now, lease.Release, name, m.acquireOffset(h))
}

// releaseAll releases all held leases, so that the next holder does not have to wait
// until they expire. A concurrent renewal may precede the release in the stream
// and make it void; in that case the release is appended again.
func (m *leaseManager) releaseAll(ctx context.Context) {
	acquireOffsets := m.dropAllHolds()
	if len(acquireOffsets) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, releaseTimeout)
	defer cancel()
	for range maxReleaseAttempts {
		if ctx.Err() != nil {
			return
		}
		m.catchUp(ctx)
		records := m.pendingReleases(acquireOffsets)
		if len(records) == 0 {
			return
		}
		for _, p := range records {
			m.appendRecord(ctx, p)
		}
	}
}

// dropAllHolds ends all holds and returns the offsets of the records that
// acquired them, by lease name.
func (m *leaseManager) dropAllHolds() map[string]ports.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	acquireOffsets := make(map[string]ports.Offset, len(m.holds))
	for name, h := range m.holds {
		acquireOffsets[name] = m.acquireOffset(h)
	}
	for name := range acquireOffsets {
		m.dropHold(name)
	}
	return acquireOffsets
}

// catchUp applies the records up to the end of the stream. It stops early if a
// read fails.
func (m *leaseManager) catchUp(ctx context.Context) {
	m.mu.Lock()
	next := m.table.Next()
	m.mu.Unlock()
	for {
		page, err := m.stream.Read(ctx, next, 0)
		if err != nil || len(page.Records) == 0 || m.applyPage(page) != nil {
			return
		}
		next = page.Records[len(page.Records)-1].Offset + 1
	}
}

// pendingReleases returns release records for those of the given leases that are
// not released and have not been acquired again since. acquireOffsets contains
// the offsets of the records that acquired the leases, by lease name.
func (m *leaseManager) pendingReleases(acquireOffsets map[string]ports.Offset) []pendingAppend {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	var out []pendingAppend
	for name, offset := range acquireOffsets {
		if l, ok := m.table.Get(name); ok && l.Fence == offset && !l.Released {
			out = append(out, m.addPending(now, lease.Release, name, offset))
		}
	}
	return out
}

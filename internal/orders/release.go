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
	// releaseTimeout is the timeout for releasing all leases at shutdown. Leases
	// that are not released by then expire.
	releaseTimeout = 4 * time.Second
)

// startRelease ends the hold of a lease that is no longer wanted and returns the
// release record to append. The caller must hold k.mu.
func (k *leaseManager) startRelease(now time.Time, name string) pendingAppend {
	h := k.holds[name]
	k.dropHold(name)
	return k.addPending(now, lease.Release, name, k.acquireOffset(h))
}

// releaseAll releases all leases, so that the next holder does not have to wait
// until they expire. A concurrent renewal may precede the release in the stream
// and make it void; in that case the release is appended again.
func (k *leaseManager) releaseAll(ctx context.Context) {
	fences := k.dropAllHolds()
	if len(fences) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.opts.Clock, releaseTimeout)
	defer cancel()
	for range maxReleaseAttempts {
		if ctx.Err() != nil {
			return
		}
		k.catchUp(ctx)
		records := k.pendingReleases(fences)
		if len(records) == 0 {
			return
		}
		for _, p := range records {
			k.appendRecord(ctx, p)
		}
	}
}

// dropAllHolds ends all holds and returns the offsets of the records that
// acquired them, by lease name.
func (k *leaseManager) dropAllHolds() map[string]ports.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	fences := make(map[string]ports.Offset, len(k.holds))
	for name, h := range k.holds {
		fences[name] = k.acquireOffset(h)
	}
	for name := range fences {
		k.dropHold(name)
	}
	return fences
}

// catchUp applies the records up to the end of the stream. It stops early if a
// read fails.
func (k *leaseManager) catchUp(ctx context.Context) {
	k.mu.Lock()
	next := k.table.Next()
	k.mu.Unlock()
	for {
		page, err := k.stream.Read(ctx, next, 0)
		if err != nil || len(page.Records) == 0 || k.applyPage(page) != nil {
			return
		}
		next = page.Records[len(page.Records)-1].Offset + 1
	}
}

// pendingReleases returns release records for those of the given leases that are
// not released and have not been acquired again since. fences contains the
// offsets of the records that acquired the leases.
func (k *leaseManager) pendingReleases(fences map[string]ports.Offset) []pendingAppend {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	var out []pendingAppend
	for name, fence := range fences {
		if l, ok := k.table.Get(name); ok && l.Fence == fence && !l.Released {
			out = append(out, k.addPending(now, lease.Release, name, fence))
		}
	}
	return out
}

package orders

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

const (
	// releaseTries bounds the releases of one lease at the end.
	releaseTries = 3
	// releaseTimeout bounds all releases at the end; later, leases lapse.
	releaseTimeout = 4 * time.Second
)

// release ends the hold of a lease that is no longer wanted; k.mu is held.
func (k *keeper) release(now time.Time, name string) pending {
	h := k.holds[name]
	k.drop(name)
	return k.begin(now, lease.Release, name, k.offset(h))
}

// releaseAll frees every lease, so that the next holder need not wait. A
// renewal that was under way may come first in the stream; the release is then
// written again after it.
func (k *keeper) releaseAll(ctx context.Context) {
	fences := k.dropAll()
	if len(fences) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, k.opts.Clock, releaseTimeout)
	defer cancel()
	for range releaseTries {
		if ctx.Err() != nil {
			return
		}
		k.catchUp(ctx)
		records := k.releases(fences)
		if len(records) == 0 {
			return
		}
		for _, p := range records {
			k.append(ctx, p)
		}
	}
}

// dropAll ends every hold and returns the offsets of their acquisitions by name.
func (k *keeper) dropAll() map[string]ports.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	fences := make(map[string]ports.Offset, len(k.holds))
	for name, h := range k.holds {
		fences[name] = k.offset(h)
	}
	for name := range fences {
		k.drop(name)
	}
	return fences
}

// catchUp reads to the end of the stream, as far as the log can be read.
func (k *keeper) catchUp(ctx context.Context) {
	k.mu.Lock()
	next := k.table.Next()
	k.mu.Unlock()
	for {
		page, err := k.stream.Read(ctx, next, 0)
		if err != nil || len(page.Records) == 0 || k.fold(page) != nil {
			return
		}
		next = page.Records[len(page.Records)-1].Offset + 1
	}
}

// releases returns the releases of the leases that still have these fences.
func (k *keeper) releases(fences map[string]ports.Offset) []pending {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	var out []pending
	for name, fence := range fences {
		if l, ok := k.table.Get(name); ok && l.Fence == fence && !l.Released {
			out = append(out, k.begin(now, lease.Release, name, fence))
		}
	}
	return out
}

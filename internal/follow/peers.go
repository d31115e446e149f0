package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
)

const (
	// askPause is the wait before peers are asked; the log is often faster.
	askPause = 1 * time.Second
	// askTimeout bounds one question to a peer.
	askTimeout = 2 * time.Second
)

// Export returns the configuration in force for a peer that knows version have;
// the document is left out when it is not newer.
func (f *Follower) Export(have config.Version) peer.ConfigState {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := peer.ConfigState{Version: uint64(f.inForce.Version), Digest: f.inForce.Digest}
	if f.inForce.Version > have {
		out.Snapshot = f.inForce.Canonical()
	}
	return out
}

// Offer takes a peer's configuration when its version is higher than the one
// in force and its digest fits its document. Errors are of kind
// errkind.InvalidConfig; the version in force never falls.
func (f *Follower) Offer(state peer.ConfigState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := config.Version(state.Version)
	if version == f.inForce.Version && state.Digest != f.inForce.Digest {
		f.disagree(version, state.Digest)
		detail := fmt.Sprintf("version %d has digest %016x here and %016x at a peer", version, f.inForce.Digest, state.Digest)
		return errkind.New(errkind.InvalidConfig, detail)
	}
	if version <= f.inForce.Version || len(state.Snapshot) == 0 {
		return nil
	}
	restored, err := config.RestoreDocument(version, state.Digest, state.Snapshot)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidConfig, "peer's configuration is damaged")
	}
	f.enforce(restored, "peer")
	return nil
}

// Heard notes the configuration that a peer named in a heartbeat; a higher
// version is fetched unless the log brings it first.
func (f *Follower) Heard(version config.Version, digest uint64) {
	f.mu.Lock()
	newer := version > f.inForce.Version
	f.heard = max(f.heard, version)
	if version == f.inForce.Version && digest != f.inForce.Digest {
		f.disagree(version, digest)
	}
	f.mu.Unlock()
	if newer {
		f.signal()
	}
}

// disagree reports two documents of one version; f.mu is held.
func (f *Follower) disagree(version config.Version, digest uint64) {
	event.InvariantFailed.Log(f.opts.Logger,
		zap.String("check", "equal versions have equal digests"),
		zap.Uint64("version", uint64(version)),
		zap.Uint64("here", f.inForce.Digest),
		zap.Uint64("peer", digest))
}

func (f *Follower) askLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		}
		if err := f.sleep(ctx, askPause); err != nil {
			return err
		}
		f.ask(ctx)
	}
}

// ask fetches from one peer when a peer is ahead or the log cannot be read.
func (f *Follower) ask(ctx context.Context) {
	f.mu.Lock()
	have := f.inForce.Version
	wanted := f.heard > have || !f.reachable || !f.attached
	f.mu.Unlock()
	if !wanted || f.opts.Peers == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, f.opts.Clock, askTimeout)
	defer cancel()
	state, err := f.opts.Peers.FetchConfig(ctx, have)
	if err == nil {
		err = f.Offer(state)
	}
	if err != nil {
		f.opts.Logger.Debug("peer configuration not taken", zap.Error(err))
	}
	f.mu.Lock()
	still := f.heard > f.inForce.Version || f.inForce.Version == 0
	f.mu.Unlock()
	if still {
		f.signal()
	}
}

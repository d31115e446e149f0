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
	// fetchDelay is the wait before each fetch from a peer; the log usually
	// delivers a new version within this time.
	fetchDelay = 1 * time.Second
	// fetchTimeout limits one fetch.
	fetchTimeout = 2 * time.Second
)

// Export returns the configuration in force for a peer whose version is have. The
// document is omitted if the peer's version is the same or higher.
func (f *Follower) Export(have config.Version) peer.ConfigState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := peer.ConfigState{Version: uint64(f.inForce.Version), Digest: f.inForce.Digest}
	if f.inForce.Version > have {
		state.Snapshot = f.inForce.Canonical()
	}
	return state
}

// ApplyPeerConfig puts a peer's configuration in force if its version is higher
// than the one in force. It returns an error of kind errkind.InvalidConfig if the
// digest does not match the document, or if the peer has another document for the
// version in force. The version in force never decreases.
func (f *Follower) ApplyPeerConfig(state peer.ConfigState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := config.Version(state.Version)
	if version == f.inForce.Version && state.Digest != f.inForce.Digest {
		f.logDigestMismatch(version, state.Digest)
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

// RecordPeerVersion records the version and digest that a peer reported in a
// heartbeat. A higher version than the one in force is fetched from a peer unless
// it arrives from the log first.
func (f *Follower) RecordPeerVersion(version config.Version, digest uint64) {
	f.mu.Lock()
	newer := version > f.inForce.Version
	f.peerVersion = max(f.peerVersion, version)
	if version == f.inForce.Version && digest != f.inForce.Digest {
		f.logDigestMismatch(version, digest)
	}
	f.mu.Unlock()
	if newer {
		f.wakeFetchLoop()
	}
}

// logDigestMismatch logs that a peer has another document for the version in
// force. The caller must hold f.mu.
func (f *Follower) logDigestMismatch(version config.Version, digest uint64) {
	event.InvariantFailed.Log(f.opts.Logger,
		zap.String("check", "equal versions have equal digests"),
		zap.Uint64("version", uint64(version)),
		zap.Uint64("here", f.inForce.Digest),
		zap.Uint64("peer", digest))
}

func (f *Follower) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.fetchWanted:
		}
		if err := f.sleep(ctx, fetchDelay); err != nil {
			return err
		}
		f.fetchFromPeer(ctx)
	}
}

// fetchFromPeer fetches the configuration from one peer if a peer has a higher
// version, the log cannot be read, or no state to start from was found in the log.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	f.mu.Lock()
	have := f.inForce.Version
	needed := f.peerVersion > have || !f.logReachable || !f.logStateValid
	f.mu.Unlock()
	if !needed || f.opts.Peers == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, f.opts.Clock, fetchTimeout)
	defer cancel()
	state, err := f.opts.Peers.FetchConfig(ctx, have)
	if err == nil {
		err = f.ApplyPeerConfig(state)
	}
	if err != nil {
		f.opts.Logger.Debug("could not apply the configuration of a peer", zap.Error(err))
	}
	f.mu.Lock()
	stillBehind := f.peerVersion > f.inForce.Version || f.inForce.Version == 0
	f.mu.Unlock()
	if stillBehind {
		f.wakeFetchLoop()
	}
}

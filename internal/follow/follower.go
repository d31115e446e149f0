// Package follow keeps a host's configuration up to date. It applies the
// configuration stream of the log, and fetches the configuration from peers when
// the log is behind or unreachable.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// DefaultRetention is the assumed time for which the log keeps a record.
const DefaultRetention = time.Hour

// Peers fetches the configuration of other hosts.
type Peers interface {
	// FetchConfig returns the configuration of a peer, preferably of one that
	// reported a version higher than the caller's, have. It returns an error if no
	// peer responded.
	FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error)
}

// Options are the dependencies and settings of a Follower.
type Options struct {
	// Host is part of the seed of the random delays.
	Host   tables.HostID
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Peers may be nil; the log is then the only source.
	Peers Peers
	// Retention is how long the log keeps a record; zero means
	// DefaultRetention.
	Retention time.Duration
	// SkipSnapshots disables the writing of snapshots, which is then left to
	// other processes.
	SkipSnapshots bool
}

// Snapshot is the configuration in force on a host. The document must not be
// modified.
type Snapshot struct {
	// Version is zero if the host has no configuration yet.
	Version  config.Version
	Digest   uint64
	Document *config.Document
}

// Follower maintains one host's configuration. It is safe for concurrent use.
type Follower struct {
	opts Options

	mu sync.Mutex
	// logState is the state built from the records of the log. It is valid while
	// logStateValid is set.
	logState config.State
	// logStateValid is set when a state to start from was found in the log, and
	// cleared when records after logState are missing.
	logStateValid bool
	// scanEnd is the offset at which the latest search for a snapshot ended.
	scanEnd ports.Offset
	// caughtUp is set if the last read reached the end of the stream.
	caughtUp bool
	// inForce is the state with the highest version received, from the log or
	// from a peer.
	inForce config.State
	// changed is closed and replaced when another version comes into force.
	changed chan struct{}
	// recordsApplied is closed and replaced when records of the log were applied.
	recordsApplied chan struct{}
	// fetchWanted triggers a fetch from a peer.
	fetchWanted  chan struct{}
	logReachable bool
	// peerVersion is the highest version that a peer has reported.
	peerVersion config.Version
	// recoveryWaitStart is the time from which recoveryDelay counts. It lies a
	// random delay after the log was first found to lack the version in force. It is zero
	// while the log has that version or cannot be reached.
	recoveryWaitStart time.Time
	snapshots         snapshotSchedule
	rand              *rand.Rand
}

// New returns a Follower without a configuration. It gets one when Run reads the
// log, or by ApplyPeerConfig.
func New(opts Options) *Follower {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	seed := xxhash.Sum64String(string(opts.Host))
	return &Follower{
		opts:           opts,
		logState:       config.EmptyState(),
		inForce:        config.EmptyState(),
		changed:        make(chan struct{}),
		recordsApplied: make(chan struct{}),
		fetchWanted:    make(chan struct{}, 1),
		rand:           rand.New(rand.NewPCG(seed, uint64(opts.Clock.Now().UnixNano()))),
	}
}

// Run follows the log and fetches from peers until ctx ends, and returns the
// error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.fetchLoop(ctx) })
	g.Go(func() error { return f.snapshotLoop(ctx) })
	return g.Wait()
}

// Current returns the configuration in force.
func (f *Follower) Current() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{Version: f.inForce.Version, Digest: f.inForce.Digest, Document: f.inForce.Document}
}

// Changed returns a channel that is closed when the next version comes into
// force. Call Changed before Current, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// LogReachable reports whether the last read of the log succeeded.
func (f *Follower) LogReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logReachable
}

// History returns the latest decisions on patches, newest first. It contains only
// those that the state read from the log still has.
func (f *Follower) History() []config.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	decisions := make([]config.Result, 0, len(f.logState.Decisions))
	for i := len(f.logState.Decisions) - 1; i >= 0; i-- {
		decisions = append(decisions, f.logState.Decisions[i])
	}
	return decisions
}

// enforce puts s in force if its version is higher than the one in force. The
// caller must hold f.mu.
func (f *Follower) enforce(s config.State, source string) {
	if s.Version == f.inForce.Version && s.Digest != f.inForce.Digest {
		event.InvariantFailed.Log(f.opts.Logger,
			zap.String("check", "equal versions have equal digests"),
			zap.Uint64("version", uint64(s.Version)),
			zap.String("source", source))
		return
	}
	if s.Version <= f.inForce.Version {
		return
	}
	f.inForce = s
	close(f.changed)
	f.changed = make(chan struct{})
	event.ConfigInForce.Log(f.opts.Logger,
		zap.Uint64("version", uint64(s.Version)),
		zap.Uint64("digest", s.Digest),
		zap.String("source", source))
}

func (f *Follower) setReachable(ok bool, cause error) {
	f.mu.Lock()
	wasReachable := f.logReachable
	f.logReachable = ok
	if !ok {
		f.caughtUp = false
	}
	f.mu.Unlock()
	if ok && !wasReachable {
		event.LogReachable.Log(f.opts.Logger)
	}
	if !ok {
		f.wakeFetchLoop()
	}
	if !ok && wasReachable {
		event.LogUnreachable.Log(f.opts.Logger, zap.Error(cause))
	}
}

// wakeFetchLoop wakes the loop that fetches from peers.
func (f *Follower) wakeFetchLoop() {
	select {
	case f.fetchWanted <- struct{}{}:
	default:
	}
}

// sleep waits for d or until ctx ends.
func (f *Follower) sleep(ctx context.Context, d time.Duration) error {
	t := f.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Chan():
		return nil
	}
}

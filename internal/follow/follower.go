// Package follow keeps a host's configuration in step with the configuration
// stream of the log, and with its peers while the log cannot be read.
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

// DefaultRetention is how long the log is taken to keep a record.
const DefaultRetention = time.Hour

// Peers asks other hosts for their configuration.
type Peers interface {
	// FetchConfig returns the configuration of a peer that probably knows a
	// version above have. Errors say that no peer answered.
	FetchConfig(ctx context.Context, have config.Version) (peer.ConfigState, error)
}

// Options are the parts of a Follower.
type Options struct {
	// Host seeds the jitter.
	Host   tables.HostID
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Peers may be nil: the log is then the only source.
	Peers Peers
	// Retention is how long the log keeps a record; zero means
	// DefaultRetention.
	Retention time.Duration
	// SkipSnapshots leaves the writing of snapshots to other processes.
	SkipSnapshots bool
}

// Snapshot is the configuration in force on this host. The document must not
// be changed.
type Snapshot struct {
	// Version is zero while the host knows no configuration.
	Version  config.Version
	Digest   uint64
	Document *config.Document
}

// Follower is one host's view of the configuration. It is safe for concurrent
// use.
type Follower struct {
	opts Options

	mu sync.Mutex
	// fold is the state read from the log; it is valid while attached.
	fold     config.State
	attached bool
	// scanned is the end of the stream at the last search for a snapshot.
	scanned ports.Offset
	// caughtUp states that the last read reached the end of the stream.
	caughtUp bool
	// inForce is the highest version seen, from the log or from peers.
	inForce   config.State
	changed   chan struct{}
	decided   chan struct{}
	wake      chan struct{}
	reachable bool
	// heard is the highest version that a peer has named.
	heard     config.Version
	behind    time.Time
	snapshots snapshotClock
	rand      *rand.Rand
}

// New returns a Follower that knows nothing until Run reads the log or Offer
// brings a peer's configuration.
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
		opts:    opts,
		fold:    config.Empty(),
		inForce: config.Empty(),
		changed: make(chan struct{}),
		decided: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		rand:    rand.New(rand.NewPCG(seed, uint64(opts.Clock.Now().UnixNano()))),
	}
}

// Run follows the log and the peers until ctx ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.askLoop(ctx) })
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
// force. Take the channel before Current, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// LogReachable reports whether the last read of the log worked.
func (f *Follower) LogReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// History returns the decisions that the host remembers, newest first.
func (f *Follower) History() []config.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]config.Result, 0, len(f.fold.Decided))
	for i := len(f.fold.Decided) - 1; i >= 0; i-- {
		out = append(out, f.fold.Decided[i])
	}
	return out
}

// enforce puts s in force when its version is higher; f.mu is held.
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
	before := f.reachable
	f.reachable = ok
	if !ok {
		f.caughtUp = false
	}
	f.mu.Unlock()
	if ok && !before {
		event.LogReachable.Log(f.opts.Logger)
	}
	if !ok {
		f.signal()
	}
	if !ok && before {
		event.LogUnreachable.Log(f.opts.Logger, zap.Error(cause))
	}
}

// signal wakes the loop that asks peers.
func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
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

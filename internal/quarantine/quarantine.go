// Package quarantine replicates the quarantine table of a host, which holds the
// fingerprints of requests that crashed targets. Changes are sent to peers
// directly, so that the table spreads while the log is down, and are also written
// to the log.
package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/dispatcher"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	system "github.com/bluebellseam/bluebellseam/internal/systems/quarantine"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Defaults of Options.
const (
	DefaultSuspectFor    = 10 * time.Minute
	DefaultQuarantineFor = time.Hour
)

const (
	expiryInterval      = 10 * time.Second
	exchangeInterval    = 10 * time.Second
	peerTimeout         = 2 * time.Second
	logTimeout          = 5 * time.Second
	readPollTimeout     = 30 * time.Second
	logRetryDelay       = time.Second
	maxConcurrentPushes = 16
)

// Caller calls a method of a peer; *peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options configure a Quarantine.
type Options struct {
	// Host seeds the random choice of peers.
	Host   tables.HostID
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	Caller Caller
	// Peers returns the addresses of the other live hosts.
	Peers func() []string
	// SuspectFor is how long after one crash requests with the fingerprint may run
	// only at a target that runs nothing else; zero means the default.
	SuspectFor time.Duration
	// QuarantineFor is how long a fingerprint is refused after its last crash;
	// zero means the default. The log should retain records for at least as
	// long.
	QuarantineFor time.Duration
}

// Quarantine is the quarantine table of a host. It is safe for concurrent use.
type Quarantine struct {
	opts Options
	rand *rand.Rand

	mu    sync.Mutex
	table *system.Table
	// unwritten are the changes of this host that are not yet in the log.
	unwritten []peer.QuarantineEntry
	// unsent are the changes of this host that are not yet sent to peers.
	unsent []peer.QuarantineEntry
	// pushed is closed once unsent has been sent to all reachable peers.
	pushed       chan struct{}
	writePending chan struct{}
	pushPending  chan struct{}
}

var _ dispatcher.Quarantine = (*Quarantine)(nil)

// New returns an empty table. Run fills it from the log and from peers.
func New(opts Options) *Quarantine {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.SuspectFor == 0 {
		opts.SuspectFor = DefaultSuspectFor
	}
	if opts.QuarantineFor == 0 {
		opts.QuarantineFor = DefaultQuarantineFor
	}
	limits := system.Limits{SuspectFor: opts.SuspectFor, QuarantineFor: opts.QuarantineFor}
	return &Quarantine{
		opts:         opts,
		rand:         rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Host)), uint64(opts.Clock.Now().UnixNano()))),
		table:        system.NewTable(limits),
		writePending: make(chan struct{}, 1),
		pushPending:  make(chan struct{}, 1),
		pushed:       make(chan struct{}),
	}
}

// Run replicates the table until ctx ends and returns the error of ctx.
func (q *Quarantine) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return q.readLoop(ctx) })
	g.Go(func() error { return q.writeLoop(ctx) })
	g.Go(func() error { return q.pushLoop(ctx) })
	g.Go(func() error { return q.exchangeLoop(ctx) })
	g.Go(func() error { return q.expiryLoop(ctx) })
	return g.Wait()
}

// RecordCrash records the requests that were in flight at a target when it crashed.
// The channel is closed after the next push to all reachable peers, which
// contains the changed entries. If no entry changed, no push is started.
func (q *Quarantine) RecordCrash(id tables.TargetID, inFlight []dispatcher.SuspectFingerprint) <-chan struct{} {
	suspects := make([]system.Suspect, 0, len(inFlight))
	for _, s := range inFlight {
		suspects = append(suspects, system.Suspect(s))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.publish(q.table.RecordCrash(q.opts.Clock.Now(), id, suspects))
	return q.pushed
}

// Check reports whether requests with fingerprint f are refused, or may run only
// alone at a target.
func (q *Quarantine) Check(f tables.Fingerprint) (refused, alone bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.table.Check(q.opts.Clock.Now(), f)
	return v == system.Refused, v == system.Alone
}

// List returns the entries whose fingerprints are refused now.
func (q *Quarantine) List() []peer.QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Refused(q.opts.Clock.Now())
}

// Release lifts an entry on this host immediately and on other hosts when they
// receive the change. If there is no such entry, the error is of kind
// UnknownQuarantine.
func (q *Quarantine) Release(_ context.Context, f tables.Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, err := q.table.Release(q.opts.Clock.Now(), f)
	if err != nil {
		return err
	}
	event.QuarantineLifted.Log(q.opts.Logger, entryFields(e, "operator")...)
	q.publish([]peer.QuarantineEntry{e})
	return nil
}

// Share merges the entries of a peer and returns the entries of this host.
func (q *Quarantine) Share(_ context.Context, s peer.Share) (peer.Share, error) {
	q.merge(s.Entries)
	q.mu.Lock()
	defer q.mu.Unlock()
	return peer.Share{Entries: q.table.All()}, nil
}

// merge adds entries received from a peer or read from the log to the table.
func (q *Quarantine) merge(entries []peer.QuarantineEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logRefused(q.table.Merge(q.opts.Clock.Now(), entries))
}

// publish queues changes of this host for peers and the log. The caller must hold
// q.mu.
func (q *Quarantine) publish(entries []peer.QuarantineEntry) {
	if len(entries) == 0 {
		return
	}
	q.logRefused(entries)
	q.unsent = append(q.unsent, entries...)
	q.unwritten = append(q.unwritten, entries...)
	signal(q.pushPending)
	signal(q.writePending)
}

// logRefused logs the entries whose fingerprints are refused. The caller must
// hold q.mu.
func (q *Quarantine) logRefused(entries []peer.QuarantineEntry) {
	now := q.opts.Clock.Now()
	for _, e := range entries {
		if q.table.Check(now, e.Fingerprint) == system.Refused {
			event.QuarantineAdded.Log(q.opts.Logger, entryFields(e, "crashes")...)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

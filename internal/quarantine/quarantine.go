// Package quarantine keeps one host's table of content that crashed targets
// in step with its peers and with the log. Peers are told first, so that the
// table spreads while the log is down.
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
	expiryTick    = 10 * time.Second
	exchangeEvery = 10 * time.Second
	peerTimeout   = 2 * time.Second
	logTimeout    = 5 * time.Second
	readWait      = 30 * time.Second
	logRetry      = time.Second
	pushesAtOnce  = 16
)

// Caller sends one message to a peer; *peer.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options are the parts of a Quarantine.
type Options struct {
	// Host seeds the choice of peers.
	Host   tables.HostID
	Log    ports.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	Caller Caller
	// Peers returns the addresses of the other live hosts.
	Peers func() []string
	// SuspectFor is how long content runs only alone after one crash; zero
	// means the default.
	SuspectFor time.Duration
	// QuarantineFor is how long content is refused after its last crash; zero
	// means the default. The log should keep records for as long.
	QuarantineFor time.Duration
}

// Quarantine is the host's table. It is safe for concurrent use.
type Quarantine struct {
	opts Options
	rand *rand.Rand

	mu    sync.Mutex
	table *system.Table
	// unwritten are own changes that the log does not have yet.
	unwritten []peer.QuarantineEntry
	// unsent are own changes that peers have not been told.
	unsent []peer.QuarantineEntry
	// pushed is closed once unsent has been told to peers.
	pushed  chan struct{}
	changed chan struct{}
	told    chan struct{}
}

var _ dispatcher.Quarantine = (*Quarantine)(nil)

// New returns a table that knows nothing until Run reads the log or peers
// share theirs.
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
		opts:    opts,
		rand:    rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Host)), uint64(opts.Clock.Now().UnixNano()))),
		table:   system.NewTable(limits),
		changed: make(chan struct{}, 1),
		told:    make(chan struct{}, 1),
		pushed:  make(chan struct{}),
	}
}

// Run shares the table until ctx ends, and returns the error of ctx.
func (q *Quarantine) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return q.readLoop(ctx) })
	g.Go(func() error { return q.writeLoop(ctx) })
	g.Go(func() error { return q.pushLoop(ctx) })
	g.Go(func() error { return q.exchangeLoop(ctx) })
	g.Go(func() error { return q.expiryLoop(ctx) })
	return g.Wait()
}

// Crashed records the content in flight at a target that crashed. The channel
// is closed once the peers that could be reached have been told.
func (q *Quarantine) Crashed(id tables.TargetID, inFlight []dispatcher.Suspect) <-chan struct{} {
	suspects := make([]system.Suspect, 0, len(inFlight))
	for _, s := range inFlight {
		suspects = append(suspects, system.Suspect(s))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.publish(q.table.RecordCrash(q.opts.Clock.Now(), id, suspects))
	return q.pushed
}

// Check returns whether content is refused, or may run only alone.
func (q *Quarantine) Check(f tables.Fingerprint) (refused, alone bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.table.Check(q.opts.Clock.Now(), f)
	return v == system.Refused, v == system.Alone
}

// List returns the entries that refuse content now.
func (q *Quarantine) List() []peer.QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Refused(q.opts.Clock.Now())
}

// Release lifts an entry here at once and on the other hosts as they hear of
// it. The error of an entry that does not exist is of kind UnknownQuarantine.
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

// Share takes in the entries of a peer and returns those of this host.
func (q *Quarantine) Share(_ context.Context, s peer.Share) (peer.Share, error) {
	q.merge(s.Entries)
	q.mu.Lock()
	defer q.mu.Unlock()
	return peer.Share{Entries: q.table.All()}, nil
}

// merge takes in entries of peers or the log.
func (q *Quarantine) merge(entries []peer.QuarantineEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.report(q.table.Merge(q.opts.Clock.Now(), entries))
}

// publish queues own changes for peers and the log; q.mu is held.
func (q *Quarantine) publish(entries []peer.QuarantineEntry) {
	if len(entries) == 0 {
		return
	}
	q.report(entries)
	q.unsent = append(q.unsent, entries...)
	q.unwritten = append(q.unwritten, entries...)
	signal(q.told)
	signal(q.changed)
}

// report logs the entries that refuse content; q.mu is held.
func (q *Quarantine) report(entries []peer.QuarantineEntry) {
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

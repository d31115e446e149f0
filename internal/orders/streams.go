package orders

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
)

// leaseStreams manages the leases of all streams that this process follows.
// These are the stream of each failure domain whose lease it wants and, while it
// holds any lease, the shared stream with the weight-store leases and the demand
// reports. It is safe for concurrent use.
type leaseStreams struct {
	opts    Options
	readers sync.WaitGroup

	mu sync.Mutex
	// followed contains the followed streams by name.
	followed map[string]*followedStream
}

// followedStream is the lease manager of a stream and a function that stops its
// reader.
type followedStream struct {
	*leaseManager
	stopReader context.CancelFunc
}

func newLeaseStreams(opts Options) *leaseStreams {
	return &leaseStreams{opts: opts, followed: make(map[string]*followedStream)}
}

// streamOf returns the name of the stream that contains a lease.
func streamOf(name string) string {
	if id, ok := strings.CutPrefix(name, orderLeasePrefix); ok {
		return ports.DomainLeaseStreamPrefix + id
	}
	return ports.SharedLeaseStream
}

// fenceBase returns the number that is added to the offset of a record in a
// stream to get its fencing number.
func fenceBase(stream string) ports.Offset {
	if stream == ports.SharedLeaseStream {
		return 0
	}
	return lease.MinDomainFence
}

// manager returns the lease manager of a stream, or nil if the stream is not
// followed.
func (s *leaseStreams) manager(stream string) *leaseManager {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.followed[stream]; f != nil {
		return f.leaseManager
	}
	return nil
}

func (s *leaseStreams) managers() map[string]*leaseManager {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*leaseManager, len(s.followed))
	for name, f := range s.followed {
		out[name] = f.leaseManager
	}
	return out
}

// usableHold returns the hold of a lease. The second result is false if this
// process may not send orders under the lease now.
func (s *leaseStreams) usableHold(name string) (lease.Hold, bool) {
	if m := s.manager(streamOf(name)); m != nil {
		return m.usableHold(name)
	}
	return lease.Hold{}, false
}

// available reports whether a lease is free or held by this process. It returns
// false for a lease whose stream is not followed.
func (s *leaseStreams) available(name string) bool {
	m := s.manager(streamOf(name))
	return m != nil && m.available(name)
}

// heldNames returns the sorted names of the leases that are held now.
func (s *leaseStreams) heldNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, f := range s.followed {
		out = append(out, f.heldNames()...)
	}
	slices.Sort(out)
	return out
}

// reportedDemand returns the total demand that the controllers of all failure
// domains have reported. known is false if there are no reports. ready is false
// until the shared stream is followed and has been read to its end.
func (s *leaseStreams) reportedDemand() (rates demand.Rates, known, ready bool) {
	if m := s.manager(ports.SharedLeaseStream); m != nil {
		return m.reportedDemand()
	}
	return nil, false, false
}

// maintain follows the streams of the wanted leases, and renews, acquires and
// releases leases in them.
func (s *leaseStreams) maintain(ctx context.Context, wanted []wantedLease) {
	byStream := make(map[string][]wantedLease)
	for _, w := range wanted {
		stream := streamOf(w.name)
		byStream[stream] = append(byStream[stream], w)
	}
	s.follow(ctx, byStream)
	var g errgroup.Group
	for name, m := range s.managers() {
		g.Go(func() error {
			m.maintain(ctx, byStream[name])
			return nil
		})
	}
	_ = g.Wait()
}

// follow starts the readers of the streams with wanted leases. It stops the
// readers of the other streams in which no lease is held; the shared stream is
// followed while any lease is held.
func (s *leaseStreams) follow(ctx context.Context, wanted map[string][]wantedLease) {
	follow := make(map[string]bool)
	for name := range wanted {
		follow[name] = true
	}
	for name, m := range s.managers() {
		if len(m.heldNames()) > 0 {
			follow[name] = true
			follow[ports.SharedLeaseStream] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range follow {
		if s.followed[name] == nil {
			s.followed[name] = s.startReader(ctx, name)
		}
	}
	for name, f := range s.followed {
		if !follow[name] {
			f.stopReader()
			delete(s.followed, name)
		}
	}
}

func (s *leaseStreams) startReader(ctx context.Context, name string) *followedStream {
	ctx, stop := context.WithCancel(ctx)
	f := &followedStream{leaseManager: newLeaseManager(s.opts, name), stopReader: stop}
	s.readers.Go(func() { _ = f.readLoop(ctx) })
	return f
}

// releaseAll waits until the readers have ended and releases all held leases. The
// readers end when the context that was passed to maintain is done.
func (s *leaseStreams) releaseAll(ctx context.Context) {
	s.readers.Wait()
	var g errgroup.Group
	for m := range maps.Values(s.managers()) {
		g.Go(func() error {
			m.releaseAll(ctx)
			return nil
		})
	}
	_ = g.Wait()
}

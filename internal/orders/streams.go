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

// streams holds leases in the streams that this process follows: one for each
// failure domain whose lease it may hold and, while it holds one, the shared
// stream of the weight store's leases and the demand. It is safe for concurrent
// use.
type streams struct {
	opts    Options
	readers sync.WaitGroup

	mu sync.Mutex
	// followed has the keepers by stream.
	followed map[string]*followed
}

// followed is a keeper and the end of its reader.
type followed struct {
	*keeper
	stop context.CancelFunc
}

func newStreams(opts Options) *streams {
	return &streams{opts: opts, followed: make(map[string]*followed)}
}

// streamOf returns the stream of a lease.
func streamOf(name string) string {
	if id, ok := strings.CutPrefix(name, orderLeasePrefix); ok {
		return ports.LeaseStreamPrefix + id
	}
	return ports.LeaseStream
}

// fenceBase returns what is added to offsets of a stream to get its fencing
// numbers.
func fenceBase(stream string) ports.Offset {
	if stream == ports.LeaseStream {
		return 0
	}
	return lease.MinDomainFence
}

// keeper returns the keeper of a stream; nil when it is not followed.
func (s *streams) keeper(stream string) *keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.followed[stream]; f != nil {
		return f.keeper
	}
	return nil
}

func (s *streams) keepers() map[string]*keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*keeper, len(s.followed))
	for name, f := range s.followed {
		out[name] = f.keeper
	}
	return out
}

// hold returns the hold of a name while this process may order under it.
func (s *streams) hold(name string) (lease.Hold, bool) {
	if k := s.keeper(streamOf(name)); k != nil {
		return k.hold(name)
	}
	return lease.Hold{}, false
}

// available reports whether a lease is free or held by this process.
func (s *streams) available(name string) bool {
	k := s.keeper(streamOf(name))
	return k != nil && k.available(name)
}

// names returns the leases held now, sorted.
func (s *streams) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, f := range s.followed {
		out = append(out, f.names()...)
	}
	slices.Sort(out)
	return out
}

// demand returns what the holders of all failure domains have said of demand;
// known is false while none has, and ready while the shared stream is not read
// to its end.
func (s *streams) demand() (rates demand.Rates, known, ready bool) {
	if k := s.keeper(ports.LeaseStream); k != nil {
		return k.demand()
	}
	return nil, false, false
}

// keep follows the streams of the wanted leases, and holds and releases leases
// in them.
func (s *streams) keep(ctx context.Context, wanted []wish) {
	byStream := make(map[string][]wish)
	for _, w := range wanted {
		stream := streamOf(w.name)
		byStream[stream] = append(byStream[stream], w)
	}
	s.follow(ctx, byStream)
	var g errgroup.Group
	for name, k := range s.keepers() {
		g.Go(func() error {
			k.keep(ctx, byStream[name])
			return nil
		})
	}
	_ = g.Wait()
}

// follow starts the readers of the streams that are wanted, and ends those of
// streams that are not and in which nothing is held.
func (s *streams) follow(ctx context.Context, wanted map[string][]wish) {
	follow := make(map[string]bool)
	for name := range wanted {
		follow[name] = true
	}
	for name, k := range s.keepers() {
		if len(k.names()) > 0 {
			follow[name] = true
			follow[ports.LeaseStream] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range follow {
		if s.followed[name] == nil {
			s.followed[name] = s.start(ctx, name)
		}
	}
	for name, f := range s.followed {
		if !follow[name] {
			f.stop()
			delete(s.followed, name)
		}
	}
}

func (s *streams) start(ctx context.Context, name string) *followed {
	ctx, stop := context.WithCancel(ctx)
	f := &followed{keeper: newKeeper(s.opts, name), stop: stop}
	s.readers.Go(func() { _ = f.readLoop(ctx) })
	return f
}

// releaseAll frees every lease once the readers have ended.
func (s *streams) releaseAll(ctx context.Context) {
	s.readers.Wait()
	var g errgroup.Group
	for k := range maps.Values(s.keepers()) {
		g.Go(func() error {
			k.releaseAll(ctx)
			return nil
		})
	}
	_ = g.Wait()
}

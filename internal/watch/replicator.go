package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/links"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Messages between hosts.
const (
	// methodAttach asks a host for everything that it knows, and for its news
	// from then on.
	methodAttach = "watch.attach"
	// methodNews carries News, in either direction.
	methodNews = "watch.news"
)

// tellers is the number of hosts that send news to those attached to them.
const tellers = 2

// attach is what a host tells when it attaches: itself, and the hosts that it
// knows.
type attach struct {
	Host  fleet.Host `json:"host"`
	Hosts []Change   `json:"hosts,omitempty"`
}

// Sharer passes the state of a host on to those attached to it.
type Sharer struct {
	self    fleet.Host
	watcher *Watcher
	links   *links.Links
	clock   clockwork.Clock
	logger  *zap.Logger
	// lag belongs to Run.
	lag *links.Lag
	// Detached is called when the last connection of a host is gone; it may be
	// nil.
	Detached func(tables.HostID)

	mu       sync.Mutex
	attached map[*peer.Conn]*subscriber
	// told is the number of changes that went to each host that this one is
	// attached to.
	told map[*peer.Conn]int
	wake chan struct{}
}

type subscriber struct {
	host tables.HostID
	seen int
}

// NewSharer returns a sharer and registers its messages with mux.
func NewSharer(self fleet.Host, w *Watcher, l *links.Links, mux *peer.Mux, clock clockwork.Clock, logger *zap.Logger) *Sharer {
	s := &Sharer{self: self, watcher: w, links: l, clock: clock, logger: logger, lag: links.NewLag(), attached: make(map[*peer.Conn]*subscriber), told: make(map[*peer.Conn]int), wake: make(chan struct{}, 1)}
	peer.Handle(mux, methodAttach, s.onAttach)
	peer.Handle(mux, methodNews, func(_ context.Context, conn *peer.Conn, n News) (struct{}, error) {
		if n.Busy {
			l.Busy(conn)
		}
		w.TakeNews(n)
		return struct{}{}, nil
	})
	return s
}

// Attach makes a host send its news over conn. Errors wrap peer.ErrBroken.
func (s *Sharer) Attach(ctx context.Context, conn *peer.Conn) error {
	var all News
	hosts := s.watcher.State.AllOf(Hosts)
	if err := conn.Call(ctx, methodAttach, attach{Host: s.self, Hosts: hosts}, &all); err != nil {
		return err
	}
	s.watcher.TakeNews(all)
	newer := s.watcher.State.NewerThan(all.Changes)
	conn.Post(methodNews, s.watcher.news(newer))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[conn] = newer.Taken
	return nil
}

func (s *Sharer) onAttach(_ context.Context, conn *peer.Conn, a attach) (News, error) {
	s.watcher.State.TakeNews(s.clock.Now(), a.Hosts, nil)
	all := s.watcher.State.Since(0)
	s.mu.Lock()
	s.attached[conn] = &subscriber{host: a.Host.ID, seen: all.Taken}
	s.mu.Unlock()
	go s.awaitEnd(conn)
	return s.watcher.news(all), nil
}

func (s *Sharer) awaitEnd(conn *peer.Conn) {
	<-conn.Done()
	s.mu.Lock()
	host := s.attached[conn].host
	delete(s.attached, conn)
	left := slices.ContainsFunc(slices.Collect(maps.Values(s.attached)), func(o *subscriber) bool { return o.host == host })
	s.mu.Unlock()
	if !left && s.Detached != nil {
		s.Detached(host)
	}
}

// Attached returns the hosts that are attached to this one.
func (s *Sharer) Attached() map[tables.HostID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[tables.HostID]bool, len(s.attached))
	for _, sub := range s.attached {
		out[sub.host] = true
	}
	return out
}

// Post sends a notification to every attached host.
func (s *Sharer) Post(method string, params any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.attached {
		conn.Post(method, params)
	}
}

// Wake makes the next news go out at once.
func (s *Sharer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends news until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		s.tellAttached()
		s.tellUpwards()
		began := s.clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-s.clock.After(links.BeatEvery):
			s.measure(s.clock.Now().Sub(began))
		}
	}
}

// measure notes how long a wait of BeatEvery took.
func (s *Sharer) measure(took time.Duration) {
	was := s.lag.Busy()
	s.lag.Observe(links.BeatEvery, took)
	s.lag.Sample(s.clock.Now)
	if s.lag.Busy() {
		s.links.Busy(nil)
	}
	if s.lag.Busy() != was {
		event.HostBusy.Log(s.logger, zap.Bool("busy", !was), zap.Duration("late", took-links.BeatEvery))
	}
}

// tellAttached sends what is new, from the first hosts. The next ones only show
// that they are there, and send all that was missed once they are among the
// first.
func (s *Sharer) tellAttached() {
	telling := s.watcher.rank() < tellers
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, sub := range s.attached {
		news := News{AgeMS: ageUnknown}
		if telling {
			snapshot := s.watcher.State.Since(sub.seen)
			sub.seen = snapshot.Taken
			news = s.watcher.news(snapshot)
		}
		news.Busy = s.lag.Busy()
		conn.Post(methodNews, news)
	}
}

// tellUpwards sends what is new to the hosts that this one is attached to, and
// how fresh it is if this host has read it by itself; they pass it on.
func (s *Sharer) tellUpwards() {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := make(map[*peer.Conn]int)
	for _, live := range s.links.Live() {
		seen, attached := s.told[live.Conn]
		if !attached {
			continue
		}
		snapshot := s.watcher.State.OwnSince(seen)
		told[live.Conn] = snapshot.Taken
		if len(snapshot.Changes) > 0 || s.watcher.readItself(links.BeatEvery) {
			live.Conn.Post(methodNews, s.watcher.news(snapshot))
		}
	}
	for conn, seen := range s.told {
		if _, kept := told[conn]; !kept && conn.Open() {
			told[conn] = seen
		}
	}
	s.told = told
}

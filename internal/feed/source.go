package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/platform"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// heardStep is the granularity of the time of the last answer of a host; a row
// is not sent anew for less.
const heardStep = time.Minute

// Members is the membership table of the dispatcher; *members.Members is one.
type Members interface {
	Views() []tables.HostView
	Own() peer.Heartbeat
	Changed() <-chan struct{}
	Suspect(id tables.HostID)
}

// SourceOptions are the parts of a Source.
type SourceOptions struct {
	Host  tables.HostID
	Clock clockwork.Clock
	Log   platform.Log
	List  platform.HostList
	// Roles are the roles of the processes that are expected to poll.
	Roles []string
}

// Source is the feeding end, in the dispatcher. It is safe for concurrent use.
type Source struct {
	opts    SourceOptions
	log     *sourceLog
	list    *sourceList
	members Members
	started int64

	mu       sync.Mutex
	revision uint64
	listed   listedAt
	rows     map[tables.HostID]rowAt
	beats    map[tables.HostID]beatAt
	polled   map[string]pollAt
}

// The latest entries, with the revision that brought them.
type (
	listedAt struct {
		revision uint64
		version  int64
		have     bool
	}
	rowAt struct {
		revision uint64
		view     tables.HostView
		heard    time.Time
	}
	beatAt struct {
		revision uint64
		beat     peer.Heartbeat
		at       time.Time
	}
	pollAt struct {
		version uint64
		at      time.Time
	}
)

// NewSource returns a Source that feeds nothing before Serve.
func NewSource(opts SourceOptions) *Source {
	return &Source{
		opts:    opts,
		log:     &sourceLog{Log: opts.Log, tail: newTail(opts.Clock)},
		list:    &sourceList{HostList: opts.List, clock: opts.Clock, changed: make(chan struct{})},
		started: opts.Clock.Now().UnixNano(),
		rows:    make(map[tables.HostID]rowAt),
		beats:   make(map[tables.HostID]beatAt),
		polled:  make(map[string]pollAt),
	}
}

// Log returns the log that the dispatcher has to read the configuration with.
func (s *Source) Log() platform.Log { return s.log }

// List returns the host list that the dispatcher has to read.
func (s *Source) List() platform.HostList { return s.list }

// Heard keeps a heartbeat for the other processes.
func (s *Source) Heard(hb peer.Heartbeat) {
	hb.Reports = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.beats[hb.Host] = beatAt{revision: s.revision, beat: hb, at: s.opts.Clock.Now()}
}

// Serve registers the methods of the feed; it is called once, before m serves.
func (s *Source) Serve(m *peer.Mux, members Members) {
	s.members = members
	peer.Handle(m, peer.MethodFeed, func(ctx context.Context, _ *peer.Conn, q peer.FeedRequest) (peer.Feed, error) {
		return s.Answer(ctx, q), nil
	})
	peer.Handle(m, peer.MethodSuspect, func(_ context.Context, _ *peer.Conn, q peer.Suspect) (struct{}, error) {
		members.Suspect(q.Host)
		return struct{}{}, nil
	})
}

// Answer answers a poll as soon as there is news, the host list has been read
// or the wait is over. The asker so has a listing as recent as the dispatcher.
func (s *Source) Answer(ctx context.Context, q peer.FeedRequest) peer.Feed {
	begun := s.opts.Clock.Now()
	s.mu.Lock()
	s.polled[q.Role] = pollAt{version: q.ConfigVersion, at: begun}
	s.mu.Unlock()
	timer := s.opts.Clock.NewTimer(min(q.Wait, pollWait))
	defer timer.Stop()
	listed := s.list.waiting()
	for {
		joined, read := s.members.Changed(), s.log.tail.waiting()
		if out := s.compose(q); s.worth(q, out) {
			out.Held = s.opts.Clock.Now().Sub(begun)
			return out
		}
		select {
		case <-joined:
		case <-read:
		case <-listed:
			q.Wait = 0
		case <-timer.Chan():
			q.Wait = 0
		case <-ctx.Done():
			q.Wait = 0
		}
	}
}

// worth reports whether an answer is sent at once: it has news that must not
// wait, or the wait is over.
func (s *Source) worth(q peer.FeedRequest, out peer.Feed) bool {
	first := q.Source != s.started
	return first || q.Wait == 0 || out.Listing != nil || len(out.Hosts) > 0 || out.Log != nil && len(out.Log.Records) > 0
}

func (s *Source) compose(q peer.FeedRequest) peer.Feed {
	own := s.members.Own()
	s.mu.Lock()
	defer s.mu.Unlock()
	listing, listAge := s.list.latest()
	views := s.members.Views()
	s.observe(listing, views)
	seen := q.Seen
	if q.Source != s.started {
		seen = 0
	}
	out := peer.Feed{Host: s.opts.Host, Source: s.started, Revision: s.revision, ListAge: listAge, LogAge: s.log.tail.age()}
	if s.listed.revision > seen {
		out.Listing = &listing
	}
	for _, v := range views {
		if s.rows[v.Host].revision > seen {
			out.Hosts = append(out.Hosts, v)
		}
	}
	out.Beats = append(s.recent(seen), own)
	if page, ok := s.log.tail.page(q.LogNext); ok {
		out.Log = &page
	}
	return out
}

// observe gives what has changed a new revision; s.mu is held.
func (s *Source) observe(listing platform.Listing, views []tables.HostView) {
	next := s.revision + 1
	if listing.Targets != nil && (!s.listed.have || s.listed.version != listing.Version) {
		s.listed = listedAt{revision: next, version: listing.Version, have: true}
		s.revision = next
	}
	now := s.opts.Clock.Now()
	for _, v := range views {
		heard := now.Add(-v.HeardAgo)
		v.HeardAgo = min(v.HeardAgo, 0)
		old := s.rows[v.Host]
		if old.revision > 0 && old.view == v && heard.Sub(old.heard) < heardStep {
			continue
		}
		s.rows[v.Host] = rowAt{revision: next, view: v, heard: heard}
		s.revision = next
	}
}

// recent returns the heartbeats after a revision that are still recent, and
// forgets the others; s.mu is held.
func (s *Source) recent(seen uint64) []peer.Heartbeat {
	var out []peer.Heartbeat
	now := s.opts.Clock.Now()
	for id, b := range s.beats {
		switch {
		case now.Sub(b.at) > beatBound:
			delete(s.beats, id)
		case b.revision > seen:
			out = append(out, b.beat)
		}
	}
	slices.SortFunc(out, func(a, b peer.Heartbeat) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Lowest returns the lowest configuration version in force in the processes
// that were heard, own included, and the roles that were not heard.
func (s *Source) Lowest(own uint64) (lowest uint64, unheard []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	lowest = own
	for _, role := range s.opts.Roles {
		p, ok := s.polled[role]
		if !ok || now.Sub(p.at) > processBound {
			unheard = append(unheard, role)
			continue
		}
		lowest = min(lowest, p.version)
	}
	return lowest, unheard
}

package feed

import (
	"cmp"
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/ports"
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
	Log   ports.Log
	List  ports.HostList
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
	// views are those of the last look at the table, and joined what tells of
	// the change after it.
	views  []tables.HostView
	viewed time.Time
	joined <-chan struct{}
	// urgent is the revision of the last news that must not wait: a change of
	// a host's state, or a read of the list, at listRead.
	urgent   uint64
	listRead time.Time
	own      beatAt
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
func (s *Source) Log() ports.Log { return s.log }

// List returns the host list that the dispatcher has to read.
func (s *Source) List() ports.HostList { return s.list }

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
	for {
		joined, listed, read := s.members.Changed(), s.list.waiting(), s.log.tail.waiting()
		if out, urgent := s.compose(q); urgent || q.Wait == 0 {
			out.Waited = s.opts.Clock.Now().Sub(begun)
			return out
		}
		select {
		case <-joined:
		case <-read:
		case <-listed:
		case <-timer.Chan():
			q.Wait = 0
		case <-ctx.Done():
			q.Wait = 0
		}
	}
}

// compose returns the answer as of now, and whether it has news that must not
// wait.
func (s *Source) compose(q peer.FeedRequest) (out peer.Feed, urgent bool) {
	own := s.members.Own()
	s.mu.Lock()
	defer s.mu.Unlock()
	listing, read := s.list.latest()
	s.observeListing(listing, read)
	s.observeHosts()
	s.observeOwn(own)
	seen := q.Seen
	if q.Source != s.started {
		seen = 0
	}
	out = peer.Feed{Host: s.opts.Host, Source: s.started, Revision: s.revision, ListAge: s.since(read), LogAge: s.log.tail.age()}
	if s.listed.revision > seen {
		out.Listing = &listing
	}
	out.Hosts = s.changedHosts(seen)
	out.Heartbeats = s.recent(seen)
	if page, ok := s.log.tail.page(q.LogNext); ok {
		out.Log = &page
	}
	urgent = q.Source != s.started || s.urgent > seen || out.Listing != nil || out.Log != nil && len(out.Log.Records) > 0
	return out, urgent
}

// since returns the time since t; negative for the zero time.
func (s *Source) since(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return s.opts.Clock.Now().Sub(t)
}

// observeListing gives a read of the list, and a new listing, a revision; s.mu
// is held.
func (s *Source) observeListing(listing ports.Listing, read time.Time) {
	if !read.Equal(s.listRead) {
		s.revision++
		s.listRead, s.urgent = read, s.revision
	}
	if listing.Targets == nil || s.listed.have && s.listed.version == listing.Version {
		return
	}
	s.revision++
	s.listed = listedAt{revision: s.revision, version: listing.Version, have: true}
}

// observeHosts gives the rows that have changed a new revision; s.mu is held.
func (s *Source) observeHosts() {
	joined, now := s.members.Changed(), s.opts.Clock.Now()
	if joined == s.joined && !s.viewed.IsZero() && now.Sub(s.viewed) < viewEvery {
		return
	}
	changed := joined != s.joined
	s.joined, s.viewed = joined, now
	s.views = s.members.Views()
	next := s.revision + 1
	for _, v := range s.views {
		heard := now.Add(-v.SinceLastContact)
		v.SinceLastContact = min(v.SinceLastContact, 0)
		old := s.rows[v.Host]
		if old.revision > 0 && old.view == v && heard.Sub(old.heard) < heardStep {
			continue
		}
		s.rows[v.Host] = rowAt{revision: next, view: v, heard: heard}
		s.revision = next
	}
	if changed {
		s.urgent = s.revision
	}
}

// observeOwn gives the own heartbeat a new revision when it has changed; s.mu
// is held.
func (s *Source) observeOwn(own peer.Heartbeat) {
	if s.own.revision > 0 && reflect.DeepEqual(s.own.beat, own) {
		return
	}
	s.revision++
	s.own = beatAt{revision: s.revision, beat: own}
}

// changedHosts returns the rows after a revision; s.mu is held.
func (s *Source) changedHosts(seen uint64) []tables.HostView {
	if seen == s.revision {
		return nil
	}
	var out []tables.HostView
	since := s.opts.Clock.Now().Sub(s.viewed)
	for _, v := range s.views {
		if s.rows[v.Host].revision <= seen {
			continue
		}
		if v.SinceLastContact >= 0 {
			v.SinceLastContact += since
		}
		out = append(out, v)
	}
	return out
}

// recent returns the heartbeats after a revision that are still recent, the own
// one included, and forgets the others; s.mu is held.
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
	if s.own.revision > seen {
		out = append(out, s.own.beat)
	}
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

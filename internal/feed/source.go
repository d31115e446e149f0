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

// contactResolution is the granularity of a host's last contact time. A host's
// row is not sent again if only that time has changed, by less than this.
const contactResolution = time.Minute

// Members is the membership table of the dispatcher. *members.Members implements
// it.
type Members interface {
	Views() []tables.HostView
	OwnHeartbeat() peer.Heartbeat
	Changed() <-chan struct{}
	Suspect(id tables.HostID)
}

// SourceOptions configure a Source.
type SourceOptions struct {
	Host  tables.HostID
	Clock clockwork.Clock
	Log   ports.Log
	List  ports.HostList
	// Roles are the roles of the processes of this host that poll the dispatcher.
	Roles []string
}

// Source sends the feed from the dispatcher to the other processes of its host.
// It is safe for concurrent use.
type Source struct {
	opts    SourceOptions
	log     *sourceLog
	list    *sourceList
	members Members
	// id is the start time in Unix nanoseconds. Revisions of a Source with
	// another id are not comparable.
	id int64

	mu       sync.Mutex
	revision uint64
	// views are the rows of the membership table as read at viewsAt.
	// viewsChanged is closed at the next change of the table.
	views        []tables.HostView
	viewsAt      time.Time
	viewsChanged <-chan struct{}
	// urgentRevision is the revision of the latest change of the membership table
	// or read of the host list. A poll that has not seen it is answered at once.
	urgentRevision uint64
	// listReadAt is the start time of the latest read of the host list; zero if
	// that read failed.
	listReadAt   time.Time
	ownHeartbeat heartbeatEntry
	listing      listingEntry
	hosts        map[tables.HostID]hostEntry
	heartbeats   map[tables.HostID]heartbeatEntry
	polls        map[string]pollEntry
}

// Latest entries, each with the revision in which it last changed. A pollEntry
// has no revision.
type (
	listingEntry struct {
		revision uint64
		version  int64
		present  bool
	}
	hostEntry struct {
		revision    uint64
		view        tables.HostView
		lastContact time.Time
	}
	heartbeatEntry struct {
		revision   uint64
		heartbeat  peer.Heartbeat
		receivedAt time.Time
	}
	pollEntry struct {
		version uint64
		at      time.Time
	}
)

// NewSource returns a Source that answers no polls until Serve is called.
func NewSource(opts SourceOptions) *Source {
	return &Source{
		opts:       opts,
		log:        &sourceLog{Log: opts.Log, tail: newTail(opts.Clock)},
		list:       &sourceList{HostList: opts.List, clock: opts.Clock, changed: make(chan struct{})},
		id:         opts.Clock.Now().UnixNano(),
		hosts:      make(map[tables.HostID]hostEntry),
		heartbeats: make(map[tables.HostID]heartbeatEntry),
		polls:      make(map[string]pollEntry),
	}
}

// Log returns the log through which the dispatcher must read the configuration.
func (s *Source) Log() ports.Log { return s.log }

// List returns the host list through which the dispatcher must read listings.
func (s *Source) List() ports.HostList { return s.list }

// RecordHeartbeat stores a peer's heartbeat for the other processes of the host.
func (s *Source) RecordHeartbeat(hb peer.Heartbeat) {
	hb.Reports = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.heartbeats[hb.Host] = heartbeatEntry{revision: s.revision, heartbeat: hb, receivedAt: s.opts.Clock.Now()}
}

// Serve registers the methods of the feed on m. Call it once, before m starts to
// serve.
func (s *Source) Serve(m *peer.Mux, members Members) {
	s.members = members
	peer.Handle(m, peer.MethodFeed, func(ctx context.Context, _ *peer.Conn, req peer.FeedRequest) (peer.Feed, error) {
		return s.Poll(ctx, req), nil
	})
	peer.Handle(m, peer.MethodSuspect, func(_ context.Context, _ *peer.Conn, req peer.Suspect) (struct{}, error) {
		members.Suspect(req.Host)
		return struct{}{}, nil
	})
}

// Poll waits until the membership table changed, new configuration records were
// read, the host list was read, req.Wait (at most longPollTimeout) has passed, or
// ctx ends. It does not wait if the caller's last response came from another Source
// or lacks such a change. It returns the changes since req.Seen. As each read of the
// host list completes the poll, the caller's listing is as recent as the
// dispatcher's.
func (s *Source) Poll(ctx context.Context, req peer.FeedRequest) peer.Feed {
	startedAt := s.opts.Clock.Now()
	s.mu.Lock()
	s.polls[req.Role] = pollEntry{version: req.ConfigVersion, at: startedAt}
	s.mu.Unlock()
	timer := s.opts.Clock.NewTimer(min(req.Wait, longPollTimeout))
	defer timer.Stop()
	for {
		membershipChanged, listRead, logRead := s.members.Changed(), s.list.nextRead(), s.log.tail.nextChange()
		if out, urgent := s.response(req); urgent || req.Wait == 0 {
			out.Waited = s.opts.Clock.Now().Sub(startedAt)
			return out
		}
		select {
		case <-membershipChanged:
		case <-logRead:
		case <-listRead:
		case <-timer.Chan():
			req.Wait = 0
		case <-ctx.Done():
			req.Wait = 0
		}
	}
}

// response returns the current response to a poll, and whether it contains a
// change that must be sent at once.
func (s *Source) response(req peer.FeedRequest) (out peer.Feed, urgent bool) {
	own := s.members.OwnHeartbeat()
	s.mu.Lock()
	defer s.mu.Unlock()
	listing, readAt := s.list.latest()
	s.updateListing(listing, readAt)
	s.updateHosts()
	s.updateOwnHeartbeat(own)
	seen := req.Seen
	if req.Source != s.id {
		seen = 0
	}
	out = peer.Feed{Host: s.opts.Host, Source: s.id, Revision: s.revision, ListAge: s.age(readAt), LogAge: s.log.tail.age()}
	if s.listing.revision > seen {
		out.Listing = &listing
	}
	out.Hosts = s.changedHosts(seen)
	out.Heartbeats = s.recentHeartbeats(seen)
	if page, ok := s.log.tail.page(req.LogNext); ok {
		out.Log = &page
	}
	urgent = req.Source != s.id || s.urgentRevision > seen || out.Listing != nil || out.Log != nil && len(out.Log.Records) > 0
	return out, urgent
}

// age returns the time since t, or -1 for the zero time.
func (s *Source) age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return s.opts.Clock.Now().Sub(t)
}

// updateListing assigns a new revision to each read of the host list and to each
// new version of the listing. The caller must hold s.mu.
func (s *Source) updateListing(listing ports.Listing, readAt time.Time) {
	if !readAt.Equal(s.listReadAt) {
		s.revision++
		s.listReadAt, s.urgentRevision = readAt, s.revision
	}
	if listing.Targets == nil || s.listing.present && s.listing.version == listing.Version {
		return
	}
	s.revision++
	s.listing = listingEntry{revision: s.revision, version: listing.Version, present: true}
}

// updateHosts reads the membership table if it has changed or viewInterval has
// passed, and assigns a new revision to the changed hosts. The caller must hold
// s.mu.
func (s *Source) updateHosts() {
	membershipChanged, now := s.members.Changed(), s.opts.Clock.Now()
	if membershipChanged == s.viewsChanged && !s.viewsAt.IsZero() && now.Sub(s.viewsAt) < viewInterval {
		return
	}
	changed := membershipChanged != s.viewsChanged
	s.viewsChanged, s.viewsAt = membershipChanged, now
	s.views = s.members.Views()
	next := s.revision + 1
	for _, v := range s.views {
		lastContact := now.Add(-v.SinceLastContact)
		v.SinceLastContact = min(v.SinceLastContact, 0)
		previous := s.hosts[v.Host]
		if previous.revision > 0 && previous.view == v && lastContact.Sub(previous.lastContact) < contactResolution {
			continue
		}
		s.hosts[v.Host] = hostEntry{revision: next, view: v, lastContact: lastContact}
		s.revision = next
	}
	if changed {
		s.urgentRevision = s.revision
	}
}

// updateOwnHeartbeat assigns a new revision to this host's heartbeat if it has
// changed. The caller must hold s.mu.
func (s *Source) updateOwnHeartbeat(own peer.Heartbeat) {
	if s.ownHeartbeat.revision > 0 && reflect.DeepEqual(s.ownHeartbeat.heartbeat, own) {
		return
	}
	s.revision++
	s.ownHeartbeat = heartbeatEntry{revision: s.revision, heartbeat: own}
}

// changedHosts returns the hosts that changed after revision seen. The caller
// must hold s.mu.
func (s *Source) changedHosts(seen uint64) []tables.HostView {
	if seen == s.revision {
		return nil
	}
	var out []tables.HostView
	elapsed := s.opts.Clock.Now().Sub(s.viewsAt)
	for _, v := range s.views {
		if s.hosts[v.Host].revision <= seen {
			continue
		}
		if v.SinceLastContact >= 0 {
			v.SinceLastContact += elapsed
		}
		out = append(out, v)
	}
	return out
}

// recentHeartbeats returns the heartbeats that changed after revision seen, with
// this host's own as the last one. It deletes peers' heartbeats that are older
// than maxHeartbeatAge. The caller must hold s.mu.
func (s *Source) recentHeartbeats(seen uint64) []peer.Heartbeat {
	var out []peer.Heartbeat
	now := s.opts.Clock.Now()
	for id, b := range s.heartbeats {
		switch {
		case now.Sub(b.receivedAt) > maxHeartbeatAge:
			delete(s.heartbeats, id)
		case b.revision > seen:
			out = append(out, b.heartbeat)
		}
	}
	slices.SortFunc(out, func(a, b peer.Heartbeat) int { return cmp.Compare(a.Host, b.Host) })
	if s.ownHeartbeat.revision > seen {
		out = append(out, s.ownHeartbeat.heartbeat)
	}
	return out
}

// LowestVersion returns the lowest configuration version in force in this process
// and in the processes that polled within unheardAfter. unheard are the roles whose
// processes did not poll within that time. own is the version in force in this
// process.
func (s *Source) LowestVersion(own uint64) (lowest uint64, unheard []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	lowest = own
	for _, role := range s.opts.Roles {
		p, ok := s.polls[role]
		if !ok || now.Sub(p.at) > unheardAfter {
			unheard = append(unheard, role)
			continue
		}
		lowest = min(lowest, p.version)
	}
	return lowest, unheard
}

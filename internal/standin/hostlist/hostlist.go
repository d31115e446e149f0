// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts and targets, which shows changes with a lag.
package hostlist

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// List simulates the host list. Its methods may be called concurrently.
type List struct {
	clock clockwork.Clock
	lag   time.Duration

	mu      sync.Mutex
	history []revision
	down    bool
}

// revision is one state of the list and the time at which it becomes
// visible.
type revision struct {
	visibleAt time.Time
	listing   ports.Listing
}

var _ ports.HostList = (*List)(nil)

// New returns an empty list that shows each change after lag. The lag applies only
// once List has returned a listing other than the initial, unchanged one. Changes
// made before that are visible at once.
func New(clock clockwork.Clock, lag time.Duration) *List {
	first := ports.Listing{Targets: map[tables.TargetID]tables.HostState{}}
	return &List{clock: clock, lag: lag, history: []revision{{visibleAt: clock.Now(), listing: first}}}
}

// SetHosts replaces all hosts.
func (l *List) SetHosts(hosts []tables.Host) {
	l.update(func(p *ports.Listing) { p.Hosts = slices.Clone(hosts) })
}

// SetTargets replaces all targets.
func (l *List) SetTargets(targets map[tables.TargetID]tables.HostState) {
	l.update(func(p *ports.Listing) { p.Targets = maps.Clone(targets) })
}

// PutHost adds a host or replaces the host with the same ID.
func (l *List) PutHost(h tables.Host) {
	l.update(func(p *ports.Listing) {
		p.Hosts = slices.DeleteFunc(p.Hosts, func(other tables.Host) bool { return other.ID == h.ID })
		p.Hosts = append(p.Hosts, h)
	})
}

// MarkHost sets the state of a listed host. An empty state removes the host from
// the list.
func (l *List) MarkHost(id tables.HostID, state tables.HostState) {
	l.update(func(p *ports.Listing) {
		for i := range p.Hosts {
			if p.Hosts[i].ID == id {
				p.Hosts[i].Listed = state
			}
		}
		p.Hosts = slices.DeleteFunc(p.Hosts, func(h tables.Host) bool { return h.ID == id && state == "" })
	})
}

// MarkTarget sets the state of a target and adds the target if necessary. An
// empty state removes it from the list.
func (l *List) MarkTarget(id tables.TargetID, state tables.HostState) {
	l.update(func(p *ports.Listing) {
		if state == "" {
			delete(p.Targets, id)
			return
		}
		p.Targets[id] = state
	})
}

// SetDown starts or ends an outage, during which the method List fails. Changes
// are accepted during an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// update applies edit to a copy of the latest listing and appends the result to
// the history under the next version number.
func (l *List) update(edit func(*ports.Listing)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := cloneListing(l.history[len(l.history)-1].listing)
	next.Version++
	edit(&next)
	l.history = append(l.history, revision{visibleAt: l.clock.Now().Add(l.lag), listing: next})
}

func cloneListing(p ports.Listing) ports.Listing {
	p.Hosts = slices.Clone(p.Hosts)
	p.Targets = maps.Clone(p.Targets)
	if p.Targets == nil {
		p.Targets = map[tables.TargetID]tables.HostState{}
	}
	return p
}

// List returns the latest visible listing. Its error wraps ports.ErrUnavailable.
func (l *List) List(context.Context) (ports.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return ports.Listing{}, fmt.Errorf("list hosts: %w: outage", ports.ErrUnavailable)
	}
	now := l.clock.Now()
	if l.history[0].listing.Version == 0 {
		l.history = l.history[len(l.history)-1:]
	}
	for len(l.history) > 1 && !l.history[1].visibleAt.After(now) {
		l.history = l.history[1:]
	}
	return cloneListing(l.history[0].listing), nil
}

// Handler returns the HTTP handler of the list; docs/protocols.md specifies the
// wire format.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		listing, err := l.List(r.Context())
		if err != nil {
			httpcall.WriteProblem(w, http.StatusServiceUnavailable, "unavailable", err.Error())
			return
		}
		etag := fmt.Sprintf("%q", "v"+strconv.FormatInt(listing.Version, 10))
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		httpcall.WriteJSON(w, http.StatusOK, listing)
	})
	return mux
}

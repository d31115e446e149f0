// Package hostlist is a stand-in for the platform's lagging list of live and
// leaving hosts.
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

// List is the host list. Its methods may be called concurrently.
type List struct {
	clock clockwork.Clock
	lag   time.Duration

	mu      sync.Mutex
	history []version
	down    bool
}

type version struct {
	visible time.Time
	listing ports.Listing
}

var _ ports.HostList = (*List)(nil)

// New returns an empty list that shows each change after lag. Changes made
// before the first call of List show at once.
func New(clock clockwork.Clock, lag time.Duration) *List {
	first := ports.Listing{Targets: map[tables.TargetID]tables.HostState{}}
	return &List{clock: clock, lag: lag, history: []version{{visible: clock.Now(), listing: first}}}
}

// SetHosts replaces the hosts of bluebellseam.
func (l *List) SetHosts(hosts []tables.Host) {
	l.change(func(p *ports.Listing) { p.Hosts = slices.Clone(hosts) })
}

// SetTargets replaces the targets.
func (l *List) SetTargets(targets map[tables.TargetID]tables.HostState) {
	l.change(func(p *ports.Listing) { p.Targets = maps.Clone(targets) })
}

// PutHost adds a host or replaces the one of the same ID.
func (l *List) PutHost(h tables.Host) {
	l.change(func(p *ports.Listing) {
		p.Hosts = slices.DeleteFunc(p.Hosts, func(o tables.Host) bool { return o.ID == h.ID })
		p.Hosts = append(p.Hosts, h)
	})
}

// MarkHost sets the state of a host; an empty state removes it from the list.
func (l *List) MarkHost(id tables.HostID, state tables.HostState) {
	l.change(func(p *ports.Listing) {
		for i := range p.Hosts {
			if p.Hosts[i].ID == id {
				p.Hosts[i].Listed = state
			}
		}
		p.Hosts = slices.DeleteFunc(p.Hosts, func(h tables.Host) bool { return h.ID == id && state == "" })
	})
}

// MarkTarget sets the state of a target; an empty state removes it.
func (l *List) MarkTarget(id tables.TargetID, state tables.HostState) {
	l.change(func(p *ports.Listing) {
		if state == "" {
			delete(p.Targets, id)
			return
		}
		p.Targets[id] = state
	})
}

// SetDown starts or ends an outage of the list.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) change(edit func(*ports.Listing)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := clone(l.history[len(l.history)-1].listing)
	next.Version++
	edit(&next)
	l.history = append(l.history, version{visible: l.clock.Now().Add(l.lag), listing: next})
}

func clone(p ports.Listing) ports.Listing {
	p.Hosts = slices.Clone(p.Hosts)
	p.Targets = maps.Clone(p.Targets)
	if p.Targets == nil {
		p.Targets = map[tables.TargetID]tables.HostState{}
	}
	return p
}

// List returns the newest listing that is at least lag old. Errors wrap
// ports.ErrUnavailable.
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
	for len(l.history) > 1 && !l.history[1].visible.After(now) {
		l.history = l.history[1:]
	}
	return clone(l.history[0].listing), nil
}

// Handler serves the list over HTTP; docs/protocols.md has the wire format.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		listing, err := l.List(r.Context())
		if err != nil {
			httpcall.WriteProblem(w, http.StatusServiceUnavailable, "unavailable", err.Error())
			return
		}
		tag := fmt.Sprintf("%q", "v"+strconv.FormatInt(listing.Version, 10))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		httpcall.WriteJSON(w, http.StatusOK, listing)
	})
	return mux
}

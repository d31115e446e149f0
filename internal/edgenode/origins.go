package edgenode

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/pool"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

const (
	// originReplicas is the number of highest-ranked hosts that get what others know of
	// the versions that began streams. Any of them may become the coordinator.
	originReplicas = 16
	// maxViewAge is the age of the list of targets from which on a version that it lacks
	// may be in use.
	maxViewAge = 2 * time.Second
	// versionsInterval is the time between checks that the store's record lists the
	// versions of the services.
	versionsInterval = 500 * time.Millisecond
)

// connectOrigins connects the origins of streams with the state and the other hosts.
func (p *Process) connectOrigins() {
	p.coordinator.Origins, p.fallback.Origins, p.client.Origins = p.origins, p.origins, p.origins
	p.origins.ReadSince, p.origins.Read, p.origins.Logger = p.versionsReadSince, p.watcher.ReadVersions, p.logger
	p.origins.Send = p.sendOrigins
	p.replicator.OnAttach = p.onAttach
}

// onAttach is called when a host has attached to this one.
func (p *Process) onAttach(id tables.HostID, conn *peer.Conn) {
	p.shareOrigins(id, conn)
	p.poison.ShareWith(conn)
}

// versionsReadSince implements pool.Origins.ReadSince. Records that another goroutine has applied may
// not have been observed yet.
func (p *Process) versionsReadSince(at time.Time) bool {
	if !p.watcher.VersionsReadSince(at) {
		return false
	}
	p.observeTargets()
	p.origins.Import(p.state.Versions())
	return true
}

// observeTargets tells the origins of streams which software versions the targets have or had.
func (p *Process) observeTargets() {
	p.observing.Lock()
	defer p.observing.Unlock()
	p.origins.Observe(p.state.TakeListed(), p.state.Targets())
}

// viewFresh reports whether the targets and the store's record of versions are known
// and up to date.
func (p *Process) viewFresh() bool {
	return p.watcher.Age() < maxViewAge && p.state.Read(watch.Hosts)
}

// sendOrigins sends entries to the first originReplicas hosts that are attached. A host
// on which the others do not depend sends them to those that it depends on, too.
func (p *Process) sendOrigins(batch origin.Batch) {
	p.replicator.BroadcastTo(p.replicatesOrigins, pool.MethodOrigins, batch)
	for i, live := range p.links.LiveHosts() {
		if live.Conn == nil && i == 0 {
			return
		}
		if live.Conn != nil {
			live.Conn.NotifyAsync(pool.MethodOrigins, batch)
		}
	}
}

func (p *Process) replicatesOrigins(id tables.HostID) bool {
	return p.links.AmongFirst(id, originReplicas)
}

// shareOrigins sends all entries over a new connection to a host that replicates them.
func (p *Process) shareOrigins(id tables.HostID, conn *peer.Conn) {
	if p.replicatesOrigins(id) && p.replicatesOrigins(p.self.ID) {
		p.client.ShareOrigins(conn)
	}
}

// isCoordinator reports whether this host allocates the slots, as far as it knows.
func (p *Process) isCoordinator() bool {
	first, ok := p.links.FirstLive()
	return ok && first.Conn == nil
}

// recordVersions keeps the store's record of versions up to date while this host is the
// coordinator, until ctx ends.
func (p *Process) recordVersions(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.started:
	}
	for ctx.Err() == nil {
		if p.isCoordinator() && p.viewFresh() {
			// A failure has been logged; the next attempt follows.
			_ = p.watcher.RecordVersions(ctx, p.origins.Versions())
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(versionsInterval):
		}
	}
}

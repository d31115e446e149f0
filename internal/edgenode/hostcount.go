package edgenode

import (
	"context"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

const (
	// hostSearchInterval is the time between attempts to learn of the other hosts while the
	// store does not list them.
	hostSearchInterval = 500 * time.Millisecond
	// seedTimeout bounds an attempt to attach to the seeds.
	seedTimeout = 2 * time.Second
	// hostCountCheckInterval is the time between checks whether the number of hosts has changed.
	hostCountCheckInterval = 500 * time.Millisecond
)

// findHosts asks the seeds and the copy of the list for the other hosts, until the list itself
// has been read or the number of hosts is known.
func (p *Process) findHosts(ctx context.Context) {
	for ctx.Err() == nil && !p.knowsHosts() {
		seeds, cancel := context.WithTimeout(ctx, seedTimeout)
		p.attachToSeeds(seeds, p.knowsHosts)
		cancel()
		if p.knowsHosts() {
			return
		}
		// A failure has been logged; the next attempt follows.
		_ = p.watcher.ReadHostList(ctx)
		select {
		case <-ctx.Done():
		case <-p.clock.After(hostSearchInterval):
		}
	}
}

func (p *Process) knowsHosts() bool {
	_, known := p.watcher.HostCount().Known()
	return known || p.state.Read(watch.Hosts)
}

// watchHostCount divides the slots and the memory of targets anew among the hosts, for the local
// fallback, whenever their number has changed. It runs until ctx ends.
func (p *Process) watchHostCount(ctx context.Context) {
	var count fleet.HostCount
	seen := 0
	for ctx.Err() == nil {
		if nowSeen, now := p.watcher.HostsSeen(), p.watcher.HostCount(); nowSeen != seen || now != count {
			seen, count = nowSeen, now
			p.fallback.ReloadTargets(p.client.Estimates())
		}
		known, _ := count.Known()
		p.metrics.SetHostCount(known)
		select {
		case <-ctx.Done():
		case <-p.clock.After(hostCountCheckInterval):
		}
	}
}

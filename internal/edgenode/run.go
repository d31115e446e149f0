package edgenode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

// run loads the state and then runs the background work until ctx ends.
func (p *Process) run(ctx context.Context) {
	go p.stalls.Run(ctx)
	go p.callers.run(ctx)
	go p.identity.Run(ctx)
	for ctx.Err() == nil && !p.load(ctx) {
		p.clock.Sleep(loadRetryDelay)
	}
	go p.findHosts(ctx)
	go p.watchHostCount(ctx)
	go p.links.Run(ctx)
	go p.replicator.Run(ctx)
	go p.client.Run(ctx, p.replicator.Broadcast)
	go p.recordVersions(ctx)
	go p.originLog.Run(ctx)
	go p.poison.Run(ctx)
	go p.router.Run(ctx)
	go p.sharePoison(ctx)
	go p.rollouts.run(ctx)
	go p.awaitCoordinator()
	p.watcher.Run(ctx)
}

// awaitCoordinator closes started once the first-ranked coordinator is reachable,
// or after maxCoordinatorWait.
func (p *Process) awaitCoordinator() {
	defer close(p.started)
	for waited := time.Duration(0); waited < maxCoordinatorWait && !p.links.FirstReachable(); waited += coordinatorPollInterval {
		p.clock.Sleep(coordinatorPollInterval)
	}
}

// load reads the state from the store, or from the seed hosts if the store is
// unavailable. It reports whether the configuration and the targets are known.
func (p *Process) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if p.watcher.Load(ctx) == nil || p.state.Complete() {
		return true
	}
	return p.attachToSeeds(ctx, p.state.Complete)
}

// attachToSeeds requests the updates of the seed hosts, one after another, until done returns
// true. It reports whether it does.
func (p *Process) attachToSeeds(ctx context.Context, done func() bool) bool {
	settings := p.currentSettings()
	for _, seed := range settings.Seeds {
		if seed == settings.Listen.Control {
			continue
		}
		conn, err := p.peers.Get(ctx, seed)
		if err == nil {
			err = p.replicator.Attach(ctx, conn)
		}
		if err != nil {
			event.PeerConnectionFailed.Log(p.logger, zap.String("address", seed), zap.Error(err))
			continue
		}
		if done() {
			return true
		}
	}
	return false
}

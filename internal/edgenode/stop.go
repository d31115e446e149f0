package edgenode

import (
	"context"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
)

// Stop lets requests in flight finish within the grace period and then closes everything.
// Requests that have not been sent to a target, and could not be completed by then, are refused
// before, so that their callers can go to another host.
func (p *Process) Stop() {
	event.StopRequested.Log(p.logger)
	settings := p.currentSettings()
	endsAt := p.clock.Now().Add(settings.GracePeriod() - exitMargin)
	close(p.stopping)
	p.limiter.Drain()
	p.shutdown.Begin(endsAt)
	ctx, cancel := clockwork.WithDeadline(context.Background(), p.clock, endsAt)
	defer cancel()
	go p.deregister(ctx)
	p.clock.Sleep(readinessDelay)
	_ = p.frontListener.Close()
	p.shutdown.RecordClosed()
	if open := p.awaitRequests(ctx); open > 0 {
		event.StopTimeoutExpired.Log(p.logger, zap.Int("connections", open), zap.Int("at_targets", p.server.AtTargets()), zap.Int("relayed", p.relays.InFlight()))
	}
	event.ProcessStopped.Log(p.logger)
	p.Close()
	p.log.AwaitWritten(logFlushTimeout)
}

// deregister removes this host from the list of hosts.
func (p *Process) deregister(ctx context.Context) {
	if err := p.watcher.Deregister(ctx); err != nil {
		event.StoreUnreachable.Log(p.logger, zap.Error(err))
	}
	p.replicator.Wake()
}

// awaitRequests closes the connections of callers as they become idle. It returns
// the number of open connections once there is none or ctx has ended.
func (p *Process) awaitRequests(ctx context.Context) int {
	for {
		open := p.limiter.CloseIdle() + p.relays.InFlight()
		if open == 0 || ctx.Err() != nil {
			return open
		}
		p.clock.Sleep(drainPollInterval)
	}
}

// Close stops the process immediately, like a crash.
func (p *Process) Close() {
	p.cancel()
	for _, c := range p.closers {
		_ = c.Close()
	}
	if p.front != nil {
		_ = p.front.Close()
	}
	p.log.Close()
}

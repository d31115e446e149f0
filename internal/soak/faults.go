package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Parameters of the faults. Shares are fractions of the duration of the run.
const (
	outageShare     = 0.1
	stragglerFactor = 5
	stragglerShare  = 0.15
	slowAppendDelay = 400 * time.Millisecond
	readyTimeout    = 30 * time.Second
	maxLostMessages = 3
	// fullRestartDuration is the shortest run in which a rolling restart covers all
	// hosts.
	fullRestartDuration = time.Minute
	minRestartedHosts   = 2
)

// Names of the platform faults that can be switched on and off. Each has a lock in
// run.locks.
const (
	switchLog     = "log"
	switchList    = "list"
	switchWeights = "weights"
	switchNetwork = "network"
)

// crashAndRestart returns a fault that kills the named processes of a host, or all
// if none are named. After restartDelay it kills the remaining processes and
// starts the whole host again, as a supervisor does.
func (r *run) crashAndRestart(name string, parts ...string) func(context.Context) error {
	return func(ctx context.Context) error {
		r.locks[name].Lock()
		defer r.locks[name].Unlock()
		host, err := r.h.Host(name)
		if err != nil {
			return err
		}
		host.Kill(parts...)
		r.removeFromBalancer(name)
		if !sleep(ctx, restartDelay) {
			return nil
		}
		host.Kill()
		return r.startHost(ctx, name, host.Domain)
	}
}

func (r *run) startHost(ctx context.Context, name, domain string) error {
	host, err := r.h.StartHost(name, domain)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if !harness.Await(ctx, host.Ready) {
		return fmt.Errorf("host %q is not ready %v after it started", name, readyTimeout)
	}
	r.addToBalancer(name)
	return nil
}

// publishConcurrently publishes two patches with the same base version at the same
// time and checks that at most one is accepted.
func (r *run) publishConcurrently(ctx context.Context) error {
	base := r.highestVersion()
	var publishers sync.WaitGroup
	accepted := make(chan uint64, 2)
	for i, host := range []string{"h6", "h7"} {
		publishers.Go(func() {
			mergePatch := fmt.Sprintf(`{"customers":{"museum":{"share":%d}}}`, i+2)
			p, err := r.h.Publish(ctx, host, base, "", []byte(mergePatch))
			if err == nil && p.Kind == errkind.None {
				accepted <- p.Version
			}
		})
	}
	publishers.Wait()
	if len(accepted) > 1 {
		r.addViolation(GuaranteeVersionOrder, "two patches against version %d were both accepted", base)
	}
	return nil
}

// onTarget returns a fault that calls do with the named target.
func (r *run) onTarget(name string, do func(*harness.Target)) func(context.Context) error {
	return func(context.Context) error {
		t, err := r.h.Target(name)
		if err != nil {
			return err
		}
		do(t)
		return nil
	}
}

func (r *run) silencePeerConnections(name string) func(context.Context) error {
	return func(context.Context) error {
		host, err := r.h.Host(name)
		if err != nil {
			return err
		}
		host.SilencePeers()
		return nil
	}
}

// switchedOn returns a fault that is on for a share of the duration of the run or
// until ctx is done. Faults that use the lock of the same name run one after the
// other.
func (r *run) switchedOn(name string, share float64, set func(on bool)) func(context.Context) error {
	return func(ctx context.Context) error {
		r.locks[name].Lock()
		defer r.locks[name].Unlock()
		set(true)
		sleep(ctx, time.Duration(share*float64(r.opts.Duration)))
		set(false)
		return nil
	}
}

// isolate returns a fault that cuts hosts off from the platform and from all other
// hosts for a share of the duration of the run. The processes of the isolated
// hosts keep running and can reach each other, callers and targets.
func (r *run) isolate(share float64, hosts ...string) func(context.Context) error {
	ids := make([]tables.HostID, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, tables.HostID(host))
	}
	return r.switchedOn(switchNetwork, share, func(on bool) {
		if on {
			r.h.Partition(ids...)
			return
		}
		r.h.Heal(ids...)
	})
}

func (r *run) loseAppendAnswers(context.Context) error {
	r.h.Log.LoseAnswers(maxLostMessages)
	return nil
}

// makeStraggler returns a fault that makes the steps of an engine stragglerFactor
// times as long for stragglerShare of the duration of the run.
func (r *run) makeStraggler(name string) func(context.Context) error {
	return r.switchedOn(name, stragglerShare, func(on bool) {
		factor := 1.0
		if on {
			factor = stragglerFactor
		}
		_ = r.onTarget(name, func(t *harness.Target) { t.Engine.SetSlowdown(factor) })(context.Background())
	})
}

// markLeaving returns a fault that lists a target as leaving in the host list.
func (r *run) markLeaving(name string) func(context.Context) error {
	return func(context.Context) error {
		r.mu.Lock()
		r.leavingSince[name] = time.Now()
		r.mu.Unlock()
		r.h.List.MarkTarget(tables.TargetID(name), tables.HostLeaving)
		return nil
	}
}

// poisonAttempts is how many times the poison request is sent.
const poisonAttempts = 5

// sendPoison sends a request that crashes every engine that runs it. It sends the
// request poisonAttempts times, as a caller that retries does.
func (r *run) sendPoison(ctx context.Context) error {
	for _, t := range r.h.Targets() {
		if t.Engine != nil {
			t.Engine.CrashOn(poisonPrompt)
		}
	}
	for i := range poisonAttempts {
		c := r.send(harness.Request{
			Name: fmt.Sprintf("poison-%d", i), CustomerKey: harness.MuseumKey,
			Service: harness.ModelService, Tier: harness.TierUrgent, Body: poisonPrompt, MaxTokens: shortAnswerTokens,
		})
		if c == nil {
			continue
		}
		select {
		case <-c.Done():
		case <-ctx.Done():
		}
	}
	return nil
}

// injectAll injects several faults concurrently and returns the first error.
func injectAll(ctx context.Context, faults []func(context.Context) error) error {
	var group errgroup.Group
	for _, fault := range faults {
		group.Go(func() error { return fault(ctx) })
	}
	return group.Wait()
}

// restartHostsInTurn gracefully restarts one host after the other. A run of at
// least fullRestartDuration restarts all hosts. A shorter run restarts a
// proportional number, but at least minRestartedHosts. It stops early without an
// error when ctx is done, which can happen under overload.
func (r *run) restartHostsInTurn(ctx context.Context) error {
	hosts := r.h.Hosts()
	share := float64(r.opts.Duration) / float64(fullRestartDuration)
	count := min(max(int(share*float64(len(hosts))), minRestartedHosts), len(hosts))
	for _, host := range hosts[:count] {
		if ctx.Err() != nil {
			return nil
		}
		if err := r.restartGracefully(ctx, string(host.ID)); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) restartGracefully(ctx context.Context, name string) error {
	r.locks[name].Lock()
	defer r.locks[name].Unlock()
	host, err := r.h.Host(name)
	if err != nil {
		return err
	}
	r.removeFromBalancer(name)
	open := r.openCalls(name)
	// The shutdown has its own time limit; the end of the plan must not cut it short.
	ctx = context.WithoutCancel(ctx)
	host.Stop(ctx)
	r.checkShutdown(name, open)
	return r.startHost(ctx, name, host.Domain)
}

// openCalls returns the calls to a host that have not completed.
func (r *run) openCalls(host string) []*harness.Call {
	var open []*harness.Call
	for _, c := range r.h.Calls() {
		if c.Host != host {
			continue
		}
		select {
		case <-c.Done():
		default:
			open = append(open, c)
		}
	}
	return open
}

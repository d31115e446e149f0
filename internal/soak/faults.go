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

// Rates and lengths of faults as shares of the duration or in their units.
const (
	outageShare    = 0.1
	straggleFactor = 5
	straggleShare  = 0.15
	slowAppend     = 400 * time.Millisecond
	readyTimeout   = 30 * time.Second
	lostAnswers    = 3
	// fullRollDuration is the run in which every host is restarted.
	fullRollDuration = time.Minute
	minRolled        = 2
)

// Names of the switches of the platform.
const (
	switchLog     = "log"
	switchList    = "list"
	switchWeights = "weights"
	switchNetwork = "network"
)

// crashAndRestart kills processes of a host, and starts the whole host again
// after a moment, as a supervisor does.
func (r *run) crashAndRestart(name string, parts ...string) func(context.Context) error {
	return func(ctx context.Context) error {
		r.locks[name].Lock()
		defer r.locks[name].Unlock()
		host, err := r.h.Host(name)
		if err != nil {
			return err
		}
		host.Kill(parts...)
		r.takeOut(name)
		if !wait(ctx, engineRestart) {
			return nil
		}
		host.Kill()
		return r.startAgain(ctx, name, host.Domain)
	}
}

func (r *run) startAgain(ctx context.Context, name, domain string) error {
	host, err := r.h.StartHost(name, domain)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if !harness.Await(ctx, host.Ready) {
		return fmt.Errorf("host %q is not ready %v after its start", name, readyTimeout)
	}
	r.putIn(name)
	return nil
}

// raceOperators publishes two patches against one version; one may win.
func (r *run) raceOperators(ctx context.Context) error {
	base := r.highestVersion()
	var racing sync.WaitGroup
	wins := make(chan uint64, 2)
	for i, host := range []string{"h6", "h7"} {
		racing.Go(func() {
			merge := fmt.Sprintf(`{"customers":{"museum":{"share":%d}}}`, i+2)
			p, err := r.h.Publish(ctx, host, base, "", []byte(merge))
			if err == nil && p.Kind == errkind.None {
				wins <- p.Version
			}
		})
	}
	racing.Wait()
	if len(wins) > 1 {
		r.violate(PromiseVersions, "two patches against version %d were both accepted", base)
	}
	return nil
}

// onTarget does something to a target.
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

func (r *run) silencePeers(name string) func(context.Context) error {
	return func(context.Context) error {
		host, err := r.h.Host(name)
		if err != nil {
			return err
		}
		host.SilencePeers()
		return nil
	}
}

// lasting turns a switch on for a share of the duration. Two faults of one
// switch follow each other.
func (r *run) lasting(name string, share float64, turn func(on bool)) func(context.Context) error {
	return func(ctx context.Context) error {
		r.locks[name].Lock()
		defer r.locks[name].Unlock()
		turn(true)
		wait(ctx, time.Duration(share*float64(r.opts.Duration)))
		turn(false)
		return nil
	}
}

// cut cuts hosts off from the platform and from all other hosts. They go on and
// reach each other, callers and targets.
func (r *run) cut(share float64, hosts ...string) func(context.Context) error {
	ids := make([]tables.HostID, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, tables.HostID(host))
	}
	return r.lasting(switchNetwork, share, func(on bool) {
		if on {
			r.h.Cut(ids...)
			return
		}
		r.h.Mend(ids...)
	})
}

func (r *run) loseAppends(context.Context) error {
	r.h.Log.LoseAnswers(lostAnswers)
	return nil
}

func (r *run) straggle(name string) func(context.Context) error {
	return r.lasting(name, straggleShare, func(on bool) {
		factor := 1.0
		if on {
			factor = straggleFactor
		}
		_ = r.onTarget(name, func(t *harness.Target) { t.Engine.Straggle(factor) })(context.Background())
	})
}

func (r *run) retire(name string) func(context.Context) error {
	return func(context.Context) error {
		r.mu.Lock()
		r.leavingSince[name] = time.Now()
		r.mu.Unlock()
		r.h.List.MarkTarget(tables.TargetID(name), tables.HostLeaving)
		return nil
	}
}

// poisonAttempts is how often a caller sends a poison request.
const poisonAttempts = 5

// sendPoison sends a request that crashes each engine that runs it, again and
// again, as its caller does.
func (r *run) sendPoison(ctx context.Context) error {
	for _, t := range r.h.Targets() {
		if t.Engine != nil {
			t.Engine.CrashOn(poison)
		}
	}
	for i := range poisonAttempts {
		c := r.send(harness.Request{
			Name: fmt.Sprintf("poison-%d", i), CustomerKey: harness.MuseumKey,
			Service: harness.ModelService, Tier: harness.TierUrgent, Body: poison, MaxTokens: shortAnswer,
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

// together carries out several faults at once and returns the first error.
func together(ctx context.Context, faults []func(context.Context) error) error {
	var group errgroup.Group
	for _, fault := range faults {
		group.Go(func() error { return fault(ctx) })
	}
	return group.Wait()
}

// rollingRestart stops hosts gracefully and starts them again, one after the
// other: all of them in a run of fullRollDuration, fewer in a shorter one, and
// as many as the time allows under overload.
func (r *run) rollingRestart(ctx context.Context) error {
	hosts := r.h.Hosts()
	share := float64(r.opts.Duration) / float64(fullRollDuration)
	count := min(max(int(share*float64(len(hosts))), minRolled), len(hosts))
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
	r.takeOut(name)
	open := r.openAt(name)
	// The end of the plan does not shorten a shutdown; its own bound does.
	ctx = context.WithoutCancel(ctx)
	host.Stop(ctx)
	r.checkStop(name, open)
	return r.startAgain(ctx, name, host.Domain)
}

// openAt returns the calls that a host has open.
func (r *run) openAt(host string) []*harness.Call {
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

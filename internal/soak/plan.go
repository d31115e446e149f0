package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/harness"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// step is one fault at a share of the duration.
type step struct {
	at   float64
	name string
	do   func(ctx context.Context) error
}

// Rates and lengths of faults as shares of the duration or in their units.
const (
	outageShare    = 0.1
	straggleFactor = 5
	straggleShare  = 0.15
	readyTimeout   = 30 * time.Second
	lostAnswers    = 3
	// fullRollDuration is the run in which every host is restarted.
	fullRollDuration = time.Minute
	minRolled        = 2
)

func (r *run) plan() []step {
	return []step{
		{0.08, "gate killed", r.crashAndRestart("h2", harness.PartGate)},
		{0.15, "dispatcher killed", r.crashAndRestart("h3", harness.PartDispatcher)},
		{0.20, "log loses answers", func(context.Context) error { r.h.Log.LoseAnswers(lostAnswers); return nil }},
		{0.25, "log outage", r.logOutage},
		{0.30, "dispatcher killed in the outage", r.crashAndRestart("h4", harness.PartDispatcher)},
		{0.38, "racing operators", r.raceOperators},
		{0.40, "engine crash", func(context.Context) error { return r.crashEngine("e1") }},
		{0.42, "poison request", r.sendPoison},
		{0.45, "silent engine", func(context.Context) error { return r.silence("e2") }},
		{0.48, "silent peers", func(context.Context) error { return r.silencePeers("h5") }},
		{0.50, "straggler", r.straggle},
		{0.55, "target leaving", func(context.Context) error { return r.retire("e3") }},
		{0.60, "rolling restart", r.rollingRestart},
		{0.70, "host killed", r.crashAndRestart("h1", harness.PartGate, harness.PartDispatcher, harness.PartController)},
	}
}

// carryOut runs each step at its time, beside the others.
func (r *run) carryOut(ctx context.Context) {
	var steps sync.WaitGroup
	for _, s := range r.plan() {
		steps.Go(func() {
			due := time.Duration(s.at*float64(r.opts.Duration)) - time.Since(r.start)
			if !wait(ctx, due) {
				return
			}
			if err := s.do(ctx); err != nil {
				r.violate(PromiseEnds, "%s: %v", s.name, err)
			}
		})
	}
	steps.Wait()
}

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

func (r *run) logOutage(ctx context.Context) error {
	r.h.Log.SetDown(true)
	wait(ctx, time.Duration(outageShare*float64(r.opts.Duration)))
	r.h.Log.SetDown(false)
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

func (r *run) crashEngine(name string) error {
	t, err := r.h.Target(name)
	if err != nil {
		return err
	}
	t.Engine.Crash()
	return nil
}

func (r *run) silence(name string) error {
	t, err := r.h.Target(name)
	if err != nil {
		return err
	}
	t.Engine.GoSilent()
	return nil
}

func (r *run) silencePeers(name string) error {
	host, err := r.h.Host(name)
	if err != nil {
		return err
	}
	host.SilencePeers()
	return nil
}

func (r *run) straggle(ctx context.Context) error {
	t, err := r.h.Target("e4")
	if err != nil {
		return err
	}
	t.Engine.Straggle(straggleFactor)
	wait(ctx, time.Duration(straggleShare*float64(r.opts.Duration)))
	t.Engine.Straggle(1)
	return nil
}

func (r *run) retire(name string) error {
	r.mu.Lock()
	r.leavingSince[name] = time.Now()
	r.mu.Unlock()
	r.h.List.MarkTarget(tables.TargetID(name), tables.HostLeaving)
	return nil
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

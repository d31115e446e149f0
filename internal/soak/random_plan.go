package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/harness"
)

// Parameters of a random plan. Shares are fractions of the duration of the run.
const (
	firstFaultShare = 0.05
	lastFaultShare  = 0.75
	// meanFaultInterval is the mean time between two consecutive fault start times.
	meanFaultInterval = 1500 * time.Millisecond
	// faultPairPercent is the percentage of start times with two faults.
	faultPairPercent = 40
	// maxLeavingTargets limits the targets marked as leaving in one run, so that
	// some stay available.
	maxLeavingTargets = 3
)

// randomPlanner creates a random plan for one run. It makes all random choices
// before the load starts, so that the plan depends only on the options.
type randomPlanner struct {
	run            *run
	rng            *rand.Rand
	leavingTargets int
	poisonSent     bool
	// hidesHostList is true for plans that prevent hosts from reading the host list.
	// Other plans mark targets as leaving instead. No plan does both, because a
	// host that can't read the list can't know that a target is leaving.
	hidesHostList bool
}

// faultKind is a kind of fault. newStep chooses the affected host, failure domain
// or target at random; it returns a step without a function if the kind can't be
// used in this plan, or not once more.
type faultKind struct {
	name    string
	newStep func(p *randomPlanner) step
}

// randomPlan returns faults of random kinds at random times, either one or two at
// each time.
func (r *run) randomPlan() []step {
	p := &randomPlanner{run: r, rng: rand.New(rand.NewPCG(r.opts.Seed, 1))}
	p.hidesHostList = p.rng.IntN(2) == 0
	var steps []step
	interval := float64(meanFaultInterval) / float64(r.opts.Duration)
	for at := firstFaultShare; at < lastFaultShare; at += interval * p.rng.ExpFloat64() {
		count := 1
		if p.rng.IntN(100) < faultPairPercent {
			count = 2
		}
		for range count {
			s := p.nextStep()
			s.startShare = at
			steps = append(steps, s)
		}
	}
	return steps
}

func (p *randomPlanner) nextStep() step {
	kind := faultKinds[p.rng.IntN(len(faultKinds))]
	s := kind.newStep(p)
	if s.inject == nil {
		return p.nextStep()
	}
	if s.name == "" {
		s.name = kind.name
	} else {
		s.name = kind.name + " " + s.name
	}
	return s
}

func (p *randomPlanner) randomHost() string {
	return fmt.Sprintf("h%d", 1+p.rng.IntN(p.run.opts.Hosts))
}
func (p *randomPlanner) randomEngine() string {
	return fmt.Sprintf("e%d", 1+p.rng.IntN(p.run.opts.Engines))
}
func (p *randomPlanner) randomPlain() string {
	return fmt.Sprintf("p%d", 1+p.rng.IntN(p.run.opts.Plains))
}

// randomLossCount returns how many messages a fault loses.
func (p *randomPlanner) randomLossCount() int { return 1 + p.rng.IntN(maxLostMessages) }

// randomOutageShare returns the length of an outage as a fraction of the duration
// of the run.
func (p *randomPlanner) randomOutageShare() float64 { return outageShare * (0.5 + p.rng.Float64()) }

// faultKinds lists the kinds of faults. Each entry is chosen with equal
// probability, so a kind that should occur more often has more than one entry.
var faultKinds = []faultKind{
	{"kill gate", killProcesses(harness.ProcessGate)},
	{"kill dispatcher", killProcesses(harness.ProcessDispatcher)},
	{"kill dispatcher", killProcesses(harness.ProcessDispatcher)},
	{"kill controller", killProcesses(harness.ProcessController)},
	{"kill host", killProcesses(harness.ProcessGate, harness.ProcessDispatcher, harness.ProcessController)},
	{"kill failure domain", killDomain},
	{"graceful restart of", gracefulRestart},
	{"graceful restart of", gracefulRestart},
	{"silenced peer connections of", silentPeers},
	{"log outage", logOutage},
	{"slow log", slowLog},
	{"log loses answers", logLosesAnswers},
	{"log loses requests", logLosesRequests},
	{"silenced log connections", silentLog},
	{"host list outage", hostListOutage},
	{"isolated host", isolateHost},
	{"isolated failure domain", isolateDomain},
	{"weight store outage", weightStoreOutage},
	{"concurrent patches", concurrentPatches},
	{"target leaving", leavingTarget},
	{"poison request", poisonRequest},
	{"straggler", straggler},
	{"crash of", onEngine(func(t *harness.Target) { t.Engine.Crash() })},
	{"silenced connections of", onEngine(func(t *harness.Target) { t.Engine.SilenceConns() })},
	{"lost sends to", onEngine(func(t *harness.Target) { t.Engine.LoseSends(maxLostMessages) })},
	{"lost answers of", onEngine(func(t *harness.Target) { t.Engine.LoseAnswers(maxLostMessages) })},
	{"crash of", onPlain(func(t *harness.Target) { t.Plain.Crash() })},
	{"silenced connections of", onPlain(func(t *harness.Target) { t.Plain.SilenceConns() })},
	{"lost sends to", onPlain(func(t *harness.Target) { t.Plain.LoseSends(maxLostMessages) })},
	{"lost answers of", onPlain(func(t *harness.Target) { t.Plain.LoseAnswers(maxLostMessages) })},
	{"failed runs at", onPlain(func(t *harness.Target) { t.Plain.FailRuns(maxLostMessages) })},
}

func killProcesses(parts ...string) func(*randomPlanner) step {
	return func(p *randomPlanner) step {
		host := p.randomHost()
		return step{name: host, inject: p.run.crashAndRestart(host, parts...)}
	}
}

// hostsInDomain returns the names of the hosts of a failure domain.
func (p *randomPlanner) hostsInDomain(domain int) []string {
	var hosts []string
	for i := range p.run.opts.Hosts {
		if i%domainCount == domain {
			hosts = append(hosts, fmt.Sprintf("h%d", i+1))
		}
	}
	return hosts
}

// killDomain kills and restarts all hosts of a failure domain at the same time.
func killDomain(p *randomPlanner) step {
	domain := p.rng.IntN(domainCount)
	var kills []func(context.Context) error
	for _, host := range p.hostsInDomain(domain) {
		kills = append(kills, p.run.crashAndRestart(host))
	}
	return step{name: domainOf(domain), inject: func(ctx context.Context) error { return injectAll(ctx, kills) }}
}

func gracefulRestart(p *randomPlanner) step {
	host := p.randomHost()
	return step{name: host, inject: func(ctx context.Context) error { return p.run.restartGracefully(ctx, host) }}
}

func silentPeers(p *randomPlanner) step {
	host := p.randomHost()
	return step{name: host, inject: p.run.silencePeerConnections(host)}
}

func logOutage(p *randomPlanner) step {
	return step{inject: p.run.switchedOn(switchLog, p.randomOutageShare(), p.run.h.Log.SetDown)}
}

func slowLog(p *randomPlanner) step {
	return step{inject: p.run.switchedOn(switchLog, p.randomOutageShare(), func(on bool) {
		if on {
			p.run.h.Log.SetDelay(slowAppendDelay)
			return
		}
		p.run.h.Log.SetDelay(0)
	})}
}

func logLosesAnswers(p *randomPlanner) step {
	n := p.randomLossCount()
	return step{inject: func(context.Context) error { p.run.h.Log.LoseAnswers(n); return nil }}
}

func logLosesRequests(p *randomPlanner) step {
	n := p.randomLossCount()
	return step{inject: func(context.Context) error { p.run.h.Log.LoseRequests(n); return nil }}
}

func silentLog(p *randomPlanner) step {
	return step{inject: func(context.Context) error { p.run.h.SilenceLog(); return nil }}
}

func isolateHost(p *randomPlanner) step {
	if !p.hidesHostList {
		return step{}
	}
	host := p.randomHost()
	return step{name: host, inject: p.run.isolate(p.randomOutageShare(), host)}
}

func isolateDomain(p *randomPlanner) step {
	if !p.hidesHostList {
		return step{}
	}
	domain := p.rng.IntN(domainCount)
	return step{name: domainOf(domain), inject: p.run.isolate(p.randomOutageShare(), p.hostsInDomain(domain)...)}
}

func hostListOutage(p *randomPlanner) step {
	if !p.hidesHostList {
		return step{}
	}
	return step{inject: p.run.switchedOn(switchList, p.randomOutageShare(), p.run.h.List.SetDown)}
}

func weightStoreOutage(p *randomPlanner) step {
	return step{inject: p.run.switchedOn(switchWeights, p.randomOutageShare(), p.run.h.Weights.SetDown)}
}

func concurrentPatches(p *randomPlanner) step {
	return step{inject: p.run.publishConcurrently}
}

func leavingTarget(p *randomPlanner) step {
	if p.hidesHostList || p.leavingTargets == maxLeavingTargets {
		return step{}
	}
	p.leavingTargets++
	target := p.randomEngine()
	return step{name: target, inject: p.run.markLeaving(target)}
}

// poisonRequest is used at most once per plan, because checkPoison counts the
// runs of all poison requests together.
func poisonRequest(p *randomPlanner) step {
	if p.poisonSent {
		return step{}
	}
	p.poisonSent = true
	return step{inject: p.run.sendPoison}
}

func straggler(p *randomPlanner) step {
	target := p.randomEngine()
	return step{name: target, inject: p.run.makeStraggler(target)}
}

func onEngine(do func(*harness.Target)) func(*randomPlanner) step {
	return func(p *randomPlanner) step {
		name := p.randomEngine()
		return step{name: name, inject: p.run.onTarget(name, do)}
	}
}

func onPlain(do func(*harness.Target)) func(*randomPlanner) step {
	return func(p *randomPlanner) step {
		name := p.randomPlain()
		return step{name: name, inject: p.run.onTarget(name, do)}
	}
}

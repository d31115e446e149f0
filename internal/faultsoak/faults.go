package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// meanFaultInterval is the mean time between the starts of two consecutive
	// faults. Faults can overlap.
	meanFaultInterval = 400 * time.Millisecond
	// maxFaultDuration limits the time from the start of a fault until the injector
	// starts to heal it.
	maxFaultDuration = 2500 * time.Millisecond
	// maxProxyDelay is the upper limit of the delay that a slow proxy adds to each
	// chunk of data.
	maxProxyDelay = 150 * time.Millisecond
	// applyTimeout is how long hosts may take to apply a new configuration.
	applyTimeout = 2 * time.Second
	// drillShare is the share of the faults with which a drill begins.
	drillShare = 0.2
	// claimShare is the share of the faults beside which a target is drawn from claimRNG.
	claimShare = 0.5
	// restoreOutage is how long the store is away before it comes back from a copy.
	restoreOutage = 200 * time.Millisecond
)

// injector injects random faults into the hosts, targets, proxies and store of a
// cluster. It is not safe for concurrent use.
type injector struct {
	cluster *cluster
	rng     *rand.Rand
	// drillRNG draws the drills. They were added later and leave the other faults of
	// a seed as they were.
	drillRNG *rand.Rand
	// releaseRNG draws the releases, which there are if versions is above one.
	releaseRNG *rand.Rand
	releases   atomic.Int64
	// claimRNG draws the targets that answer with standin.ClaimNotRun, and their statuses.
	claimRNG *rand.Rand
	// streamEndRNG draws the faults of Options.StreamEnds; nil without them.
	streamEndRNG *rand.Rand
	versions     int
	log          func(string)
	active       sync.WaitGroup
	// configVersion is the version of the latest configuration that was published.
	configVersion atomic.Int64
	// routeExpectedFrom is the time by which all hosts should have applied the
	// first configuration with the added route; zero if none was published.
	routeExpectedFrom time.Time
}

// fault is a type of fault. inject starts the fault and returns a function that
// ends it and a description of the affected component.
type fault struct {
	name   string
	inject func(i *injector) (heal func(), affected string)
}

func faultTypes() []fault {
	return []fault{
		{"kill", func(i *injector) (func(), string) { return i.endProcess(syscall.SIGKILL) }},
		{"stop", func(i *injector) (func(), string) { return i.endProcess(syscall.SIGTERM) }},
		{"pause", pauseHost},
		{"reload", reloadHost},
		{"slow", func(i *injector) (func(), string) {
			p, affected := i.randomProxy()
			delay := time.Duration(i.rng.Int64N(int64(maxProxyDelay)))
			p.update(func(p *proxy) { p.delay = delay })
			return p.heal, affected
		}},
		{"cut to backend", func(i *injector) (func(), string) {
			p, affected := i.randomProxy()
			p.update(func(p *proxy) { p.dropToBackend = true })
			return p.heal, affected
		}},
		{"cut to caller", func(i *injector) (func(), string) {
			p, affected := i.randomProxy()
			p.update(func(p *proxy) { p.dropToCaller = true })
			return p.heal, affected
		}},
		{"reset", func(i *injector) (func(), string) {
			p, affected := i.randomProxy()
			p.reset()
			return func() {}, affected
		}},
		{"silence", func(i *injector) (func(), string) {
			p, affected := i.randomProxy()
			p.silence()
			return func() {}, affected
		}},
		{"store down", func(i *injector) (func(), string) {
			i.cluster.store.SetDown(true)
			return func() { i.cluster.store.SetDown(false) }, "all hosts"
		}},
		{"store truncation", func(i *injector) (func(), string) {
			i.cluster.store.Truncate()
			return func() {}, "all topics"
		}},
		{"configure", publishConfig},
		{"target fault", queueTargetFault},
	}
}

// run injects faults until ctx is done, then waits until all faults have ended.
func (i *injector) run(ctx context.Context) {
	types := faultTypes()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(i.rng.ExpFloat64() * float64(meanFaultInterval)))
		drawn := types[i.rng.IntN(len(types))]
		duration := time.Duration(i.rng.Int64N(int64(maxFaultDuration)))
		i.begin(drawn, duration)
		if i.drillRNG.Float64() < drillShare {
			drills := drillTypes()
			i.begin(drills[i.drillRNG.IntN(len(drills))], time.Duration(i.drillRNG.Int64N(int64(maxFaultDuration))))
		}
		if i.versions > 1 && i.releaseRNG.Float64() < releaseShare {
			i.begin(fault{"release", releaseTarget}, time.Duration(i.releaseRNG.Int64N(int64(maxFaultDuration))))
		}
		if i.claimRNG.Float64() < claimShare {
			i.begin(fault{"untrue claim", queueClaim}, 0)
		}
		i.drawStreamEnds()
	}
	i.active.Wait()
}

// begin injects a fault that lasts for a time.
func (i *injector) begin(f fault, duration time.Duration) {
	heal, affected := f.inject(i)
	i.log(fmt.Sprintf("%s of %s for %s", f.name, affected, duration.Round(time.Millisecond)))
	i.active.Add(1)
	go func() {
		defer i.active.Done()
		time.Sleep(duration)
		heal()
	}()
}

func (i *injector) randomHost() *host { return i.cluster.hosts[i.rng.IntN(len(i.cluster.hosts))] }

// randomProxy returns a proxy and a description of its connections. The proxy is
// between callers and a host, between a host and the store, or in front of a target.
func (i *injector) randomProxy() (p *proxy, affected string) {
	h := i.randomHost()
	switch i.rng.IntN(3) {
	case 0:
		return h.frontProxy, "callers of " + h.Name
	case 1:
		return h.storeProxy, "store of " + h.Name
	default:
		t := i.cluster.drawTarget(i.rng)
		return t.proxy, "target " + t.ID
	}
}

// endProcess sends a signal that ends the process of a random host. The heal
// function waits for the process to exit and starts a new one. endProcess does
// nothing if the host is stopped or paused.
func (i *injector) endProcess(sig syscall.Signal) (heal func(), affected string) {
	h := i.randomHost()
	if _, up := h.Status(); !up {
		return func() {}, h.Name + ", which is stopped or paused"
	}
	h.Signal(sig)
	ended := h.Exited()
	return func() {
		<-ended
		if err := h.Start(); err != nil {
			i.log("starting " + h.Name + " failed: " + err.Error())
		}
	}, h.Name
}

// pauseHost suspends the process of a random host. It does nothing if the host is
// stopped or paused.
func pauseHost(i *injector) (heal func(), affected string) {
	h := i.randomHost()
	if _, up := h.Status(); !up {
		return func() {}, h.Name + ", which is stopped or paused"
	}
	h.Signal(syscall.SIGSTOP)
	return func() { h.Signal(syscall.SIGCONT) }, h.Name
}

// reloadHost sends SIGHUP to a random host, which makes it reload its settings. It
// does nothing if the host is stopped or paused.
func reloadHost(i *injector) (heal func(), affected string) {
	h := i.randomHost()
	if _, up := h.Status(); up {
		h.Signal(syscall.SIGHUP)
	}
	return func() {}, h.Name
}

// publishConfig writes a configuration with a higher version and the added route to
// the store.
func publishConfig(i *injector) (heal func(), affected string) {
	version := int(i.configVersion.Add(int64(1 + i.rng.IntN(3))))
	i.cluster.store.PutConfig(standin.Config(version, standin.AddRoute))
	if i.routeExpectedFrom.IsZero() {
		i.routeExpectedFrom = time.Now().Add(applyTimeout)
	}
	return func() {}, fmt.Sprintf("version %d", version)
}

// queueTargetFault makes the next request at a random target fail in a random way.
func queueTargetFault(i *injector) (heal func(), affected string) {
	t := i.cluster.drawTarget(i.rng)
	kind := standin.Fault(1 + i.rng.IntN(int(standin.MissingSignature)))
	t.QueueFaults(kind)
	return func() {}, fmt.Sprintf("%s, kind %d", t.ID, kind)
}

// queueClaim makes a random target run its next request and answer with a status that means "not run".
func queueClaim(i *injector) (heal func(), affected string) {
	t := i.cluster.drawTarget(i.claimRNG)
	status := standin.ClaimStatuses[i.claimRNG.IntN(len(standin.ClaimStatuses))]
	t.SetClaim(status, "")
	t.QueueFaults(standin.ClaimNotRun)
	return func() {}, fmt.Sprintf("%s, status %d", t.ID, status)
}

package faultsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// Options configures a run.
type Options struct {
	// Binaries are the paths of the builds of the edge program that run side by side: hosts
	// begin on one after the other, and change to the next one with each start.
	Binaries []string
	// Dir is the directory for the logs and settings of the hosts.
	Dir   string
	Hosts int
	Seed  uint64
	// FaultDuration is how long new faults are started. RequestsPerSecond is the mean
	// rate of requests.
	FaultDuration     time.Duration
	RequestsPerSecond float64
	// Versions is the number of software versions of the model targets. With more than
	// one, releases are drawn, and no stream may hold events of two versions.
	Versions int
	// CrashPart makes model targets crash on a part of some prompts.
	CrashPart bool
	// Rollout orders a rollout of the plain service to a bad version.
	Rollout bool
	// StreamEnds adds what makes an end hard to tell from a break: targets that leave
	// their answers unframed or whose processes are ended, and callers of HTTP/1.0. It
	// also adds targets that ignore Last-Event-Id, and callers that take up a stream that
	// may not be resumed.
	StreamEnds bool
	// Out receives a log line for each fault.
	Out io.Writer
}

const (
	// readyTimeout is how long all hosts together may take to become ready.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// recoveryTime is how long the cluster may take to recover from all faults. The
	// success rate is measured for measureDuration after that.
	recoveryTime    = 12 * time.Second
	measureDuration = 3 * time.Second
	// lateRunDelay is how long the soak waits for late runs at targets after the last
	// response.
	lateRunDelay = time.Second
	// modelTargets and plainTargets are the numbers of targets of the two services.
	// maxSeedHosts limits the seed hosts in the settings of a host.
	modelTargets, plainTargets, maxSeedHosts = 4, 2, 3
)

// cluster holds the hosts of a soak and the stand-ins for store and targets.
type cluster struct {
	store *standin.Store
	hosts []*host

	mu sync.Mutex
	// targets has one target for each place. replaced are the targets that had a place
	// before; they finish their requests.
	targets, replaced     []*target
	crashPart, streamEnds bool
	// rollout is nil unless one is ordered.
	rollout *standin.Rollout
}

// target is a stand-in target behind a proxy.
type target struct {
	*standin.Target
	proxy   *proxy
	version int
	// process carries the connections to the proxy; nil if they are made directly.
	process  *targetProcess
	unframed bool
}

// Result holds the results of a soak.
type Result struct {
	Calls int
	// Violations describes the violated guarantees, one line each.
	Violations []string
	// SuccessRate is the success rate of all calls of the run. RecoveredSuccessRate is
	// the success rate of the calls sent after the recovery time.
	SuccessRate, RecoveredSuccessRate float64
	// Resumed is the number of streams that broke off and were taken up, WentOn the
	// number of them that were completed.
	Resumed, WentOn int
}

// Run runs a soak with one seed. An error means that the cluster could not be
// started; violations are part of the result.
func Run(ctx context.Context, o Options) (Result, error) {
	c, err := newCluster(o)
	defer c.close()
	if err != nil {
		return Result{}, err
	}
	if err := c.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	return c.run(ctx, o), nil
}

func newCluster(o Options) (*cluster, error) {
	c := &cluster{store: standin.NewStore(), crashPart: o.CrashPart, streamEnds: o.StreamEnds}
	c.store.PutConfig(standin.Config(1, nil))
	framingRNG := rand.New(rand.NewPCG(o.Seed, 9))
	for i := range modelTargets + plainTargets {
		t := standin.NewTarget(fmt.Sprintf("m-%d", i), standin.ModelService, "zone-1", streamEvents, streamEventGap)
		if i >= modelTargets {
			t = standin.NewTarget(fmt.Sprintf("p-%d", i), standin.PlainService, "zone-2", 0, plainResponseTime)
		}
		proxied, err := newTarget(t, i, o.Versions)
		if err != nil {
			return c, err
		}
		c.targets = append(c.targets, proxied)
		if o.StreamEnds {
			if err := proxied.addStreamEnds(framingRNG.Float64() < unframedShare); err != nil {
				return c, err
			}
		}
		if o.CrashPart {
			c.crashOnPart(proxied)
		}
		proxied.register(c.store)
	}
	if o.Rollout {
		c.startRolloutTargets(rand.New(rand.NewPCG(o.Seed, 7)))
	}
	var seeds []string
	for i := range o.Hosts {
		first := i % len(o.Binaries)
		binaries := slices.Concat(o.Binaries[first:], o.Binaries[:first])
		h, err := newHost(fmt.Sprintf("edge-%d", i+1), binaries, o.Dir, c.store.Address(), o.Rollout, seeds)
		if err != nil {
			return c, err
		}
		if err := h.Start(); err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
		if len(seeds) < maxSeedHosts {
			seeds = append(seeds, h.settings.Listen.Control)
		}
	}
	return c, nil
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.close()
	}
	for _, t := range c.allTargets() {
		if t.process != nil {
			t.process.end(syscall.SIGKILL)
		}
		t.proxy.close()
		t.Close()
	}
	if c.rollout != nil {
		c.rollout.Stop()
		for _, t := range c.rollout.New {
			t.Close()
		}
	}
	c.store.Close()
}

var errNotReady = errors.New("host is not ready")

func (c *cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range c.hosts {
		for {
			response := standin.Call{Method: http.MethodGet, Path: standin.LookupPath + "x", Key: standin.Key}.Do(ctx, h.frontProxy.address())
			if response.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s responds with status %d after %s", errNotReady, h.Name, response.Status, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (c *cluster) run(ctx context.Context, o Options) Result {
	startedAt := time.Now()
	var mu sync.Mutex
	logLine := func(message string) {
		mu.Lock()
		defer mu.Unlock()
		// A failed write to the log does not stop the soak.
		_, _ = fmt.Fprintf(o.Out, "%7.3f %s\n", time.Since(startedAt).Seconds(), message)
	}
	logLine("started at " + startedAt.Format(time.StampMilli))
	i := &injector{
		cluster: c, rng: rand.New(rand.NewPCG(o.Seed, 1)), drillRNG: rand.New(rand.NewPCG(o.Seed, 3)), releaseRNG: rand.New(rand.NewPCG(o.Seed, 5)),
		claimRNG: rand.New(rand.NewPCG(o.Seed, 13)), versions: o.Versions, log: logLine,
	}
	i.configVersion.Store(1)
	l := &loadGenerator{hosts: c.hosts, resumeRNG: rand.New(rand.NewPCG(o.Seed, 4))}
	if o.StreamEnds {
		i.streamEndRNG = rand.New(rand.NewPCG(o.Seed, 10))
		l.http10RNG, l.takeUpRNG = rand.New(rand.NewPCG(o.Seed, 11)), rand.New(rand.NewPCG(o.Seed, 12))
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadFinished := make(chan struct{})
	go func() {
		l.run(loadCtx, o.RequestsPerSecond, rand.New(rand.NewPCG(o.Seed, 2)))
		close(loadFinished)
	}()
	if o.CrashPart {
		go c.sendCrashing(loadCtx, rand.New(rand.NewPCG(o.Seed, 6)))
	}
	if o.Rollout {
		go c.runRollout(loadCtx, o, rand.New(rand.NewPCG(o.Seed, 8)), logLine)
	}
	faultCtx, cancel := context.WithTimeout(ctx, o.FaultDuration)
	i.run(faultCtx)
	cancel()
	// This ensures that the configuration has the added route, even if no earlier
	// fault has published one.
	publishConfig(i)
	faultsEndedAt := time.Now()
	logLine("all faults have ended")
	select {
	case <-time.After(recoveryTime + measureDuration):
	case <-ctx.Done():
	}
	stopLoad()
	<-loadFinished
	time.Sleep(lateRunDelay)
	r := c.evaluate(l.calls, startedAt, faultsEndedAt, i.routeExpectedFrom)
	r.Resumed, r.WentOn = countResumed(l.streams)
	r.Violations = append(r.Violations, checkStreams(l.streams)...)
	if o.CrashPart {
		r.Violations = append(r.Violations, lateCrashes(c.runs(), faultsEndedAt.Add(recoveryTime))...)
	}
	if o.Rollout {
		r.Violations = append(r.Violations, checkRollout(c.rollout, c.hosts[0].settings, logLine)...)
	}
	if o.Versions > 1 || o.StreamEnds {
		r.Violations = append(r.Violations, standin.MixedVersions(l.streams, c.runs())...)
	}
	return r
}

func (c *cluster) evaluate(calls []*call, startedAt, faultsEndedAt, routeExpectedFrom time.Time) Result {
	r := Result{Calls: len(calls)}
	r.Violations = append(checkCalls(calls, c.runs()), configRegressions(calls, c.runs())...)
	for _, h := range c.hosts {
		for _, exit := range h.UnexpectedExits() {
			r.Violations = append(r.Violations, "a process ended by itself: "+exit)
		}
	}
	r.SuccessRate, _ = successRate(calls, startedAt, routeExpectedFrom)
	after, n := successRate(calls, faultsEndedAt.Add(recoveryTime), routeExpectedFrom)
	r.RecoveredSuccessRate = after
	if after < minSuccessRate {
		r.Violations = append(r.Violations, fmt.Sprintf("not recovered: %.3f of %d calls sent more than %s after the last fault succeeded", after, n, recoveryTime))
	}
	return r
}
